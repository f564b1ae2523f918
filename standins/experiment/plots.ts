/** Plots of a report, as SVG.
 * @module */

import * as vega from "vega";
import * as vegaLite from "vega-lite";
import type * as report from "./report.ts";

/** A plot and what it says. */
export interface Plot {
  title: string;
  /** How to read it. */
  note: string;
  svg: string;
}

type Spec = vegaLite.TopLevelSpec;

const WIDTH = 430;
const HEIGHT = 190;
/** Height of a horizontal bar and its gap. */
const STEP = 26;
const BLUE = "#2b6a99";
const ORANGE = "#d9822b";
const GREY = "#9aa5b1";
const RED = "#b3404a";
const CONFIG = {
  font: "system-ui, sans-serif",
  background: "transparent",
  axis: { labelColor: "#333", titleColor: "#333", gridColor: "#e6e9ed" },
  view: { stroke: null },
  legend: { orient: "top", title: null },
};

/** All plots of a report. */
export async function draw(made: report.Report): Promise<Plot[]> {
  const plots = [
    attainment(made),
    outcomes(made),
    ...(made.stages.length === 0 ? [] : [latency(made)]),
    cost(made),
    accounts(made),
    accountCost(made),
  ];
  return await Promise.all(plots.map(async ({ spec, ...plot }) => ({
    ...plot,
    svg: await render(spec),
  })));
}

interface Sketch {
  title: string;
  note: string;
  spec: Partial<Spec>;
}

async function render(spec: Partial<Spec>): Promise<string> {
  const whole = {
    width: WIDTH,
    height: HEIGHT,
    config: CONFIG,
    ...spec,
  } as Spec;
  const compiled = vegaLite.compile(whole, { logger: quiet() }).spec;
  const view = new vega.View(vega.parse(compiled), { renderer: "none" });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}

/** A logger that keeps warnings of the plotting library from the terminal. */
function quiet(): vega.LoggerInterface {
  return vega.logger(vega.Error);
}

function seconds(milliseconds: number): number {
  return milliseconds / 1000;
}

const SECONDS = { field: "at", type: "quantitative", title: "seconds" };

function attainment({ timeline, faults, duration }: report.Report): Sketch {
  const values = timeline
    .filter(({ sent }) => sent > 0)
    .map(({ at, attainment }) => ({ at: seconds(at), attainment }));
  const marks = faults.map(({ at, type, service }) => ({
    at: seconds(at),
    fault: `${type} ${service ?? ""}`,
  }));
  return {
    title: "Attainment over time",
    note: "Share of the requests of each moment that were answered whole " +
      "within their deadline. Vertical lines are faults.",
    spec: {
      layer: [{
        data: { values: marks },
        mark: { type: "rule", color: RED, strokeDash: [3, 3] },
        encoding: {
          x: { ...SECONDS, scale: { domainMax: seconds(duration) } },
        },
      }, {
        data: { values },
        mark: { type: "line", color: BLUE, point: { size: 18, color: BLUE } },
        encoding: {
          x: SECONDS,
          y: {
            field: "attainment",
            type: "quantitative",
            title: null,
            axis: { format: "%" },
            scale: { domain: [0, 1] },
          },
        },
      }],
    } as Partial<Spec>,
  };
}

const OUTCOMES = ["attained", "late", "problems", "lost"] as const;

/** Stacks and colours outcomes. */
const BY_OUTCOME = {
  order: { field: "order" },
  color: {
    field: "outcome",
    scale: { domain: [...OUTCOMES], range: [BLUE, ORANGE, GREY, RED] },
  },
};

