/** Measures the demand on this host for each row of the table that has a limit;
 * the shares are divided by demand.
 * @module */

import type * as request from "../request/mod.ts";
import type * as holders from "./holder.ts";
import type * as limits from "./limit.ts";

/** Time constant of the decay of a rate: after it, the rate of arrivals that
 * have stopped is down to 1/e. */
const RATE_DECAY_MS = 3000;
/** Weight of one request in the exponential moving average of the time that
 * requests spend in this host. */
const STAY_SMOOTHING_FACTOR = 0.1;

type Flow = Pick<request.Request, "account" | "kind">;

interface Row {
  /** Arrivals since the last reading. */
  arrivals: number;
  /** Decaying mean of the arrivals per second. */
  rate: number;
  /** Mean milliseconds from arrival to the final answer; 0 at first. */
  stay: number;
}

/** Mutable counters of requests by row. */
export class DemandMeter implements request.Observer {
  #rows: ReadonlyMap<string, Row> = new Map();
  /** Requests in flight by row, including rows without a limit. */
  readonly #inFlight = new Map<string, number>();
  #readAt = 0;

  private constructor() {}

  /** Creates a meter without rows. */
  static create(): DemandMeter {
    return new DemandMeter();
  }

  /** Sets the limits whose rows are measured. */
  setLimits(limits: readonly limits.Limit[]): void {
    const known = this.#rows;
    this.#rows = new Map(limits.map(({ row }) => {
      return [row, known.get(row) ?? { arrivals: 0, rate: 0, stay: 0 }];
    }));
  }

  arrived(request: request.Request): void {
    for (const name of rowsOf(request)) {
      const row = this.#rows.get(name);
      if (row !== undefined) row.arrivals++;
    }
  }

  admitted(request: request.Request): void {
    for (const name of rowsOf(request)) this.#addInFlight(name, 1);
  }

  finished(
    request: request.Request,
    _ending: request.FinalState,
    now: number,
  ): void {
    const stay = now - request.arrived;
    for (const name of rowsOf(request)) {
      this.#addInFlight(name, -1);
      const row = this.#rows.get(name);
      if (row === undefined) continue;
      row.stay += (row.stay === 0 ? 1 : STAY_SMOOTHING_FACTOR) *
        (stay - row.stay);
    }
  }

  /** Returns the demand on `limits` since the last call. A rise has its full
   * effect at once, a fall decays. */
  read(limits: readonly limits.Limit[], now: number): holders.Demand[] {
    const passed = Math.max(1, now - this.#readAt);
    this.#readAt = now;
    const peaks = new Map<string, number>();
    for (const [name, row] of this.#rows) {
      const recentRate = row.arrivals / passed * 1000;
      row.rate += (recentRate - row.rate) *
        (1 - Math.exp(-passed / RATE_DECAY_MS));
      row.arrivals = 0;
      peaks.set(name, Math.max(recentRate, row.rate));
    }
    return limits.map(({ row, column }) => {
      const rate = peaks.get(row) ?? 0;
      if (column === "rate") return { row, column, demand: rate };
      const inFlight = this.#inFlight.get(row) ?? 0;
      // By Little's law: requests that are refused for lack of a share count as
      // demand too.
      const wanted = rate / 1000 * (this.#rows.get(row)?.stay ?? 0);
      return { row, column, demand: Math.max(inFlight, wanted), inFlight };
    });
  }

  #addInFlight(name: string, change: 1 | -1): void {
    const count = (this.#inFlight.get(name) ?? 0) + change;
    if (count > 0) this.#inFlight.set(name, count);
    else this.#inFlight.delete(name);
  }
}

function rowsOf({ account, kind }: Flow): [string, string] {
  return [`account/${account}`, `kind/${kind}`];
}
