/** Writes slopes as the tables of docs/CAPACITY.md.
 * @module */

import type * as slope from "./slope.ts";

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

function verdict({ budget, expected }: slope.Slope): string {
  if (budget === undefined) return "";
  return expected <= budget ? "yes" : "**no**";
}

function show(value: number): string {
  const size = Math.abs(value);
  if (size >= 1_000) return Math.round(value).toLocaleString("en");
  return String(Number(value.toPrecision(3)));
}
