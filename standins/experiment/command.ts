/** Command line of the load and experiment tool.
 * @module */

import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as path from "node:path";
import * as clipanion from "clipanion";
import * as runtime from "../../src/runtime/mod.ts";
import type * as schema from "../../src/schema/experiment_types.ts";
import * as secrets from "../../src/settings/secrets.ts";
import * as client from "./client.ts";
import * as file from "./file.ts";
import * as page from "./page.ts";
import * as plots from "./plots.ts";
import * as report from "./report.ts";
import * as run from "./run.ts";
import * as target from "./target.ts";

/** Exit codes of the tool. */
const EXIT = { held: 0, violated: 1, unusable: 2 } as const;
const NONCE_BYTES = 3;

/** Runs one experiment and writes its report. */
export class Load extends clipanion.Command {
  static override usage = clipanion.Command.Usage({
    description: "Runs an experiment and writes its report",
    details: `
      Sends the requests of an experiment file, checks every answer, and writes
      report.json and report.html. Exit code 0 when nothing was violated, 1
      when something was, 2 when the experiment could not be run.
    `,
    examples: [[
      "A burst on Kivu's deployment",
      "$0 examples/experiments/kivu-burst.yaml",
    ]],
  });

  file = clipanion.Option.String();
  out = clipanion.Option.String("--out", {
    description: "Folder of the report; out/experiments/NAME when absent",
  });
  hosts = clipanion.Option.Array("--host", {
    description: "Base URL of a host's callers' port, in place of the file's",
  });
  standIns = clipanion.Option.String("--stand-ins", {
    description: "Base URL of the stand-ins' control interface",
  });
  seed = clipanion.Option.String("--seed", {
    description: "Seed, in place of the file's",
  });
  json = clipanion.Option.Boolean("--json", false, {
    description: "Writes the report to standard output too",
  });

  override async execute(): Promise<number> {
    try {
      return await this.#run(this.#change(file.load(this.file)));
    } catch (error) {
      if (!(error instanceof target.ExperimentError)) throw error;
      this.context.stderr.write(`${error.message}\n`);
      return EXIT.unusable;
    }
  }

  #change(experiment: schema.Experiment): schema.Experiment {
    const { hosts, standIns, seed } = this;
    const [first, ...rest] = hosts ?? [];
    return {
      ...experiment,
      ...(seed === undefined ? {} : { seed: Number(seed) }),
      ...(first === undefined || standIns === undefined
        ? {}
        : { target: { hosts: [first, ...rest], standIns } }),
    };
  }

  async #run(experiment: schema.Experiment): Promise<number> {
    const against = await open(experiment);
    const caller = new client.Client({ tokens: tokens(experiment) });
    const clock = runtime.systemClock;
    try {
      const outcomes = await new run.Run({
        experiment,
        target: against,
        clock,
        nonce: crypto.randomBytes(NONCE_BYTES).toString("hex"),
        send: (planned, made) => caller.send(planned, made),
        progress: (progress) => this.#show(progress),
      }).execute();
      const totals = await against.ledger();
      return await this.#report({ experiment, outcomes, totals });
    } finally {
      await caller.stop();
      await against.stop();
    }
  }

  #show({ elapsed, sent, inFlight, outcomes }: run.Progress): void {
    const attained = outcomes.filter(run.attained).length;
    const broken = outcomes.filter(({ violation }) => violation).length;
    const share = outcomes.length === 0 ? 1 : attained / outcomes.length;
    this.context.stderr.write(
      `${(elapsed / 1000).toFixed(0)} s: sent ${sent}, in flight ` +
        `${inFlight}, attained ${(share * 100).toFixed(1)} %, violations ` +
        `${broken}\n`,
    );
  }

  async #report(source: report.Source): Promise<number> {
    const made = report.create(source);
    const folder = this.out ??
      path.join("out", "experiments", made.experiment);
    fs.mkdirSync(folder, { recursive: true });
    const json = JSON.stringify(made, null, 2);
    fs.writeFileSync(path.join(folder, "report.json"), `${json}\n`);
    const html = page.write(made, await plots.draw(made));
    fs.writeFileSync(path.join(folder, "report.html"), html);
    this.context.stdout.write(
      this.json ? `${json}\n` : `${summarize(made)}\n`,
    );
    this.context.stderr.write(`${path.join(folder, "report.html")}\n`);
    const held = Object.keys(made.violations).length === 0;
    return held ? EXIT.held : EXIT.violated;
  }
}

/** The system that a file names, or an embedded one. */
async function open(experiment: schema.Experiment): Promise<target.Target> {
  if (experiment.target !== undefined) return target.remote(experiment.target);
  // Loaded only here: a run against a running system needs no host.
  const embedded = await import("./embedded.ts");
  return await embedded.start(experiment);
}

function tokens({ mix }: schema.Experiment): ReadonlyMap<string, string> {
  return new Map(mix.map(({ account, token }) => [
    account,
    token === undefined ? `sample-${account}` : secrets.readSecret(token),
  ]));
}

function summarize({ counts, latency, violations }: report.Report): string {
  const { sent, attained, late, problems, lost, attainment } = counts;
  const broken = Object.entries(violations)
    .map(([name, count]) => `${name} ${count}`).join(", ");
  return `attainment ${(attainment * 100).toFixed(2)} % (${attained} of ` +
    `${sent}; late ${late}, problems ${problems}, lost ${lost})\n` +
    `latency p50 ${latency.p50} ms, p99 ${latency.p99} ms\n` +
    `violations: ${broken === "" ? "none" : broken}`;
}
