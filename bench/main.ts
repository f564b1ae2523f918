/** Runs measurements: `npm run bench -- [NAME...] [--json FILE]
 * [--compare FILE]`. Exits with 1 when a bound or the comparison breaks.
 * @module */

import * as fs from "node:fs/promises";
import * as util from "node:util";
import * as admission from "./admission.ts";
import * as overhead from "./overhead.ts";
import * as peers from "./peers.ts";
import * as log from "./log.ts";
import * as members from "./members.ts";
import * as result from "./result.ts";
import * as routing from "./routing.ts";
import * as scenarios from "./scenarios.ts";
import * as table from "./table.ts";

/** All measurements by name. */
const MEASUREMENTS: Readonly<Record<string, result.Measurement>> = {
  admission: admission.measurement,
  members: members.measurement,
  overhead: overhead.measurement,
  peers: peers.measurement,
  log: log.measurement,
  routing: routing.measurement,
  scenarios: scenarios.measurement,
  table: table.measurement,
};

async function main(): Promise<void> {
  const { values, positionals } = util.parseArgs({
    allowPositionals: true,
    options: { json: { type: "string" }, compare: { type: "string" } },
  });
  const names = positionals.length > 0
    ? positionals
    : Object.keys(MEASUREMENTS);
  const results: result.Result[] = [];
  for (const name of names) results.push(...await measure(name));
  if (values.json !== undefined) {
    await fs.writeFile(values.json, JSON.stringify(results, null, 2) + "\n");
  }
  const complaints = results.map(result.broken);
  if (values.compare !== undefined) {
    complaints.push(...await compare(results, values.compare));
  }
  for (const complaint of complaints) {
    if (complaint === undefined) continue;
    console.error(`broken: ${complaint}`);
    process.exitCode = 1;
  }
}

async function measure(name: string): Promise<result.Result[]> {
  const measurement = MEASUREMENTS[name];
  if (measurement === undefined) {
    const known = Object.keys(MEASUREMENTS).join(", ");
    throw new Error(`There is no measurement ${name}; known are ${known}`);
  }
  console.log(`# ${name}: ${measurement.title}`);
  const results = await measurement.run();
  for (const { name, value, unit } of results) {
    console.log(`${name.padEnd(60)} ${result.format(value)} ${unit}`);
  }
  return results;
}

async function compare(
  results: readonly result.Result[],
  file: string,
): Promise<(string | undefined)[]> {
  const text = await fs.readFile(file, "utf8");
  const old = new Map<string, result.Result>();
  for (const one of JSON.parse(text) as result.Result[]) old.set(one.name, one);
  return results.map((one) => {
    const before = old.get(one.name);
    return before === undefined ? undefined : result.changed(one, before);
  });
}

await main();