function outcomes({ timeline, duration }: report.Report): Sketch {
  // The last step needs an end to reach to.
  const end = { ...timeline[timeline.length - 1], at: duration };
  const values = [...timeline, end].flatMap((moment) =>
    OUTCOMES.map((outcome, order) => ({
      at: seconds(moment.at),
      outcome,
      order,
      requests: moment[outcome],
    }))
  );
  return {
    title: "Requests by outcome",
    note: "Requests of each moment, by how they ended for the caller.",
    spec: {
      data: { values },
      mark: { type: "area", interpolate: "step-after" },
      encoding: {
        x: SECONDS,
        y: { field: "requests", type: "quantitative", title: "requests" },
        ...BY_OUTCOME,
      },
    } as Partial<Spec>,
  };
}

/** Milliseconds; a logarithmic axis has no 0. */
const LEAST_SHOWN = 0.1;
const PERCENTILES = ["p50", "p90", "p99"] as const;

function latency({ stages }: report.Report): Sketch {
  const values = stages.flatMap((stage) =>
    PERCENTILES.map((percentile) => ({
      stage: stage.name,
      percentile,
      milliseconds: Math.max(LEAST_SHOWN, stage[percentile]),
    }))
  );
  const y = { field: "stage", sort: null, title: null };
  const x = {
    field: "milliseconds",
    type: "quantitative",
    title: "milliseconds, logarithmic",
    scale: { type: "log", nice: true },
  };
  return {
    title: "Latency by stage",
    note: "Milliseconds of a stage in answered requests, waiting included.",
    spec: {
      height: { step: STEP + 8 },
      data: { values },
      layer: [{
        mark: { type: "line", color: GREY, strokeWidth: 1.5 },
        encoding: { y, x, detail: { field: "stage" } },
      }, {
        mark: { type: "point", filled: true, size: 70, opacity: 1 },
        encoding: {
          y,
          x,
          color: {
            field: "percentile",
            scale: { domain: [...PERCENTILES], range: [GREY, BLUE, ORANGE] },
          },
        },
      }],
    } as Partial<Spec>,
  };
}

function cost({ costs, counts }: report.Report): Sketch {
  const values = costs.flatMap((cost) => [{
    service: cost.service,
    use: "used",
    milliseconds: cost.engineTimeEach - cost.wastedTimeEach,
  }, {
    service: cost.service,
    use: "wasted",
    milliseconds: cost.wastedTimeEach,
  }]);
  return {
    title: "Cost by stage",
    note: "Slot milliseconds of a service for each of the " +
      `${counts.attained} attained requests.`,
    spec: {
      height: { step: STEP },
      data: { values },
      mark: "bar",
      encoding: {
        y: { field: "service", sort: "-x", title: null },
        x: {
          field: "milliseconds",
          type: "quantitative",
          title: "slot milliseconds",
        },
        color: {
          field: "use",
          scale: { domain: ["used", "wasted"], range: [BLUE, RED] },
        },
      },
    } as Partial<Spec>,
  };
}

function accounts({ accounts }: report.Report): Sketch {
  const values = accounts.flatMap((account) =>
    OUTCOMES.map((outcome, order) => ({
      account: account.name,
      outcome,
      order,
      share: account[outcome] / account.sent,
    }))
  );
  return {
    title: "Outcomes by account",
    note: "Shares of what each client account sent.",
    spec: {
      height: { step: STEP },
      data: { values },
      mark: "bar",
      encoding: {
        y: { field: "account", title: null },
        x: {
          field: "share",
          type: "quantitative",
          title: null,
          axis: { format: "%" },
          scale: { domain: [0, 1] },
        },
        ...BY_OUTCOME,
      },
    } as Partial<Spec>,
  };
}

function accountCost({ accounts }: report.Report): Sketch {
  const values = accounts.map(({ name, engineTime }) => ({
    account: name,
    seconds: seconds(engineTime),
  }));
  return {
    title: "Cost by account",
    note: "Slot seconds at all services, wasted calls included.",
    spec: {
      height: { step: STEP },
      data: { values },
      mark: { type: "bar", color: BLUE },
      encoding: {
        y: { field: "account", title: null },
        x: { field: "seconds", type: "quantitative", title: "slot seconds" },
      },
    } as Partial<Spec>,
  };
}
