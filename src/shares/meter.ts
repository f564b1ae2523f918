/** What callers ask of this host, by row of the table that has a limit: the
 * demand from which shares are given out.
 * @module */

import type * as request from "../request/mod.ts";
import type * as holders from "./holder.ts";
import type * as limits from "./limit.ts";

/** Milliseconds in which a demand that has ended fades to 1/e. */
const FADE = 3000;
/** Share that one request has in the mean time in this host. */
const STEP = 0.1;

type Flow = Pick<request.Request, "account" | "kind">;

interface Row {
  /** Arrivals since the last reading. */
  arrivals: number;
  /** Arrivals a second of late. */
  rate: number;
  /** Mean milliseconds from arrival to the final answer; 0 at first. */
  stay: number;
}

/** Counts requests; changed in place. */
export class DemandMeter implements request.Observer {
  #rows: ReadonlyMap<string, Row> = new Map();
  /** Requests in this host by row, also rows without a limit. */
  readonly #inFlight = new Map<string, number>();
  #readAt = 0;

  private constructor() {}

  /** A meter that follows no row yet. */
  static create(): DemandMeter {
    return new DemandMeter();
  }

  /** Follows the rows that have limits. */
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
    for (const name of rowsOf(request)) this.#shift(name, 1);
  }

  finished(
    request: request.Request,
    _ending: request.Ending,
    now: number,
  ): void {
    const stay = now - request.arrived;
    for (const name of rowsOf(request)) {
      this.#shift(name, -1);
      const row = this.#rows.get(name);
      if (row === undefined) continue;
      row.stay += (row.stay === 0 ? 1 : STEP) * (stay - row.stay);
    }
  }

  /** Demand on `limits` since the last reading. A rise counts at once. */
  read(limits: readonly limits.Limit[], now: number): holders.Demand[] {
    const passed = Math.max(1, now - this.#readAt);
    this.#readAt = now;
    const peaks = new Map<string, number>();
    for (const [name, row] of this.#rows) {
      const late = row.arrivals / passed * 1000;
      row.rate += (late - row.rate) * (1 - Math.exp(-passed / FADE));
      row.arrivals = 0;
      peaks.set(name, Math.max(late, row.rate));
    }
    return limits.map(({ row, column }) => {
      const rate = peaks.get(row) ?? 0;
      if (column === "rate") return { row, column, demand: rate };
      const inFlight = this.#inFlight.get(row) ?? 0;
      // What is refused for want of a share would be in flight as well.
      const wanted = rate / 1000 * (this.#rows.get(row)?.stay ?? 0);
      return { row, column, demand: Math.max(inFlight, wanted), inFlight };
    });
  }

  #shift(name: string, change: 1 | -1): void {
    const count = (this.#inFlight.get(name) ?? 0) + change;
    if (count > 0) this.#inFlight.set(name, count);
    else this.#inFlight.delete(name);
  }
}

function rowsOf({ account, kind }: Flow): [string, string] {
  return [`account/${account}`, `kind/${kind}`];
}
