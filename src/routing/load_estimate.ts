/** Predicted load of one endpoint, from this host's own calls in flight and
 * from reports that come late. Hosts share no counts: what a report says
 * beyond this host's own part is the work of other hosts.
 * @module */

import type * as event from "../request/event.ts";

/** Weight of a report against what is usual: all hosts hear the same report
 * and would all follow it. */
const TRUST = 0.5;
/** Milliseconds a call takes where that is not known yet. */
const SERVICE = 1000;
/** Changes of the own count that are kept. */
const HISTORY = 32;
/** Milliseconds within which changes of the own count are kept as one. */
const GRAIN = 50;

/** What a prediction assumes of the group. */
export interface Assumptions {
  /** Calls of other hosts at a usual endpoint; 0 when absent. */
  prior?: number;
  /** Mean milliseconds of a call. */
  serviceTime?: number;
}

/** Calls that an endpoint has running and waiting; changed in place. */
export class LoadEstimate {
  #own = 0;
  #foreign = 0;
  #reported = -Infinity;
  #times: number[] = [];
  #counts: number[] = [];

  /** Load of an endpoint of which nothing is known yet. */
  static create(): LoadEstimate {
    return new LoadEstimate();
  }

  /** Calls of other hosts when the last report was made. */
  get reportedOtherHostCalls(): number {
    return this.#foreign;
  }

  /** Calls of this host in flight. */
  get ownCalls(): number {
    return this.#own;
  }

  /** When the last report was made; minus infinity before the first. */
  get reportedAt(): number {
    return this.#reported;
  }

  /** Counts a call that this host sends. */
  startCall(now: number): void {
    this.#set(this.#own + 1, now);
  }

  /** Counts a call of this host that ended, however it did. */
  endCall(now: number): void {
    this.#set(Math.max(0, this.#own - 1), now);
  }

  /** Takes a report; one older than the last taken is ignored. */
  report(load: event.Load, now: number): void {
    const at = Math.min(load.at, now);
    if (at < this.#reported) return;
    this.#reported = at;
    const total = load.running + load.waiting;
    this.#foreign = Math.max(0, total - this.ownCallsAt(at));
  }

  /** Own calls that were in flight at an earlier time, as far as kept. */
  ownCallsAt(at: number): number {
    let pos = this.#times.length - 1;
    while (pos >= 0 && this.#times[pos] > at) pos--;
    if (pos >= 0) return this.#counts[pos];
    return this.#times.length < HISTORY ? 0 : this.#counts[0];
  }

  /** Calls of other hosts. What a report saw has ended by and by, as calls
   * of `service` milliseconds do; `prior`, where given, is what came
   * instead, and half counts from the start. */
  otherHostCalls(
    now: number,
    { prior, serviceTime: service }: Assumptions = {},
  ): number {
    const age = Math.max(0, now - this.#reported);
    const ended = Math.exp(-age / (service || SERVICE));
    const left = prior === undefined ? ended : TRUST * ended;
    return this.#foreign * left + (prior ?? 0) * (1 - left);
  }

  /** All calls that the endpoint is believed to have. */
  predict(now: number, outlook: Assumptions = {}): number {
    return this.#own + this.otherHostCalls(now, outlook);
  }

  #set(own: number, now: number): void {
    this.#own = own;
    const last = this.#times.length - 1;
    if (last > 0 && now - this.#times[last - 1] < GRAIN) {
      this.#times[last] = now;
      this.#counts[last] = own;
      return;
    }
    if (this.#times.length === HISTORY) {
      this.#times.shift();
      this.#counts.shift();
    }
    this.#times.push(now);
    this.#counts.push(own);
  }
}
