/** A control host's estimates of slowness from the observations of all hosts.
 * @module */

import * as slownesses from "./slowness.ts";

/** Time without observations after which an estimate is dropped. */
const RETENTION_MS = 60_000;
/** Age up to which a change is told to hosts that sync: several sync intervals,
 * so that one that changes its control host or misses a reply hears of it. */
const CHANGE_AGE_MS = 2000;
/** Most reports in a message, by its schema. */
const MAX_REPORTS = 1024;

interface Row {
  readonly estimate: slownesses.Slowness;
  readonly observedAt: number;
}

/** Which estimates to read. */
export interface ReadOptions {
  readonly now: number;
  /** Whether also those are read that haven't changed lately. */
  readonly isAll: boolean;
}

/** Table of estimates by endpoint; changed in place. */
export class SlownessTable {
  /** In the order of their last observation. */
  readonly #rows = new Map<string, Row>();
  /** Observations of entry hosts that other control hosts have not been told
   * of. */
  readonly #unforwarded = new Map<string, slownesses.SlownessReport>();

  static create(): SlownessTable {
    return new SlownessTable();
  }

  /** Adds the observations of an entry host, to be forwarded to other control
   * hosts. */
  record(
    reports: readonly slownesses.SlownessReport[],
    now: number,
  ): void {
    this.merge(reports, now);
    for (const report of reports) {
      const { endpoint } = report;
      this.#unforwarded.set(
        endpoint,
        sum(this.#unforwarded.get(endpoint), report),
      );
    }
  }

  /** Adds the observations that another control host forwards. */
  merge(reports: readonly slownesses.SlownessReport[], now: number): void {
    for (const report of reports) {
      const { endpoint } = report;
      const { PRIOR } = slownesses.Slowness;
      const known = this.#rows.get(endpoint)?.estimate ?? PRIOR;
      this.#rows.delete(endpoint);
      const estimate = known.add(report, now);
      this.#rows.set(endpoint, { estimate, observedAt: now });
    }
  }

  /** Observations of entry hosts since the last call. */
  takeForwards(): slownesses.SlownessReport[] {
    const reports = [...this.#unforwarded.values()].slice(0, MAX_REPORTS);
    reports.forEach(({ endpoint }) => this.#unforwarded.delete(endpoint));
    return reports;
  }

  /** Estimates that changed lately, or all, the latest first. */
  read({ now, isAll }: ReadOptions): slownesses.SlownessReport[] {
    const reports: slownesses.SlownessReport[] = [];
    for (const [endpoint, row] of [...this.#rows].toReversed()) {
      if (!isAll && now - row.observedAt > CHANGE_AGE_MS) break;
      if (reports.length === MAX_REPORTS) break;
      const report = row.estimate.report(endpoint, now);
      if (report !== undefined) reports.push(report);
    }
    return reports;
  }

  /** Drops the estimates without observations for a while. */
  expire(now: number): void {
    for (const [endpoint, { observedAt }] of this.#rows) {
      if (now - observedAt <= RETENTION_MS) return;
      this.#rows.delete(endpoint);
    }
  }

  /** State for diagnostics. */
  dump(now: number): unknown {
    return this.read({ now, isAll: true });
  }
}

function sum(
  known: slownesses.SlownessReport | undefined,
  added: slownesses.SlownessReport,
): slownesses.SlownessReport {
  if (known === undefined) return added;
  const count = known.count + added.count;
  const logMean = (known.count * slownesses.logOf(known.ratio) +
    added.count * slownesses.logOf(added.ratio)) / count;
  return { endpoint: added.endpoint, ratio: Math.exp(logMean), count };
}
