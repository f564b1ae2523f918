/** Drives dispatchers over fake endpoints in virtual time and checks what must
 * always hold.
 * @module */

import type * as request from "../../src/request/mod.ts";
import * as runtime from "../../src/runtime/mod.ts";
import * as chance from "./chance.ts";
import * as deployment from "./deployment.ts";
import * as fakeEndpoint from "./fake_endpoint.ts";
import * as load from "./load.ts";
import type * as scenario from "./scenario.ts";

/** Whatever takes the dispatcher's events. */
export interface Dispatcher {
  step(event: request.Event, now: number): readonly request.Effect[];
}

/** One run. */
export interface Run {
  users: deployment.Deployment;
  scenario: scenario.Scenario;
  seed: number;
  /** Hosts that share the endpoints; each has its own dispatcher. */
  hosts: number;
  create(random: runtime.Random, dataCentre: string): Dispatcher;
}

/** What became of one request. */
export interface Trace {
  request: request.Request;
  kind: deployment.Kind;
  host: number;
  output: number;
  /** Stages answered, in order. */
  answered: string[];
  /** Attempts sent, by stage. */
  calls: number[];
  /** Calls by stage that may have run: all but those known as not run. */
  ran: number[];
  ended?: number;
  ending?: "complete" | request.Problem;
}

/** Cost of one attempt. */
export interface Spent {
  trace: Trace;
  stage: number;
  key: string;
  time: number;
}

/** All that happened. */
export interface History {
  traces: readonly Trace[];
  spent: readonly Spent[];
  /** Sentences on what must never happen but did. */
  violations: readonly string[];
}

/** Milliseconds between load reports, and how old they are on arrival. */
const REPORT_EVERY = 250;
const REPORT_LAG = 200;

/** Milliseconds after the last arrival by which everything must have ended. */
const REST = 60_000;

/** Runs to the end. */
export function play(run: Run): History {
  return new World(run).play();
}

class World {
  readonly #run: Run;
  readonly #clock = new runtime.FakeClock();
  readonly #hosts: Dispatcher[];
  readonly #endpoints = new Map<string, fakeEndpoint.FakeEndpoint>();
  readonly #traces = new Map<string, Trace>();
  readonly #spent: Spent[] = [];
  readonly #violations: string[] = [];

