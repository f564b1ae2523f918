/** Contention of one service: derives its capacity and the limits of accounts
 * from reports of hosts. The coordinator applies these rules to the reports of
 * all entry hosts, a host that reaches no coordinator to its own.
 * @module */

import type * as telemetry from "../telemetry/mod.ts";
import * as capacities from "./capacity.ts";
import * as division from "./division.ts";
import * as meters from "./meter.ts";

/** Interval at which hosts report and the capacity is estimated anew. */
export const INTERVAL_MS = 500;
/** Part of the interval by which an estimate may come early, since the timers
 * of hosts are not exact. */
const TOLERANCE_MS = 100;
/** Time for which a report is used: three intervals, so that two reports may be
 * lost. */
const REPORT_LIFETIME_MS = 1500;
/** Intervals over which denied cost is compared with admitted cost. Cost that is
 * denied in one interval may have been admitted in the one before. */
const CONTENTION_INTERVALS = 2;
/** Time without a limited account after which contention ends, and time for
 * which the service is watched after that. Callers who were refused return
 * within 3 s, most of them within 2 s. */
const RETENTION_MS = 2000;
/** Fraction of the offered cost that hosts refuse at which limits of another
 * coordinator are in force: as for denied cost. */
const REFUSED_RATIO = capacities.DENIED_RATIO;
/** Interval at which the capacity is divided anew. A division takes time in
 * proportion to hosts and accounts, and dozens of hosts report in an interval. */
const DIVISION_INTERVAL_MS = 100;
/** Part of an account's rate that hosts without its requests get in addition,
 * so that callers who move to another host are served at once. */
const IDLE_HOSTS_RATIO = 0.1;

/** Options of a `Contention`. */
export interface ContentionOptions {
  readonly service: string;
  readonly logger: telemetry.Logger;
  /** Who decides; part of log lines. */
  readonly decidedBy: "coordinator" | "own counts";
  /** Time after the first report without limits, in which other hosts report
   * as well. */
  readonly settleMs: number;
}

/** When a report arrived, and who decides. */
export interface RecordOptions {
  readonly now: number;
  /** Whether there is no contention here, since another host decides. */
  readonly isDeferred?: boolean;
}

interface Report {
  readonly at: number;
  readonly use: meters.IntervalUse;
}

/** A flow's demand by host. */
interface Demand extends division.AccountDemand {
  readonly byHost: ReadonlyMap<string, number>;
}

interface Division {
  readonly at: number;
  readonly limits: readonly division.AccountLimit[];
  readonly demands: ReadonlyMap<string, Demand>;
}

const NO_DIVISION: Division = { at: -Infinity, limits: [], demands: new Map() };

/** Contention of one service. Mutable. */
export class Contention {
  readonly #options: ContentionOptions;
  readonly #settledAt: number;
  /** Reports of each host, the latest last. */
  readonly #reports = new Map<string, readonly Report[]>();
  #capacity?: capacities.Capacity;
  #division = NO_DIVISION;
  #steppedAt = -Infinity;
  #limitedAt = -Infinity;
  #endedAt = -Infinity;

  private constructor(options: ContentionOptions, now: number) {
    this.#options = options;
    this.#settledAt = now + options.settleMs;
  }

  static create(options: ContentionOptions, now: number): Contention {
    return new Contention(options, now);
  }

  /** Estimated capacity in cost per second; undefined without contention. */
  get capacity(): number | undefined {
    return this.#capacity?.value;
  }

  /** Whether reports may still be missing. */
  isSettling(now: number): boolean {
    return now < this.#settledAt;
  }

  /** Whether all hosts should report. */
  isWatched(now: number): boolean {
    return this.isSettling(now) || this.#capacity !== undefined ||
      now - this.#endedAt <= RETENTION_MS;
  }

  /** Whether no host has reported lately. */
  isAbandoned(now: number): boolean {
    this.#expire(now);
    return this.#reports.size === 0;
  }

