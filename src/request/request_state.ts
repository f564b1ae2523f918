/** State of one request between its arrival and its final answer.
 * @module */

import type * as fleet from "./fleet.ts";
import type * as policySet from "./policy_set.ts";
import type * as request from "./request.ts";

/** A call that is out. */
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

/** What a request is doing. */
export type Phase = "queued" | "running" | "pausing" | "ended";

/** One request in the host; also the work that waits for an endpoint. */
export class RequestState implements policySet.Work {
  readonly request: request.Request;
  phase: Phase = "queued";
  stage = 0;
  size: number;
  prefix: readonly string[];
  since: number;
  received = 0;
  /** When the last token of the present stage came. */
  progressed = -Infinity;
  /** Attempts of the present stage so far. */
  attempts = 0;
  /** Calls of the present stage that are out: at most two. */
  calls: Call[] = [];
  readonly #failed: string[] = [];
  #evidence: request.Outcome = "not-run";

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
    if (this.calls.length === 0) return this.#failed;
    const busy = this.calls.map((call) => call.attempt.endpoint);
    return [...this.#failed, ...busy];
  }

  /** Whether the request ran, as far as is known now. */
  get outcome(): request.Outcome {
    if (this.#evidence === "ran" || this.calls.length === 0) {
      return this.#evidence;
    }
    return "unknown";
  }

  /** The call that an event belongs to, while it is current. */
  find(attempt: request.Attempt): Call | undefined {
    if (attempt.stage !== this.stage) return undefined;
    return this.calls.find((call) =>
      call.attempt.attempt === attempt.attempt &&
      call.attempt.endpoint === attempt.endpoint
    );
  }

  /** Takes a call out of the current ones and keeps what it proves. */
  end(call: Call, outcome: request.Outcome): void {
    this.calls = this.calls.filter((other) => other !== call);
    this.#evidence = stronger(this.#evidence, outcome);
  }

  /** Remembers an endpoint that failed this stage. */
  fail(endpoint: string): void {
    if (!this.#failed.includes(endpoint)) this.#failed.push(endpoint);
  }

  /** Goes on to the next stage; false when there is none. */
  advance(next: Input, now: number): boolean {
    if (this.stage + 1 >= this.request.stages.length) return false;
    this.stage++;
    this.since = now;
    this.size = next.size;
    this.prefix = next.prefix;
    this.received = 0;
    this.attempts = 0;
    this.#failed.length = 0;
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

const strength: Record<request.Outcome, number> = {
  "not-run": 0,
  unknown: 1,
  ran: 2,
};

function stronger(a: request.Outcome, b: request.Outcome): request.Outcome {
  return strength[a] >= strength[b] ? a : b;
}