  constructor(run: Run) {
    this.#run = run;
    const { dataCentres } = run.users;
    this.#hosts = Array.from({ length: run.hosts }, (_, i) => {
      const dataCentre = dataCentres[i % dataCentres.length];
      return run.create(chance.chanceOf(run.seed, i), dataCentre);
    });
  }

  play(): History {
    const { users, scenario, seed } = this.#run;
    this.#createEndpoints();
    this.#tell({ type: "policies", policies: deployment.policiesOf(users) });
    this.#report();
    load.arrivals(users, scenario, seed).forEach((arrived, index) => {
      this.#clock.after(arrived.arrived, () => this.#arrive(arrived, index));
    });
    this.#clock.advance(scenario.length + REST);
    for (const trace of this.#traces.values()) {
      if (trace.ending === undefined) this.#object(trace, "never ended");
    }
    return {
      traces: [...this.#traces.values()],
      spent: this.#spent,
      violations: this.#violations,
    };
  }

  #createEndpoints(): void {
    const { users, scenario } = this.#run;
    const seen: request.Endpoint[] = [];
    for (const pool of users.pools) {
      for (let i = 0; i < pool.endpoints; i++) {
        const id = `${pool.service}-${i}`;
        const fault = scenario.faultOf(i);
        const options = { id, pool, fault, clock: this.#clock, listener: this };
        const created = new fakeEndpoint.FakeEndpoint(options);
        this.#endpoints.set(id, created);
        seen.push({
          id,
          service: pool.service,
          kind: pool.kind,
          dataCentre: users.dataCentres[i % users.dataCentres.length],
          slots: pool.slots,
          role: "both",
          state: "ready",
        });
      }
    }
    this.#tell({ type: "endpoints", endpoints: seen });
  }

  #report(): void {
    for (const [endpoint, { load }] of this.#endpoints) {
      const event: request.Event = { type: "load", endpoint, load };
      this.#clock.after(REPORT_LAG, () => this.#tell(event));
    }
    if (this.#clock.now() > this.#run.scenario.length) return;
    this.#clock.after(REPORT_EVERY, () => this.#report());
  }

  #arrive(arrived: request.Request, index: number): void {
    const { users, seed } = this.#run;
    const kind = users.kinds.find(({ name }) => name === arrived.kind)!;
    const random = chance.chanceOf(seed, index);
    const share = deployment.OUTPUT_SHARE * (0.5 + random.next());
    const host = index % this.#hosts.length;
    this.#traces.set(arrived.id, {
      request: arrived,
      kind,
      host,
      output: share,
      answered: [],
      calls: arrived.stages.map(() => 0),
      ran: arrived.stages.map(() => 0),
    });
    this.#step(host, { type: "arrive", request: arrived });
  }

  #tell(event: request.Event): void {
    this.#hosts.forEach((_, host) => this.#step(host, event));
  }

  #step(host: number, event: request.Event): void {
    const now = this.#clock.now();
    for (const effect of this.#hosts[host].step(event, now)) {
      this.#act(host, effect);
    }
  }

  #act(host: number, effect: request.Effect): void {
    if (effect.type === "wake") {
      const delay = effect.at - this.#clock.now();
      this.#clock.after(delay, () => this.#step(host, { type: "wake" }));
    } else if (effect.type === "call") {
      this.#call(effect.attempt, effect.priority);
    } else if (effect.type === "cancel") {
      this.#endpoints.get(effect.attempt.endpoint)?.cancel(effect.attempt);
    } else if (effect.type === "complete") {
      const trace = this.#traces.get(effect.request)!;
      const whole = trace.answered.length === trace.request.stages.length;
      if (!whole) this.#object(trace, "was completed without all stages");
      this.#end(trace, "complete");
    } else {
      const trace = this.#traces.get(effect.request)!;
      const claimed = effect.problem.outcome === "not-run";
      if (claimed && trace.ran.some((calls) => calls > 0)) {
        this.#object(trace, "was refused as not-run but may have run");
      }
      this.#end(trace, effect.problem);
    }
  }

  #end(trace: Trace, ending: "complete" | request.Problem): void {
    if (trace.ending !== undefined) this.#object(trace, "ended twice");
    trace.ending = ending;
    trace.ended = this.#clock.now();
  }

  #call(attempt: request.Attempt, priority: number): void {
    const trace = this.#traces.get(attempt.request)!;
    const { kind, request, calls } = trace;
    const stage = kind.stages[attempt.stage];
    if (attempt.stage !== trace.answered.length) {
      this.#object(trace, `called stage ${stage.name} out of turn`);
    }
    trace.ran[attempt.stage]++;
    if (++calls[attempt.stage] > 1 && !request.idempotent) {
      this.#object(trace, `dispatched ${stage.name} twice`);
    }
    const random = chance.chanceOf(
      this.#run.seed,
      Number(request.id.slice(1)),
      attempt.stage,
      attempt.attempt,
    );
    const size = stage.sizeOf(request.size);
    const output = Math.round(trace.output * stage.maxTokens);
    const endpoint = this.#endpoints.get(attempt.endpoint)!;
    endpoint.call({ attempt, priority, size, output, random });
  }

  progress({ attempt }: fakeEndpoint.Call): void {
    const { host } = this.#traces.get(attempt.request)!;
    this.#step(host, { type: "progress", attempt, received: 1 });
  }

  answer({ attempt }: fakeEndpoint.Call, usage: request.Usage): void {
    const trace = this.#traces.get(attempt.request)!;
    if (trace.answered.length === attempt.stage) {
      trace.answered.push(fakeEndpoint.keyOf(attempt));
    }
    const next = trace.kind.stages[attempt.stage + 1];
    const size = next?.sizeOf(trace.request.size) ?? 0;
    const prefix = trace.request.prefix;
    const event = { type: "answer" as const, attempt, usage, size, prefix };
    this.#step(trace.host, event);
  }

  fail({ attempt }: fakeEndpoint.Call, failure: request.Failure): void {
    const trace = this.#traces.get(attempt.request)!;
    if (failure.outcome === "not-run") trace.ran[attempt.stage]--;
    this.#step(trace.host, { type: "fail", attempt, failure });
  }

  cost({ attempt }: fakeEndpoint.Call, time: number): void {
    const trace = this.#traces.get(attempt.request)!;
    const key = fakeEndpoint.keyOf(attempt);
    this.#spent.push({ trace, stage: attempt.stage, key, time });
  }

  #object(trace: Trace, what: string): void {
    this.#violations.push(`${trace.request.id} ${what}`);
  }
}
