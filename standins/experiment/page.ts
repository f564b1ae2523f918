/** Report of a run as one HTML page that needs nothing else.
 * @module */

import type * as plots from "./plots.ts";
import type * as report from "./report.ts";
import type * as summary from "./summary.ts";

interface Column<T> {
  title: string;
  show(row: T): string;
  /** Left for names, right for figures. */
  left?: boolean;
}

const STYLE = `
  body { font: 15px/1.45 system-ui, sans-serif; color: #1f2933;
    max-width: 1040px; margin: 2rem auto; padding: 0 1rem; }
  h1 { margin-bottom: 0.2rem; } h2 { font-size: 1.1rem; margin-top: 2rem; }
  p.note, figcaption { color: #52606d; font-size: 0.9rem; margin: 0.2rem 0; }
  .tiles { display: grid; gap: 0.8rem; margin: 1.2rem 0;
    grid-template-columns: repeat(auto-fit, minmax(200px, 1fr)); }
  .tile { background: #f3f5f7; border-radius: 6px; padding: 0.7rem 0.9rem; }
  .tile b { display: block; font-size: 1.5rem; }
  .bad { background: #fbe9ea; color: #8f2833; }
  .plots { display: grid; gap: 1.6rem;
    grid-template-columns: repeat(auto-fit, minmax(480px, 1fr)); }
  figure { margin: 0; } figure svg { max-width: 100%; height: auto; }
  figure h2 { margin: 0; }
  table { border-collapse: collapse; width: 100%; font-size: 0.9rem; }
  th, td { padding: 0.3rem 0.6rem; border-bottom: 1px solid #e4e7eb;
    text-align: right; font-variant-numeric: tabular-nums; }
  th.left, td.left { text-align: left; }
  .scroll { overflow-x: auto; }
`;

/** The page of a report. */
export function write(made: report.Report, drawn: readonly plots.Plot[]) {
  return `<!doctype html>
<html lang="en">
${head(made)}
<body>
<h1>${escape(made.experiment)}</h1>
<p class="note">${escape(made.description)}</p>
<p class="note">Deployment ${made.deployment}, ${made.system}, seed
${made.seed}, requests sent for ${seconds(made.duration)} s, open loop.</p>
${tiles(made)}
<div class="plots">${drawn.map(figure).join("\n")}</div>
${violations(made)}
${tables(made)}
<p class="note">The load tool itself sent late by ${made.lag.p99} ms at the
99th percentile, ${made.lag.max} ms at most; latencies count from the intended
time. Callers asked again ${made.resends} times.</p>
</body>
</html>
`;
}

function head(made: report.Report): string {
  return `<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>${escape(made.experiment)}: experiment report</title>
<style>${STYLE}</style>
</head>`;
}

function tables(made: report.Report): string {
  return `<h2>Client accounts</h2>
${table(made.accounts, GROUP_COLUMNS)}
<h2>Request kinds</h2>
${table(made.kinds, GROUP_COLUMNS)}
<h2>Stages</h2>
<p class="note">Milliseconds in answered requests.</p>
${table(made.stages, STAGE_COLUMNS)}
<h2>Cost by service</h2>
<p class="note">As the stand-ins count it. Wasted calls are those whose
answer nobody took.</p>
${table(made.costs, COST_COLUMNS)}
<h2>Problem documents</h2>
${tally(made.problems, "None.")}
<h2>Faults</h2>
${table(made.faults, FAULT_COLUMNS)}`;
}

function tiles(made: report.Report): string {
  const { counts, latency } = made;
  const broken = Object.values(made.violations)
    .reduce((sum, count) => sum + count, 0);
  return `<div class="tiles">
${tile("attainment", percent(counts.attainment))}
${tile("requests sent", String(counts.sent))}
${tile("median latency", `${Math.round(latency.p50)} ms`)}
${tile("99th percentile", `${Math.round(latency.p99)} ms`)}
${tile("late", String(counts.late))}
${tile("problem documents", String(counts.problems))}
${tile("lost", String(counts.lost), { bad: counts.lost > 0 })}
${tile("violations", String(broken), { bad: broken > 0 })}
</div>`;
}

function tile(name: string, value: string, { bad = false } = {}): string {
  const kind = bad ? "tile bad" : "tile";
  return `<div class="${kind}"><b>${value}</b>${name}</div>`;
}

function figure({ title, note, svg }: plots.Plot): string {
  return `<figure><h2>${escape(title)}</h2>
<figcaption>${escape(note)}</figcaption>${svg}</figure>`;
}

