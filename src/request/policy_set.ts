/** Interfaces of the policies that a dispatcher consults.
 *
 * Each policy can also observe events through the optional handlers of
 * `Observer`. A policy changes its own containers only.
 * @module */

import type * as effect from "./effect.ts";
import type * as event from "./event.ts";
import type * as request from "./request.ts";

/** The current stage of a request, as policies see it. */
export interface Work {
  readonly request: request.Request;
  /** Position of the stage. */
  readonly stage: number;
  /** Size in tokens of the stage's input. */
  readonly size: number;
  /** Prefix blocks of the stage's prompt, longest last. */
  readonly prefix: readonly string[];
  /** When the stage became ready to run, on the host's clock. */
  readonly since: number;
  /** Tokens of the stage's answer received so far. */
  readonly received: number;
  /** Endpoints that failed this stage or are running it. */
  readonly avoid: readonly string[];
}

/** An endpoint and the number of this host's calls in flight to it. */
export interface Member {
  readonly endpoint: event.Endpoint;
  readonly inFlight: number;
}

/** Ready endpoints of one service. */
export interface Pool {
  readonly service: string;
  /** Free slots of all members. */
  readonly free: number;
  readonly members: readonly Member[];
  /** Finds a member by id, including draining ones. */
  member(id: string): Member | undefined;
}

/** Result of one attempt. */
export interface AttemptReport {
  readonly attempt: request.Attempt;
  readonly work: Work;
  readonly result: "answered" | "failed" | "cancelled";
  /** Milliseconds from dispatch to the result. */
  readonly elapsed: number;
  readonly usage?: request.Usage;
  readonly failure?: request.Failure;
}

/** Optional handlers of dispatcher events. */
export interface Observer {
  policies?(policies: event.Policies, now: number): void;
  endpoints?(endpoints: readonly event.Endpoint[], now: number): void;
  load?(id: string, load: event.Load, now: number): void;
  cache?(change: event.Event & { type: "cache" }, now: number): void;
  /** A request arrived; it is admitted or refused next. */
  arrived?(request: request.Request, now: number): void;
  /** A request was admitted. */
  admitted?(request: request.Request, now: number): void;
  /** A request has its final answer. */
  finished?(request: request.Request, outcome: FinalState, now: number): void;
  started?(attempt: request.Attempt, work: Work, now: number): void;
  /** An attempt received its first or further tokens. */
  progressed?(attempt: request.Attempt, received: number, now: number): void;
  ended?(report: AttemptReport, now: number): void;
  /** Plain JSON for the state dump. */
  dump?(now: number): unknown;
}

/** Final state of a request. */
export type FinalState = "completed" | "refused";

/** Queue of the work for one service. */
export interface Queue {
  readonly size: number;
  push(work: Work, now: number): void;
  /** Removes and returns the work to start next; undefined when none may
   * start. */
  shift(now: number): Work | undefined;
  /** Returns work to the front of the queue that found no endpoint. */
  unshift(work: Work, now: number): void;
  /** Removes the work of a request; false when it is not queued. */
  remove(request: string): boolean;
  /** Removes and returns work that can't meet its deadline; see `Estimate`. */
  expired?(now: number): readonly Work[];
  /** When `shift` may return more work without another event, if known. */
  nextAt?(now: number): number | undefined;
}

/** Queues, one for each service. */
export interface Queues extends Observer {
  create(service: string): Queue;
}

/** Admission control. */
export interface Admission extends Observer {
  /** Returns the reason of a refusal, or undefined to admit the request. */
  admit(
    request: request.Request,
    now: number,
    fleet: Fleet,
  ): effect.Problem | undefined;
}

/** Endpoints and queues as admission control sees them. */
export interface Fleet {
  pool(service: string): Pool | undefined;
  /** Number of queued work items of a service. */
  queued(service: string): number;
  /** Requests in this host without a final answer. */
  readonly inFlight: number;
}

/** Endpoint selection. */
export interface Choice extends Observer {
  /** Returns an endpoint with a free slot, or undefined to leave the work in
   * the queue. */
  choose(work: Work, pool: Pool, now: number): Member | undefined;
}

/** Estimate of the time that requests need. */
export interface Estimate extends Observer {
  /** Lower bound of the time that the rest of the request needs, in
   * milliseconds; 0 when unknown. */
  remainingTime(work: Work, now: number): number;
}

/** Retry policy. */
export interface Retries extends Observer {
  /** Milliseconds to wait before the retry; undefined for no retry. */
  delay(work: Work, failure: request.Failure, now: number): number | undefined;
}

/** Progress of a call in flight. */
export interface Progress {
  readonly attempt: request.Attempt;
  /** When it last made progress; its start when it has made none. */
  readonly at: number;
  /** Whether any of its tokens has been received. */
  readonly receiving: boolean;
}

/** Hedging of slow calls and replacement of hung calls. */
export interface Hedge extends Observer {
  /** Milliseconds from the start of the first call to the hedge; undefined for
   * no hedge. */
  delay(work: Work, first: request.Attempt, now: number): number | undefined;
  /** Whether the hedge may start; called when the delay has passed. */
  allow(work: Work, now: number): boolean;
  /** Time at which a call counts as hung unless it makes progress before;
   * called repeatedly while it runs. When absent, no call counts as hung. */
  hangsAt?(work: Work, progress: Progress, now: number): number;
  /** Whether a hung call may be replaced by a new one; if so, charges the cost
   * of the new call. */
  replace?(work: Work, now: number): boolean;
}

/** All policies of one dispatcher. */
export interface PolicySet {
  queues: Queues;
  admission: Admission;
  choice: Choice;
  estimate: Estimate;
  retries: Retries;
  hedge: Hedge;
  /** Priority sent to engines, 0 to 9. */
  priority(request: request.Request): number;
}
