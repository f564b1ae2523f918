/** The decisions of a dispatcher, each behind a small replaceable object.
 *
 * Every part may also watch what happens through the optional handlers of
 * `Observer`. A part mutates its own containers only.
 * @module */

import type * as effect from "./effect.ts";
import type * as event from "./event.ts";
import type * as request from "./request.ts";

/** A stage of a request that waits for an endpoint. */
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
  /** Tokens of the stage's answer that are already here. */
  readonly received: number;
  /** Endpoints that failed this stage, or that run it now. */
  readonly avoid: readonly string[];
}

/** An endpoint with the calls this host has out to it. */
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
  /** Member of that id, also when it drains. */
  member(id: string): Member | undefined;
}

/** How one attempt ended. */
export interface Report {
  readonly attempt: request.Attempt;
  readonly work: Work;
  readonly result: "answered" | "failed" | "cancelled";
  /** Milliseconds from dispatch to the end. */
  readonly elapsed: number;
  readonly usage?: request.Usage;
  readonly failure?: request.Failure;
}

/** What a part may watch. */
export interface Observer {
  policies?(policies: event.Policies, now: number): void;
  endpoints?(endpoints: readonly event.Endpoint[], now: number): void;
  load?(id: string, load: event.Load, now: number): void;
  cache?(change: event.Event & { type: "cache" }, now: number): void;
  /** A request came; it is admitted or refused next. */
  arrived?(request: request.Request, now: number): void;
  /** A request was admitted. */
  admitted?(request: request.Request, now: number): void;
  /** A request has its final answer. */
  finished?(request: request.Request, outcome: Ending, now: number): void;
  started?(attempt: request.Attempt, work: Work, now: number): void;
  /** The first token, or any further progress, of an attempt is here. */
  progressed?(attempt: request.Attempt, received: number, now: number): void;
  ended?(report: Report, now: number): void;
  /** Plain JSON for the state dump. */
  dump?(now: number): unknown;
}

/** How a request ended. */
export type Ending = "completed" | "refused";

/** Order of the work that waits for one service. */
export interface Queue {
  readonly size: number;
  push(work: Work, now: number): void;
  /** Takes the work to be started next; undefined when none may start. */
  shift(now: number): Work | undefined;
  /** Puts back to the front what was just taken and found no endpoint. */
  unshift(work: Work, now: number): void;
  /** Takes out the work of a request; false when it is not here. */
  remove(request: string): boolean;
  /** Work that can't finish in time any more, taken out; see `Estimate`. */
  expired?(now: number): readonly Work[];
  /** When `shift` may return more without another event, if it knows. */
  nextAt?(now: number): number | undefined;
}

/** Queues, one for each service. */
export interface Queues extends Observer {
  create(service: string): Queue;
}

/** Whether a request may enter. */
export interface Admission extends Observer {
  /** Returns why not, or undefined. `queued` counts work for a service. */
  admit(
    request: request.Request,
    now: number,
    fleet: Fleet,
  ): effect.Problem | undefined;
}

/** What admission sees of endpoints and queues. */
export interface Fleet {
  pool(service: string): Pool | undefined;
  queued(service: string): number;
  /** Requests in this host. */
  readonly inFlight: number;
}

/** Which endpoint takes a piece of work. */
export interface Choice extends Observer {
  /** Returns an endpoint with a free slot, or undefined to let it wait. */
  choose(work: Work, pool: Pool, now: number): Member | undefined;
}

/** How long a stage is expected to take. */
export interface Estimate extends Observer {
  /** Least milliseconds the rest of the request needs; 0 when unknown. */
  remainingTime(work: Work, now: number): number;
}

/** Whether a failed stage may be tried again. */
export interface Retries extends Observer {
  /** Milliseconds to wait before the retry; undefined for no retry. */
  delay(work: Work, failure: request.Failure, now: number): number | undefined;
}

/** How far a call got that is out. */
export interface Progress {
  readonly attempt: request.Attempt;
  /** When its last sign of progress came; its start before any. */
  readonly at: number;
  /** Whether any token of it has come. */
  readonly receiving: boolean;
}

/** When a slow call gets a second one raced against it, and a hung one is
 * given up for a new one. */
export interface Hedge extends Observer {
  /** Milliseconds after the start of the first; undefined for never. */
  delay(work: Work, first: request.Attempt, now: number): number | undefined;
  /** Whether the hedge may start now; asked when the delay has passed. */
  allow(work: Work, now: number): boolean;
  /** When a call counts as hung unless it shows progress before; asked time
   * and again while it runs. Absent: never. */
  hangsAt?(work: Work, progress: Progress, now: number): number;
  /** Whether a hung call may be given up for a new one, which this pays. */
  replace?(work: Work, now: number): boolean;
}

/** All decisions of one dispatcher. */
export interface PolicySet {
  queues: Queues;
  admission: Admission;
  choice: Choice;
  estimate: Estimate;
  retries: Retries;
  hedge: Hedge;
  /** Priority that an engine is told, 0 to 9. */
  priority(request: request.Request): number;
}