function violations(made: report.Report): string {
  return `<h2>Violations</h2>
${
    tally(
      made.violations,
      "None: every answer was whole and its asker's own, no " +
        "request that must run once ran twice, and none that was refused as not " +
        "run had run.",
    )
  }
${made.breaches.length === 0 ? "" : table(made.breaches, BREACH_COLUMNS)}`;
}

function tally(counts: Record<string, number>, none: string): string {
  const entries = Object.entries(counts).sort();
  if (entries.length === 0) return `<p>${escape(none)}</p>`;
  const items = entries.map(([name, count]) => `<li>${escape(name)}: ${count}`);
  return `<ul>${items.join("\n")}</ul>`;
}

function table<T>(rows: readonly T[], columns: readonly Column<T>[]): string {
  if (rows.length === 0) return "<p>None.</p>";
  const cell = (tag: string, column: Column<T>, value: string) =>
    `<${tag}${column.left ? ' class="left"' : ""}>${escape(value)}</${tag}>`;
  const head = columns.map((column) => cell("th", column, column.title));
  const body = rows.map((row) => {
    const cells = columns.map((column) => cell("td", column, column.show(row)));
    return `<tr>${cells.join("")}</tr>`;
  });
  return `<div class="scroll"><table><thead><tr>${head.join("")}</tr></thead>
<tbody>${body.join("\n")}</tbody></table></div>`;
}

const GROUP_COLUMNS: readonly Column<report.Group>[] = [
  { title: "name", show: ({ name }) => name, left: true },
  { title: "sent", show: ({ sent }) => String(sent) },
  { title: "attainment", show: ({ attainment }) => percent(attainment) },
  { title: "late", show: ({ late }) => String(late) },
  { title: "problems", show: ({ problems }) => String(problems) },
  { title: "lost", show: ({ lost }) => String(lost) },
  ...percentileColumns(({ latency }: report.Group) => latency),
  { title: "slot s", show: ({ engineTime }) => seconds(engineTime) },
];

const STAGE_COLUMNS: readonly Column<report.Stage>[] = [
  { title: "stage", show: ({ name }) => name, left: true },
  { title: "answers", show: ({ count }) => String(count) },
  ...percentileColumns((stage: report.Stage) => stage),
  { title: "max", show: ({ max }) => String(max) },
  { title: "attempts", show: ({ attempts }) => attempts.toFixed(3) },
];

const COST_COLUMNS: readonly Column<report.Cost>[] = [
  { title: "service", show: ({ service }) => service, left: true },
  { title: "calls", show: ({ calls }) => String(calls) },
  { title: "wasted", show: ({ wasted }) => String(wasted) },
  { title: "refused", show: ({ refused }) => String(refused) },
  { title: "slot s", show: ({ engineTime }) => seconds(engineTime) },
  { title: "wasted s", show: ({ wastedTime }) => seconds(wastedTime) },
  {
    title: "slot ms / attained",
    show: ({ engineTimeEach }) => engineTimeEach.toFixed(1),
  },
  { title: "input tokens", show: ({ inputTokens }) => String(inputTokens) },
  { title: "cached", show: ({ cachedTokens }) => String(cachedTokens) },
  { title: "output tokens", show: ({ outputTokens }) => String(outputTokens) },
];

const BREACH_COLUMNS: readonly Column<report.Breach>[] = [
  { title: "violation", show: ({ violation }) => violation, left: true },
  { title: "marker", show: ({ marker }) => marker, left: true },
  { title: "account", show: ({ account }) => account, left: true },
  { title: "kind", show: ({ kind }) => kind, left: true },
  { title: "at s", show: ({ at }) => seconds(at) },
];

const FAULT_COLUMNS: readonly Column<report.Report["faults"][number]>[] = [
  { title: "at s", show: ({ at }) => seconds(at) },
  { title: "fault", show: ({ type }) => type, left: true },
  {
    title: "where",
    show: ({ at: _at, type: _type, ...rest }) =>
      Object.entries(rest).map(([name, value]) => `${name} ${value}`)
        .join(", ") || "everywhere",
    left: true,
  },
];

function percentileColumns<T>(
  pick: (row: T) => summary.Summary,
): Column<T>[] {
  const names = ["p50", "p90", "p99"] as const;
  return names.map((name) => ({
    title: `${name} ms`,
    show: (row) => String(Math.round(pick(row)[name])),
  }));
}

function percent(share: number): string {
  return `${(share * 100).toFixed(2)} %`;
}

function seconds(milliseconds: number): string {
  return (milliseconds / 1000).toFixed(1);
}

function escape(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}
