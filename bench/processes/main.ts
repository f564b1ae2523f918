/** Runs of real processes on loopback, with faults:
 *
 *     npm run processes -- NAME [--minutes N] [--settings FILE]
 *
 * Figures go to standard output as JSON, progress to standard error. Exit code
 * 1 when something happened that must never happen.
 * @module */

import * as util from "node:util";
import * as claims from "./claims.ts";
import * as drain from "./drain.ts";
import * as finding from "./finding.ts";
import * as kills from "./kills.ts";
import * as once from "./once.ts";
import * as site from "./site.ts";
import * as soak from "./soak.ts";

type Program = (options: finding.Options) => Promise<finding.Finding>;

const programs: Readonly<Record<string, Program>> = {
  once: once.measure,
  drain: drain.measure,
  kills: measureKills,
  claims: claims.measure,
  soak: soak.measure,
};

async function measureKills(): Promise<finding.Finding> {
  const figures = await kills.run();
  const { lost, doubled, changedAnswers, unfairRaces, reverted } = figures;
  return {
    breaches: { lost, doubled, changedAnswers, unfairRaces, reverted },
    figures,
  };
}

async function main(): Promise<void> {
  const { values, positionals: [name = ""] } = util.parseArgs({
    allowPositionals: true,
    options: {
      minutes: { type: "string", default: "10" },
      settings: { type: "string", default: site.SETTINGS },
    },
  });
  const program = programs[name];
  if (program === undefined) {
    const known = Object.keys(programs).join(", ");
    process.stderr.write(`There is no run ${name}; known are ${known}\n`);
    process.exitCode = 2;
    return;
  }
  const { settings, minutes } = values;
  const found = await program({ settings, minutes: Number(minutes) });
  const holds = finding.holds(found);
  console.log(JSON.stringify({ run: name, holds, ...found }, null, 2));
  if (!holds) process.exitCode = 1;
}

await main();
