/** Results of measurements and their regression bounds.
 * @module */

/** How a result compares between runs. A count comes from seeded virtual time
 * and must be equal. A ratio does too, but may drift a little. A size is bytes
 * of memory. A speed is one time over another in the same run, which a busy
 * machine moves. A time depends on the machine and is not compared. */
export type Kind = "count" | "ratio" | "size" | "speed" | "time";

/** Values within which a result must lie. */
export interface Bound {
  least?: number;
  most?: number;
}

/** One measured value. */
export interface Result {
  name: string;
  unit: string;
  value: number;
  kind: Kind;
  bound?: Bound;
}

/** A measurement that `bench/main.ts` can run. */
export interface Measurement {
  /** One line on what it measures. */
  title: string;
  run(): Promise<Result[]>;
}

/** Relative change for the worse that is let pass. */
export const TOLERANCE: Readonly<Record<Kind, number>> = {
  count: 0,
  ratio: 0.25,
  size: 0.25,
  speed: 2,
  time: Infinity,
};

/** Why a result breaks its own bound, or undefined. */
export function broken(result: Result): string | undefined {
  const { name, value, bound } = result;
  if (Number.isNaN(value)) return `${name} is not a number`;
  if (bound?.least !== undefined && value < bound.least) {
    return `${name} is ${format(value)}, below ${bound.least}`;
  }
  if (bound?.most !== undefined && value > bound.most) {
    return `${name} is ${format(value)}, above ${bound.most}`;
  }
  return undefined;
}

/** Why a result is worse than that of an earlier run, or, as a count, other;
 * undefined when it is neither. */
export function changed(result: Result, old: Result): string | undefined {
  const { name, kind, value } = result;
  const drift = kind === "count"
    ? Math.abs(value - old.value)
    : worsening(result, old);
  if (drift <= TOLERANCE[kind] * Math.abs(old.value)) return undefined;
  return `${name} is ${format(value)}, was ${format(old.value)}`;
}

/** Change for the worse. More is better where a bound is from below. */
function worsening({ value, bound }: Result, old: Result): number {
  const change = value - old.value;
  return bound?.least === undefined ? change : -change;
}

/** A value with at most four significant digits. */
export function format(value: number): string {
  if (Number.isInteger(value)) return String(value);
  return String(Number(value.toPrecision(4)));
}
