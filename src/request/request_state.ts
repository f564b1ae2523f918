/** State of a request between its arrival and its final answer.
 * @module */

import type * as fleet from "./fleet.ts";
import type * as policySet from "./policy_set.ts";
import type * as request from "./request.ts";

/** A call in flight. */
export interface Call {
  attempt: request.Attempt;
  pool: fleet.Pool;
  member: fleet.Member;
}

/** Size and prefix of a stage's input. */
export interface Input {
  size: number;
  prefix: readonly string[];
}

/** Phase of a request; `pausing` is neither queued nor running, for example
 * before a retry. */
export type Phase = "queued" | "running" | "pausing" | "ended";

/** State of one request; also the work item that policies see. */
export class RequestState implements policySet.Work {
  readonly request: request.Request;
  phase: Phase = "queued";
  stage = 0;
  size: number;
  prefix: readonly string[];
  since: number;
  received = 0;
  /** When the last token of the current stage was received. */
  progressed = -Infinity;
  /** Attempts of the current stage so far. */
  attempts = 0;
  /** Calls of the current stage in flight: at most two. */
  calls: Call[] = [];
  readonly #failedEndpoints: string[] = [];
  #endedOutcome: request.Outcome = "not-run";

  private constructor(arrived: request.Request, now: number) {
    this.request = arrived;
    this.size = arrived.size;
    this.prefix = arrived.prefix;
    this.since = now;
  }

  static create(arrived: request.Request, now: number): RequestState {
    return new RequestState(arrived, now);
  }

  get service(): string {
    return this.request.stages[this.stage].service;
  }

  get avoid(): readonly string[] {
    if (this.calls.length === 0) return this.#failedEndpoints;
    const busy = this.calls.map((call) => call.attempt.endpoint);
    return [...this.#failedEndpoints, ...busy];
  }

  /** Whether the request ran, as far as is known: `unknown` while a call is in
   * flight, unless an earlier call is known to have run. */
  get outcome(): request.Outcome {
    if (this.#endedOutcome === "ran" || this.calls.length === 0) {
      return this.#endedOutcome;
    }
    return "unknown";
  }

  /** The call in flight that an attempt refers to, if any. */
  find(attempt: request.Attempt): Call | undefined {
    if (attempt.stage !== this.stage) return undefined;
    return this.calls.find((call) =>
      call.attempt.attempt === attempt.attempt &&
      call.attempt.endpoint === attempt.endpoint
    );
  }

  /** Removes a call from those in flight and records its outcome. */
  end(call: Call, outcome: request.Outcome): void {
    this.calls = this.calls.filter((other) => other !== call);
    this.#endedOutcome = strongerOutcome(this.#endedOutcome, outcome);
  }

  /** Records an endpoint that failed this stage. */
  fail(endpoint: string): void {
    if (!this.#failedEndpoints.includes(endpoint)) {
      this.#failedEndpoints.push(endpoint);
    }
  }

  /** Moves on to the next stage; false when there is none. */
  advance(next: Input, now: number): boolean {
    if (this.stage + 1 >= this.request.stages.length) return false;
    this.stage++;
    this.since = now;
    this.size = next.size;
    this.prefix = next.prefix;
    this.received = 0;
    this.attempts = 0;
    this.#failedEndpoints.length = 0;
    return true;
  }

  dump(now: number): unknown {
    return {
      id: this.request.id,
      account: this.request.account,
      kind: this.request.kind,
      phase: this.phase,
      stage: this.request.stages[this.stage].name,
      remaining: Math.round(this.request.deadline - now),
      received: this.received,
      attempts: this.attempts,
      endpoints: this.calls.map((call) => call.attempt.endpoint),
      outcome: this.outcome,
    };
  }
}

const outcomeStrength: Record<request.Outcome, number> = {
  "not-run": 0,
  unknown: 1,
  ran: 2,
};

function strongerOutcome(
  a: request.Outcome,
  b: request.Outcome,
): request.Outcome {
  return outcomeStrength[a] >= outcomeStrength[b] ? a : b;
}
