/** The shell around the dispatcher: holds payloads, makes the calls that the
 * core asks for, and tells callers what became of their requests.
 *
 * It runs on one thread, and the loop performs the effects of an event before
 * it takes the next. So a call that is still listed here is current in the
 * core as well, and what it brings is kept for its own request only.
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

/** A request with its payload and its caller. */
export interface Job {
  request: request.Request;
  target: catalogue.Target;
  data: stageData.StageData;
  reply: reply.Reply;
}

/** Parts of an execution. */
export interface Options {
  dispatcher: dispatcher.Dispatcher;
  endpointCalls: endpointCalls.EndpointClient;
  clock: runtime.Clock;
  accounting: accounting.Accounting;
}

interface Entry {
  job: Job;
  /** Tokens of the present stage. */
  tokens: string[];
  records: reply.StageRecord[];
  usage: { inputTokens: number; outputTokens: number };
  /** Calls of the present stage, by attempt. */
  calls: Map<number, runtime.Cancel>;
}

type Performers = {
  [T in effect.Effect["type"]]: (asked: effect.Effect & { type: T }) => void;
};

/** Least milliseconds after which a connection counts as silent. */
const LEAST_SILENCE = 500;
/** Share of the time left after which a connection counts as silent. */
const SILENCE_SHARE = 0.5;

/** Executes the requests of one host. */
export class Executor {
  readonly #options: Options;
  readonly #accounting: accounting.Accounting;
  readonly #entries = new Map<string, Entry>();
  readonly #loop: loop.Loop<event.Event, effect.Effect>;
  readonly #urls = new Map<string, string>();
  #cancelWake: runtime.Cancel = () => {};
  #idle: (() => void)[] = [];

  private constructor(options: Options) {
    this.#options = options;
    const { dispatcher, clock } = options;
    this.#accounting = options.accounting;
    this.#loop = loop.Loop.start<event.Event, effect.Effect>({
      step: (happened) => dispatcher.step(happened, clock.now()),
      perform: (asked) => this.#perform(asked),
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

  /** The caller went away. */
  abandon(id: string): void {
    this.#loop.push({ type: "abandon", request: id });
  }

  /** Takes the present endpoints in place of the old ones. */
  setEndpoints(endpoints: readonly (event.Endpoint & { url: string })[]): void {
    this.#urls.clear();
    for (const { id, url } of endpoints) this.#urls.set(id, url);
    this.#loop.push({ type: "endpoints", endpoints });
  }

  /** Passes an event of another part on. */
  push(happened: event.Event): void {
    this.#loop.push(happened);
  }

  /** Resolves once no request is in flight. */
  idle(): Promise<void> {
    if (this.#entries.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idle.push(resolve));
  }

  /** Forgets the wake that is on its way; the host is stopping. */
  close(): void {
    this.#cancelWake();
  }

  #perform(asked: effect.Effect): void {
    const perform = this.#performers[asked.type] as (
      asked: effect.Effect,
    ) => void;
    perform(asked);
  }

  readonly #performers: Performers = {
    call: (asked) => this.#call(asked),
    cancel: (asked) => this.#cancel(asked),
    complete: ({ request }) => this.#complete(request),
    refuse: ({ request, problem }) => this.#refuse(request, problem),
    wake: ({ at }) => {
      this.#cancelWake();
      const delay = at - this.#options.clock.now();
      const wake = () => this.#loop.push({ type: "wake" });
      this.#cancelWake = this.#options.clock.after(delay, wake);
    },
  };

  #call(asked: effect.Effect & { type: "call" }): void {
    const { attempt, deadline, priority } = asked;
    const entry = this.#entries.get(attempt.request)!;
    const step = entry.job.target.steps[attempt.stage];
    const url = this.#urls.get(attempt.endpoint);
    this.#accounting.called(attempt);
    if (url === undefined) return this.#unreachable(attempt);
    const made: endpointCalls.Call = {
      attempt,
      stage: step.name,
      url,
      deadline,
      priority,
      idleTimeout: this.#silence(entry.job.request),
      input: entry.job.data.input(step),
    };
    // Registered first: a call may fail before `call` returns.
    entry.calls.set(attempt.attempt, () => {});
    const cancel = this.#options.endpointCalls.call(made, {
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

  /** What may not be repeated gains nothing from being given up early. */
  #silence({ idempotent, deadline }: request.Request): number {
    if (!idempotent) return Infinity;
    const left = deadline - this.#options.clock.now();
    return Math.max(LEAST_SILENCE, left * SILENCE_SHARE);
  }

  #cancel({ attempt, hung }: effect.Effect & { type: "cancel" }): void {
    const entry = this.#entries.get(attempt.request);
    const cancel = entry?.calls.get(attempt.attempt);
    if (entry === undefined || cancel === undefined) return;
    entry.calls.delete(attempt.attempt);
    if (hung) this.#accounting.hung(entry.job, attempt);
    const lost = attempt.hedge ? "hedge" : "cancelled";
    this.#accounting.waste(entry.job, attempt, hung ? "retry" : lost);
    cancel();
  }

  #token(attempt: request.Attempt, offset: number, text: string): void {
    const entry = this.#current(attempt);
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
    const entry = this.#current(attempt);
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
    const entry = this.#current(attempt);
    if (entry === undefined) return;
    entry.calls.delete(attempt.attempt);
    if (failure.outcome !== "not-run") {
      this.#accounting.waste(entry.job, attempt, "retry");
    }
    this.#loop.push({ type: "fail", attempt, failure });
  }

  /** The entry of a call that is still out. */
  #current(attempt: request.Attempt): Entry | undefined {
    const entry = this.#entries.get(attempt.request);
    return entry?.calls.has(attempt.attempt) ? entry : undefined;
  }

  #complete(id: string): void {
    const entry = this.#end(id);
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
    const entry = this.#end(id);
    if (entry === undefined) return;
    this.#accounting.refused(entry.job.request, problem);
    entry.job.reply.refuse(problem);
  }

  #end(id: string): Entry | undefined {
    const entry = this.#entries.get(id);
    if (entry === undefined) return undefined;
    this.#entries.delete(id);
    this.#accounting.inFlight(this.#entries.size);
    if (this.#entries.size === 0) {
      for (const resolve of this.#idle.splice(0)) resolve();
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
