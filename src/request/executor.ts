/** Performs the effects of the dispatcher: holds payloads, makes calls and
 * replies to callers.
 *
 * Everything runs on one thread, and the loop performs the effects of an event
 * before it handles the next one. A call that is registered here is therefore
 * also in flight in the dispatcher, and its result belongs to its own request.
 * @module */

import type * as endpointCalls from "../endpoint_calls/mod.ts";
import type * as accounting from "./accounting.ts";
import type * as catalogue from "./catalogue.ts";
import type * as dispatcher from "./dispatcher.ts";
import type * as effect from "./effect.ts";
import type * as event from "./event.ts";
import * as loop from "./loop.ts";
import type * as stageData from "./stage_data.ts";
import type * as reply from "./reply.ts";
import type * as request from "./request.ts";
import type * as runtime from "../runtime/mod.ts";

/** A request with its payload and the reply to its caller. */
export interface Job {
  request: request.Request;
  target: catalogue.Target;
  data: stageData.StageData;
  reply: reply.Reply;
}

/** Dependencies of an executor. */
export interface Options {
  dispatcher: dispatcher.Dispatcher;
  endpointCalls: endpointCalls.EndpointClient;
  clock: runtime.Clock;
  accounting: accounting.Accounting;
}

interface Entry {
  job: Job;
  /** Tokens of the current stage. */
  tokens: string[];
  records: reply.StageRecord[];
  usage: { inputTokens: number; outputTokens: number };
  /** Cancel functions of the current stage's calls, by attempt. */
  calls: Map<number, runtime.Cancel>;
}

type Performers = {
  [T in effect.Effect["type"]]: (effect: effect.Effect & { type: T }) => void;
};

/** Minimum time without a byte after which a call fails. */
const MIN_IDLE_TIMEOUT_MS = 500;
/** Time without a byte after which a call fails, relative to the time left. */
const IDLE_TIMEOUT_RATIO = 0.5;

/** Executor of one host. */
export class Executor {
  readonly #options: Options;
  readonly #accounting: accounting.Accounting;
  readonly #entries = new Map<string, Entry>();
  readonly #loop: loop.Loop<event.Event, effect.Effect>;
  readonly #urls = new Map<string, string>();
  #cancelWake: runtime.Cancel = () => {};
  #idleWaiters: (() => void)[] = [];

