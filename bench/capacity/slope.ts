/** A quantity measured at several sizes, and the line through it.
 * @module */

import * as statistics from "simple-statistics";

/** One measurement: a size and what was measured there. */
export interface Point {
  size: number;
  value: number;
}

/** Roles of a host at the target size. */
export type Role = "entry host" | "voter" | "observer" | "operator";

/** What a slope is about, and how it is measured. */
export interface Matter {
  /** Short name, also that of the plot. */
  name: string;
  role: Role;
  /** What is counted along the line, such as `hosts`. */
  per: string;
  unit: string;
  /** Size at the target. */
  target: number;
  /** What the size is to the role that holds it, in words. */
  reason: string;
  /** What carries the cost at that size. */
  mechanism: string;
  /** Most that the value may be at the target, where a budget says so. */
  budget?: number;
  /** Takes the measurements. */
  measure(): Promise<readonly Point[]>;
}

/** A line through measured points, read at the target size. */
export interface Slope extends Omit<Matter, "measure"> {
  points: readonly Point[];
  slope: number;
  intercept: number;
  /** Share of the spread that the line explains, 0 to 1. */
  fit: number;
  /** Value of the line at the target size. */
  expected: number;
}

/** Measures a matter and fits a line to it. */
export async function take(matter: Matter): Promise<Slope> {
  const { measure, ...description } = matter;
  const points = await measure();
  return { ...description, points, ...fitLine(points, matter.target) };
}

/** A slope measured earlier under the present words and target. */
export function describe(measured: Slope, matter: Matter): Slope {
  const { measure: _, ...description } = matter;
  const { points } = measured;
  return { ...description, points, ...fitLine(points, matter.target) };
}

interface Line {
  slope: number;
  intercept: number;
  fit: number;
  expected: number;
}

function fitLine(points: readonly Point[], target: number): Line {
  const pairs = points.map(({ size, value }) => [size, value]);
  const { m, b } = statistics.linearRegression(pairs);
  const line = statistics.linearRegressionLine({ m, b });
  // Where all values are equal there is no spread to explain.
  const flat = points.every(({ value }) => value === points[0].value);
  const fit = flat ? 1 : statistics.rSquared(pairs, line);
  return { slope: m, intercept: b, fit, expected: line(target) };
}
