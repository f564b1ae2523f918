/** Estimated load of one endpoint, from this host's own calls in flight and
 * from delayed load reports. Hosts exchange no counts: the part of a report
 * beyond this host's own calls is attributed to other hosts.
 * @module */

import type * as event from "../request/event.ts";

/** Weight of a report relative to the prior, since all hosts receive the same
 * report and would otherwise all follow it. */
const REPORT_WEIGHT = 0.5;
/** Assumed service time of a call while none is known. */
const DEFAULT_SERVICE_TIME_MS = 1000;
/** Number of changes of the own count that are kept. */
const HISTORY_LENGTH = 32;
/** Time within which changes of the own count are merged into one. */
const MERGE_INTERVAL_MS = 50;

/** Assumptions of a prediction about the endpoint's group. */
export interface Assumptions {
  /** Calls of other hosts at a typical endpoint; 0 when absent, and then the
   * report counts in full. */
  prior?: number;
  /** Mean service time of a call, milliseconds. */
  serviceTime?: number;
}

/** Estimate of an endpoint's running and waiting calls; mutated in place. */
export class LoadEstimate {
  #ownCalls = 0;
  #otherHostCalls = 0;
  #reportedAt = -Infinity;
  #times: number[] = [];
  #counts: number[] = [];

  /** Creates the estimate for an endpoint without calls or reports. */
  static create(): LoadEstimate {
    return new LoadEstimate();
  }

  /** Calls of other hosts at the time of the last report. */
  get reportedOtherHostCalls(): number {
    return this.#otherHostCalls;
  }

  /** Calls of this host in flight. */
  get ownCalls(): number {
    return this.#ownCalls;
  }

  /** Time of the last report; minus infinity before the first. */
  get reportedAt(): number {
    return this.#reportedAt;
  }

  /** Counts a call that this host sends. */
  startCall(now: number): void {
    this.#setOwnCalls(this.#ownCalls + 1, now);
  }

  /** Counts a call of this host that ended, with any result. */
  endCall(now: number): void {
    this.#setOwnCalls(Math.max(0, this.#ownCalls - 1), now);
  }

  /** Applies a report; one older than the last is ignored. */
  report(load: event.Load, now: number): void {
    const at = Math.min(load.at, now);
    if (at < this.#reportedAt) return;
    this.#reportedAt = at;
    const total = load.running + load.waiting;
    this.#otherHostCalls = Math.max(0, total - this.ownCallsAt(at));
  }

  /** Own calls in flight at an earlier time, as far as the history reaches. */
  ownCallsAt(at: number): number {
    let pos = this.#times.length - 1;
    while (pos >= 0 && this.#times[pos] > at) pos--;
    if (pos >= 0) return this.#counts[pos];
    return this.#times.length < HISTORY_LENGTH ? 0 : this.#counts[0];
  }

  /** Estimated calls of other hosts. Reported calls decay exponentially with
   * the service time. If a prior is given, it replaces the decayed part, and
   * counts half from the start. */
  otherHostCalls(
    now: number,
    { prior, serviceTime }: Assumptions = {},
  ): number {
    const age = Math.max(0, now - this.#reportedAt);
    const decay = Math.exp(-age / (serviceTime || DEFAULT_SERVICE_TIME_MS));
    const reportRatio = prior === undefined ? decay : REPORT_WEIGHT * decay;
    return this.#otherHostCalls * reportRatio +
      (prior ?? 0) * (1 - reportRatio);
  }

  /** Estimated calls of all hosts at the endpoint. */
  predict(now: number, assumptions: Assumptions = {}): number {
    return this.#ownCalls + this.otherHostCalls(now, assumptions);
  }

  #setOwnCalls(ownCalls: number, now: number): void {
    this.#ownCalls = ownCalls;
    const last = this.#times.length - 1;
    if (last > 0 && now - this.#times[last - 1] < MERGE_INTERVAL_MS) {
      this.#times[last] = now;
      this.#counts[last] = ownCalls;
      return;
    }
    if (this.#times.length === HISTORY_LENGTH) {
      this.#times.shift();
      this.#counts.shift();
    }
    this.#times.push(now);
    this.#counts.push(ownCalls);
  }
}