  private constructor(options: Options) {
    this.#options = options;
    const { dispatcher, clock } = options;
    this.#accounting = options.accounting;
    this.#loop = loop.Loop.start<event.Event, effect.Effect>({
      step: (event) => dispatcher.step(event, clock.now()),
      perform: (effect) => this.#perform(effect),
    });
  }

  static create(options: Options): Executor {
    return new Executor(options);
  }

  /** Requests without a final answer. */
  get inFlight(): number {
    return this.#entries.size;
  }

  submit(job: Job): void {
    this.#entries.set(job.request.id, {
      job,
      tokens: [],
      records: [],
      usage: { inputTokens: 0, outputTokens: 0 },
      calls: new Map(),
    });
    this.#loop.push({ type: "arrive", request: job.request });
    this.#accounting.inFlight(this.#entries.size);
  }

  /** Abandons a request whose caller has disconnected. */
  abandon(id: string): void {
    this.#loop.push({ type: "abandon", request: id });
  }

  /** Replaces the set of known endpoints. */
  setEndpoints(endpoints: readonly (event.Endpoint & { url: string })[]): void {
    this.#urls.clear();
    for (const { id, url } of endpoints) this.#urls.set(id, url);
    this.#loop.push({ type: "endpoints", endpoints });
  }

  /** Passes an event on to the dispatcher. */
  push(event: event.Event): void {
    this.#loop.push(event);
  }

  /** Resolves once no request is in flight. */
  idle(): Promise<void> {
    if (this.#entries.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleWaiters.push(resolve));
  }

  /** Cancels the pending wake when the host stops. */
  close(): void {
    this.#cancelWake();
  }

  #perform(effect: effect.Effect): void {
    const perform = this.#performers[effect.type] as (
      effect: effect.Effect,
    ) => void;
    perform(effect);
  }

  readonly #performers: Performers = {
    call: (effect) => this.#call(effect),
    cancel: (effect) => this.#cancel(effect),
    complete: ({ request }) => this.#complete(request),
    refuse: ({ request, problem }) => this.#refuse(request, problem),
    wake: ({ at }) => {
      this.#cancelWake();
      const delay = at - this.#options.clock.now();
      const wake = () => this.#loop.push({ type: "wake" });
      this.#cancelWake = this.#options.clock.after(delay, wake);
    },
  };

  #call(effect: effect.Effect & { type: "call" }): void {
    const { attempt, deadline, priority } = effect;
    const entry = this.#entries.get(attempt.request)!;
    const step = entry.job.target.steps[attempt.stage];
    const url = this.#urls.get(attempt.endpoint);
    this.#accounting.called(attempt);
    if (url === undefined) return this.#unreachable(attempt);
    const call: endpointCalls.Call = {
      attempt,
      stage: step.name,
      url,
      deadline,
      priority,
      idleTimeout: this.#idleTimeout(entry.job.request),
      input: entry.job.data.input(step),
    };
    // Registered first, since a call may fail before `call` returns.
    entry.calls.set(attempt.attempt, () => {});
    const cancel = this.#options.endpointCalls.call(call, {
      token: (offset, text) => this.#token(attempt, offset, text),
      answer: (result, usage) => this.#answer(attempt, result, usage),
      fail: (failure) => this.#fail(attempt, failure),
    });
    if (entry.calls.has(attempt.attempt)) {
      entry.calls.set(attempt.attempt, cancel);
    }
  }

  #unreachable(attempt: request.Attempt): void {
    this.#loop.push({
      type: "fail",
      attempt,
      failure: { reason: "refused", outcome: "not-run", received: 0 },
    });
  }

  /** Infinite for a request that is not idempotent: it can't be retried, so
   * there is no use in failing its call early. */
  #idleTimeout({ idempotent, deadline }: request.Request): number {
    if (!idempotent) return Infinity;
    const remaining = deadline - this.#options.clock.now();
    return Math.max(MIN_IDLE_TIMEOUT_MS, remaining * IDLE_TIMEOUT_RATIO);
  }

  #cancel({ attempt, hung }: effect.Effect & { type: "cancel" }): void {
    const entry = this.#entries.get(attempt.request);
    const cancel = entry?.calls.get(attempt.attempt);
    if (entry === undefined || cancel === undefined) return;
    entry.calls.delete(attempt.attempt);
    if (hung) this.#accounting.hung(entry.job, attempt);
    const cause = attempt.hedge ? "hedge" : "cancelled";
    this.#accounting.waste(entry.job, attempt, hung ? "retry" : cause);
    cancel();
  }

  #token(attempt: request.Attempt, offset: number, text: string): void {
    const entry = this.#currentEntry(attempt);
    if (entry === undefined) return;
    const { job, tokens } = entry;
    if (offset !== tokens.length) return;
    tokens.push(text);
    const last = attempt.stage === job.target.steps.length - 1;
    if (last && job.request.streaming) job.reply.token(offset, text);
    this.#loop.push({ type: "progress", attempt, received: tokens.length });
  }

  #answer(
    attempt: request.Attempt,
    result: endpointCalls.Result,
    usage: request.Usage,
  ): void {
    const entry = this.#currentEntry(attempt);
    if (entry === undefined) return;
    entry.calls.delete(attempt.attempt);
    const { job, tokens } = entry;
    const { steps } = job.target;
    const step = steps[attempt.stage];
    this.#accounting.charge(job, attempt, usage);
    entry.records.push(this.#record(attempt, step));
    entry.usage.inputTokens += usage.inputTokens;
    entry.usage.outputTokens += usage.outputTokens;
    job.data.store(result, tokens.join(""));
    entry.tokens = [];
    const next = steps[attempt.stage + 1];
    const { size, prefix } = next === undefined
      ? { size: 0, prefix: [] }
      : job.data.measure(next);
    this.#loop.push({ type: "answer", attempt, usage, size, prefix });
  }

  #fail(attempt: request.Attempt, failure: request.Failure): void {
    const entry = this.#currentEntry(attempt);
    if (entry === undefined) return;
    entry.calls.delete(attempt.attempt);
    if (failure.outcome !== "not-run") {
      this.#accounting.waste(entry.job, attempt, "retry");
    }
    this.#loop.push({ type: "fail", attempt, failure });
  }

  /** Entry of a call that is still in flight. */
  #currentEntry(attempt: request.Attempt): Entry | undefined {
    const entry = this.#entries.get(attempt.request);
    return entry?.calls.has(attempt.attempt) ? entry : undefined;
  }

  #complete(id: string): void {
    const entry = this.#removeEntry(id);
    if (entry === undefined) return;
    const { job, records, usage } = entry;
    this.#accounting.completed(job);
    const { payload, plain } = job.data;
    if (payload.type === "plain") return job.reply.pass(plain!);
    job.reply.complete({
      id,
      pipeline: job.target.name,
      output: job.data.output(job.target.steps.at(-1)!.kind),
      stages: records,
      usage,
    });
  }

  #refuse(id: string, problem: effect.Problem): void {
    const entry = this.#removeEntry(id);
    if (entry === undefined) return;
    this.#accounting.refused(entry.job.request, problem);
    entry.job.reply.refuse(problem);
  }

  #removeEntry(id: string): Entry | undefined {
    const entry = this.#entries.get(id);
    if (entry === undefined) return undefined;
    this.#entries.delete(id);
    this.#accounting.inFlight(this.#entries.size);
    if (this.#entries.size === 0) {
      for (const resolve of this.#idleWaiters.splice(0)) resolve();
    }
    return entry;
  }

  #record(
    attempt: request.Attempt,
    step: catalogue.Step,
  ): reply.StageRecord {
    const { clock } = this.#options;
    return {
      name: step.name,
      service: step.service,
      endpoint: attempt.endpoint,
      milliseconds: Math.round(clock.now() - attempt.started),
      attempts: attempt.attempt,
    };
  }
}
