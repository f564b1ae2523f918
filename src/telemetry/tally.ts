/** Metrics aggregated in memory, for state dumps and tests.
 * @module */

import type * as metrics from "./metrics.ts";
import type * as names from "./names.ts";

/** Count, sum, minimum and maximum of a duration, in milliseconds. */
export interface TimeSummary {
  count: number;
  sum: number;
  least: number;
  most: number;
}

/** Aggregated metrics by name and labels. */
export interface Totals {
  counts: Record<string, number>;
  times: Record<string, TimeSummary>;
  gauges: Record<string, number>;
}

/** Aggregates measurements since the start of the process. */
export class Tally implements metrics.Metrics {
  #counts = new Map<string, number>();
  #times = new Map<string, TimeSummary>();
  #gauges = new Map<string, number>();

  count(name: names.CountName, by?: number, labels?: metrics.Labels): void {
    const id = key(name, labels);
    this.#counts.set(id, (this.#counts.get(id) ?? 0) + (by ?? 1));
  }

  time(name: names.TimeName, ms: number, labels?: metrics.Labels): void {
    const id = key(name, labels);
    const summary = this.#times.get(id);
    if (summary === undefined) {
      this.#times.set(id, { count: 1, sum: ms, least: ms, most: ms });
    } else {
      summary.count += 1;
      summary.sum += ms;
      summary.least = Math.min(summary.least, ms);
      summary.most = Math.max(summary.most, ms);
    }
  }

  gauge(name: names.GaugeName, value: number, labels?: metrics.Labels): void {
    this.#gauges.set(key(name, labels), value);
  }

  /** Sum of a counter over all its labels. */
  total(name: names.CountName): number {
    let sum = 0;
    for (const [id, value] of this.#counts) {
      if (id === name || id.startsWith(`${name}{`)) sum += value;
    }
    return sum;
  }

  /** A copy of all totals, sorted by name. */
  toJSON(): Totals {
    return {
      counts: sorted(this.#counts),
      times: sorted(this.#times),
      gauges: sorted(this.#gauges),
    };
  }
}

function key(name: string, labels: metrics.Labels | undefined): string {
  if (labels === undefined) return name;
  const parts = Object.keys(labels).sort().map((k) => `${k}=${labels[k]}`);
  return `${name}{${parts.join(",")}}`;
}

function sorted<V>(map: ReadonlyMap<string, V>): Record<string, V> {
  const pairs = [...map].sort(([a], [b]) => a < b ? -1 : 1);
  return structuredClone(Object.fromEntries(pairs));
}
