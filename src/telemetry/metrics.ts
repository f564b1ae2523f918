/** Interface through which the parts of a host record metrics.
 * @module */

import type * as names from "./names.ts";

/** Labels of a metric, such as `{service: "lm-pool"}`; a label has few distinct
 * values. */
export type Labels = Readonly<Record<string, string>>;

/** Records metrics; never throws and never blocks. */
export interface Metrics {
  /** Adds `by` (default 1) to a counter. */
  count(name: names.CountName, by?: number, labels?: Labels): void;
  /** Records a duration in milliseconds. */
  time(name: names.TimeName, ms: number, labels?: Labels): void;
  /** Sets a gauge. */
  gauge(name: names.GaugeName, value: number, labels?: Labels): void;
}

/** Discards all measurements. */
export const noMetrics: Metrics = {
  count() {},
  time() {},
  gauge() {},
};

/** Sends each measurement to all of `targets`. */
export function combine(targets: readonly Metrics[]): Metrics {
  return {
    count(name, by, labels) {
      for (const target of targets) target.count(name, by, labels);
    },
    time(name, ms, labels) {
      for (const target of targets) target.time(name, ms, labels);
    },
    gauge(name, value, labels) {
      for (const target of targets) target.gauge(name, value, labels);
    },
  };
}
