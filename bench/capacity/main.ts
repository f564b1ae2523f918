/** Measures every slope of docs/CAPACITY.md and writes tables and plots.
 * Arguments name the slopes to take anew; the others are kept as saved.
 * @module */

import * as fs from "node:fs";
import * as matters from "./matters.ts";
import * as page from "./page.ts";
import * as plot from "./plot.ts";
import * as slope from "./slope.ts";

const PAGE = "docs/CAPACITY.md";
const FOLDER = "docs/capacity";
const SAVED = `${FOLDER}/slopes.json`;

async function main(names: readonly string[]): Promise<void> {
  const taken = new Map<string, slope.Slope>();
  for (const matter of matters.all) {
    const wanted = names.length === 0 || names.includes(matter.name);
    if (!wanted) continue;
    console.error(`measuring ${matter.name}`);
    const measured = await slope.take(matter);
    taken.set(matter.name, measured);
    fs.writeFileSync(
      `${FOLDER}/${page.fileOf(matter.name)}`,
      await plot.render(measured),
    );
  }
  // Read last, so that runs of different slopes may overlap.
  const saved = new Map([...readSaved(), ...taken]);
  write(matters.all.flatMap((matter) => {
    const known = saved.get(matter.name);
    return known === undefined ? [] : slope.describe(known, matter);
  }));
}

function readSaved(): Map<string, slope.Slope> {
  if (!fs.existsSync(SAVED)) return new Map();
  const slopes = JSON.parse(fs.readFileSync(SAVED, "utf8")) as slope.Slope[];
  return new Map(slopes.map((measured) => [measured.name, measured]));
}

function write(slopes: readonly slope.Slope[]): void {
  fs.writeFileSync(SAVED, `${JSON.stringify(slopes, null, 2)}\n`);
  fs.writeFileSync(PAGE, page.write(fs.readFileSync(PAGE, "utf8"), slopes));
}

await main(process.argv.slice(2));
