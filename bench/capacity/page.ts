/** Writes slopes as the tables of docs/CAPACITY.md.
 * @module */

import type * as slope from "./slope.ts";
import * as sums from "./sums.ts";

/** Puts the tables of all slopes and sums into their places on a page. */
export function write(page: string, slopes: readonly slope.Slope[]): string {
  const byName = new Map(slopes.map((one) => [one.name, one]));
  let text = page;
  for (const role of new Set(slopes.map((measured) => measured.role))) {
    const own = slopes.filter((measured) => measured.role === role);
    text = fill(text, role, { text: tableOf(own) });
  }
  for (const { place, sums: own } of sums.all) {
    text = fill(text, place, { text: sumsOf(own, byName) });
  }
  return text;
}

/** Puts `text` between the markers `begin NAME` and `end NAME` of a page. */
export function fill(
  page: string,
  name: string,
  { text }: { text: string },
): string {
  const begin = `<!-- begin ${name} -->`;
  const end = `<!-- end ${name} -->`;
  const from = page.indexOf(begin);
  const to = page.indexOf(end);
  if (from < 0 || to < from) {
    throw new Error(`No place for ${name} on the page`);
  }
  return `${page.slice(0, from)}${begin}\n\n${text}\n\n${page.slice(to)}`;
}

/** A table of the slopes of one role. */
export function tableOf(slopes: readonly slope.Slope[]): string {
  const head = [
    "what",
    "measured at",
    "slope",
    "fit",
    "at target",
    "budget",
    "holds",
    "carried by",
  ];
  const rows = [head, head.map(() => "---"), ...slopes.map(rowOf)];
  return rows.map((cells) => `| ${cells.join(" | ")} |`).join("\n");
}

/** A table of sums. */
export function sumsOf(
  own: readonly sums.Sum[],
  slopes: ReadonlyMap<string, slope.Slope>,
): string {
  const head = ["together", "parts", "sum", "budget", "holds"];
  const rows = own.map((sum) => {
    const { name, unit, budget } = sum;
    const expected = sums.total(sum, slopes);
    const parts = sum.terms.map((term) => {
      const value = show(sums.valueOf(term, slopes));
      return `${term.by ?? term.slope} ${value}`;
    });
    return [
      name,
      parts.join("; "),
      `${show(expected)} ${unit}`,
      budget === undefined ? "" : `${show(budget)} ${unit}`,
      verdict({ budget, expected }),
    ];
  });
  return [head, head.map(() => "---"), ...rows]
    .map((cells) => `| ${cells.join(" | ")} |`).join("\n");
}

function rowOf(measured: slope.Slope): string[] {
  const { name, per, unit, points, target, reason, mechanism } = measured;
  const sizes = points.map(({ size }) => size.toLocaleString("en")).join(", ");
  return [
    `[${name}](capacity/${fileOf(name)})`,
    `${sizes} ${per}`,
    `${show(measured.slope)} ${unit} each, from ${show(measured.intercept)}`,
    measured.fit.toFixed(3),
    `${show(measured.expected)} ${unit} at ${target.toLocaleString("en")} ` +
    `${per} (${reason})`,
    measured.budget === undefined ? "" : `${show(measured.budget)} ${unit}`,
    verdict(measured),
    mechanism,
  ];
}

/** Name of the file that holds the plot of a slope. */
export function fileOf(name: string): string {
  return `${name.replaceAll(/[^a-z0-9]+/gi, "_").toLowerCase()}.svg`;
}

function verdict(
  { budget, expected }: { budget?: number; expected: number },
): string {
  if (budget === undefined) return "";
  return expected <= budget ? "yes" : "**no**";
}

function show(value: number): string {
  const size = Math.abs(value);
  if (size >= 1_000) return Math.round(value).toLocaleString("en");
  return String(Number(value.toPrecision(3)));
}
