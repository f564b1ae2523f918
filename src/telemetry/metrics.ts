/** Where the parts of a host send their counts, times and gauges.
 * @module */

import type * as names from "./names.ts";

/** Splits a metric, such as `{service: "lm-pool"}`; values are few. */
export type Labels = Readonly<Record<string, string>>;

/** Takes measurements; never throws and never waits. */
export interface Metrics {
  /** Adds `by`, 1 when absent, to a counter. */
  count(name: names.CountName, by?: number, labels?: Labels): void;
  /** Records a time in milliseconds. */
  time(name: names.TimeName, ms: number, labels?: Labels): void;
  /** Sets a gauge. */
  gauge(name: names.GaugeName, value: number, labels?: Labels): void;
}

/** Forgets all measurements. */
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