  /** Records a host's report, which may begin or end contention. */
  record(
    host: string,
    use: meters.IntervalUse,
    { now, isDeferred = false }: RecordOptions,
  ): void {
    const reports = this.#reports.get(host) ?? [];
    this.#reports.set(host, [...reports, { at: now, use }]);
    this.#expire(now);
    const isDue = now - this.#steppedAt >= INTERVAL_MS - TOLERANCE_MS;
    if (this.isSettling(now) || !isDue) return;
    this.#steppedAt = Math.max(
      this.#steppedAt + INTERVAL_MS,
      now - TOLERANCE_MS,
    );
    if (isDeferred) this.#clear();
    else if (this.#capacity !== undefined) this.#step(now);
    else if (this.#isContended()) this.#begin(now);
  }

  /** Limits of accounts on one host. */
  limitsOf(host: string, now: number): division.AccountLimit[] {
    if (this.#capacity === undefined) return [];
    if (now - this.#division.at >= DIVISION_INTERVAL_MS) this.#divide(now);
    const { limits, demands } = this.#division;
    return limits.map((limit) => {
      const { offered, byHost } = demands.get(meters.keyOf(limit))!;
      const own = byHost.get(host) ?? 0;
      const idleCount = Math.max(1, this.#reports.size - byHost.size);
      const ratio = own > 0 ? own / offered : IDLE_HOSTS_RATIO / idleCount;
      return { ...limit, rate: limit.rate * ratio };
    });
  }

  /** State for the state dump. */
  dump(now: number): unknown {
    return {
      service: this.#options.service,
      watched: this.isWatched(now),
      capacity: this.capacity,
      hosts: [...this.#reports].map(([host, reports]) => ({
        host,
        ageMs: Math.round(now - reports.at(-1)!.at),
      })),
      limits: this.#division.limits,
    };
  }

  /** Whether the service is short of capacity, or hosts keep it from that by
   * limits which a coordinator that is replaced has set. */
  #isContended(): boolean {
    const rates = this.#rates(CONTENTION_INTERVALS);
    const offered = [...this.#reports.values()].reduce(
      (sum, reports) => sum + offeredOf(reports.slice(-CONTENTION_INTERVALS)),
      0,
    );
    const refused = offered - rates.admitted;
    return capacities.isShort(rates) || refused > REFUSED_RATIO * offered;
  }

  #begin(now: number): void {
    // One interval may have few requests of a small service.
    const rates = this.#rates(CONTENTION_INTERVALS);
    this.#capacity = capacities.Capacity.start(rates);
    this.#limitedAt = now;
    this.#divide(now);
    this.#log(now, "Contention of a service began");
  }

  #step(now: number): void {
    // Few requests end in one interval; more show the served rate better.
    const { served } = this.#rates(CONTENTION_INTERVALS);
    this.#capacity = this.#capacity!.next({ ...this.#rates(1), served });
    this.#divide(now);
    if (now - this.#limitedAt <= RETENTION_MS) return;
    this.#log(now, "Contention of a service ended");
    this.#clear();
    this.#endedAt = now;
  }

  #clear(): void {
    this.#capacity = undefined;
    this.#division = NO_DIVISION;
  }

  #divide(now: number): void {
    const demands = this.#demands();
    const limits = division.divide(this.#capacity!.value, [
      ...demands.values(),
    ]);
    this.#division = { at: now, limits, demands };
    if (limits.length > 0) this.#limitedAt = now;
  }

  /** Demands of all flows, over all reports that are in use: an interval has few
   * requests of each account on each host. */
  #demands(): Map<string, Demand> {
    const demands = new Map<string, Demand & { byHost: Map<string, number> }>();
    for (const [host, reports] of this.#reports) {
      const span = spanOf(reports);
      for (const flow of reports.flatMap(({ use }) => use.accounts)) {
        const { account, rank } = flow;
        const offered = flow.offered / span;
        if (offered === 0) continue;
        const key = meters.keyOf(flow);
        const known = demands.get(key);
        const byHost = known?.byHost ?? new Map<string, number>();
        byHost.set(host, (byHost.get(host) ?? 0) + offered);
        const total = (known?.offered ?? 0) + offered;
        demands.set(key, { account, rank, offered: total, byHost });
      }
    }
    return demands;
  }

  /** Rates of the service in the last intervals of each host. */
  #rates(intervals: number): capacities.CapacityRates {
    const rates = { admitted: 0, denied: 0, served: 0 };
    for (const reports of this.#reports.values()) {
      const latest = reports.slice(-intervals);
      const span = spanOf(latest);
      for (const { use: { admitted, denied, accounts } } of latest) {
        rates.admitted += admitted / span;
        rates.denied += denied / span;
        for (const { served } of accounts) rates.served += served / span;
      }
    }
    return rates;
  }

  #expire(now: number): void {
    for (const [host, reports] of this.#reports) {
      const kept = reports.filter(({ at }) => now - at <= REPORT_LIFETIME_MS);
      if (kept.length === 0) this.#reports.delete(host);
      else if (kept.length < reports.length) this.#reports.set(host, kept);
    }
  }

  #log(now: number, message: string): void {
    const { service, logger, decidedBy } = this.#options;
    const { denied, admitted } = this.#rates(CONTENTION_INTERVALS);
    const oldest = Math.min(
      ...[...this.#reports.values()].map((reports) => reports.at(-1)!.at),
    );
    const offered = [...this.#demands().values()]
      .reduce((sum, each) => sum + each.offered, 0);
    const fields = {
      service,
      decidedBy,
      capacity: this.capacity,
      offered,
      admitted,
      denied,
      hosts: this.#reports.size,
      reportAgeMs: Math.round(now - oldest),
      limits: this.#division.limits.length,
    };
    logger.info(fields, message);
  }
}

/** Offered cost per second in reports of a host. */
function offeredOf(reports: readonly Report[]): number {
  return reports.flatMap(({ use }) => use.accounts)
    .reduce((sum, { offered }) => sum + offered, 0) / spanOf(reports);
}

/** Seconds that reports cover. */
function spanOf(reports: readonly Report[]): number {
  return reports.reduce((sum, { use }) => sum + use.span, 0) / 1000;
}
