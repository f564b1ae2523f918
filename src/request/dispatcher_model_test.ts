import test from "ava";
import * as fc from "fast-check";
import type * as effect from "./effect.ts";
import type * as event from "./event.ts";
import * as dispatcher from "./dispatcher.ts";
import * as baselinePolicies from "./baseline_policies.ts";
import type * as request from "./request.ts";

const SEED = 20_260_412;
const RUNS = 400;
const SERVICES = ["enc", "lm-pool"] as const;
const ENDPOINTS_PER_SERVICE = 3;
const SLOTS_PER_ENDPOINT = 2;
const MAX_ATTEMPTS = 3;
/** Hung calls that the policy replaces, per request. */
const MAX_REPLACEMENTS = 2;
/** Time without progress after which a call counts as hung. */
const HANG_TIMEOUT_MS = 30;

/** A step of the test; `pick` selects among the existing calls or requests. */
type Command =
  | { type: "arrive"; stages: number; deadline: number; idempotent: boolean }
  | { type: "answer" | "progress" | "replay"; pick: number }
  | { type: "fail"; pick: number; outcome: request.Outcome; received: number }
  | { type: "abandon"; pick: number }
  | { type: "endpoints"; mask: number }
  | { type: "sleep"; time: number; wake: boolean }
  | { type: "drain" };

interface RequestRecord {
  request: request.Request;
  attempts: request.Attempt[];
  /** Attempts that an endpoint may have run. */
  ran: Set<request.Attempt>;
  answered: number;
  ends: number;
  /** Hung calls that the policy replaced. */
  replaced: number;
  /** Tokens of the current stage received from calls in flight. */
  received: number;
}

const pick = fc.nat(1000);
const command: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant("arrive" as const),
      stages: fc.integer({ min: 1, max: 2 }),
      deadline: fc.integer({ min: -5, max: 300 }),
      idempotent: fc.boolean(),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      type: fc.constantFrom(
        "answer" as const,
        "progress" as const,
        "replay" as const,
      ),
      pick,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant("fail" as const),
      pick,
      outcome: fc.constantFrom<request.Outcome>("not-run", "ran", "unknown"),
      received: fc.nat(5),
    }),
  },
  fc.record({ type: fc.constant("abandon" as const), pick }),
  fc.record({ type: fc.constant("drain" as const) }),
  fc.record({
    type: fc.constant("endpoints" as const),
    mask: fc.nat(4 ** (ENDPOINTS_PER_SERVICE * SERVICES.length) - 1),
  }),
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant("sleep" as const),
      time: fc.integer({ min: 0, max: 80 }),
      wake: fc.boolean(),
    }),
  },
);

/** Simulates callers and endpoints, and checks the dispatcher's effects. */
class Simulation {
  readonly #core: dispatcher.Dispatcher;
  readonly #records = new Map<string, RequestRecord>();
  readonly #pastCalls: request.Attempt[] = [];
  #inFlight: request.Attempt[] = [];
  #endpoints: event.Endpoint[] = [];
  #now = 0;
  #isDraining = false;
  /** Attempt that the current event ends. */
  #endingCall: request.Attempt | undefined;

  constructor(hedged: boolean) {
    const hedge = {
      delay: () => hedged ? 20 : undefined,
      allow: () => hedged,
      hangsAt: (_work: unknown, { at }: { at: number }) => at + HANG_TIMEOUT_MS,
      replace: (work: { request: request.Request }) => {
        const record = this.#records.get(work.request.id)!;
        return record.replaced < MAX_REPLACEMENTS && ++record.replaced > 0;
      },
    };
    const retries = baselinePolicies.create({ attempts: MAX_ATTEMPTS }).retries;
    const policySet = { ...baselinePolicies.create(), hedge, retries };
    this.#core = dispatcher.Dispatcher.create({ policySet });
    this.#setEndpoints(0);
  }

  run(command: Command): void {
    const runners: {
      [T in Command["type"]]: (command: Command & { type: T }) => void;
    } = {
      arrive: (command) => this.#arrive(command),
      answer: ({ pick }) => this.#answer(choose(this.#inFlight, pick)),
      replay: ({ pick }) => this.#answer(choose(this.#pastCalls, pick)),
      progress: ({ pick }) => {
        const attempt = choose(this.#inFlight, pick);
        if (attempt === undefined) return;
        const received = pick % 5;
        this.#receive(attempt, received);
        this.#step({ type: "progress", attempt, received });
      },
      fail: (command) => this.#fail(command),
      abandon: ({ pick }) => {
        const found = choose([...this.#records.keys()], pick);
        if (found !== undefined) {
          this.#step({ type: "abandon", request: found });
        }
      },
      endpoints: ({ mask }) => this.#setEndpoints(mask),
      sleep: ({ time, wake }) => {
        this.#now += time;
        if (wake) this.#step({ type: "wake" });
      },
      drain: () => {
        this.#isDraining = true;
        this.#step({ type: "drain" });
      },
    };
    const run = runners[command.type] as (command: Command) => void;
    run(command);
  }

  /** Checks that after all deadlines every request has ended and every slot is
   * free. */
  finish(): void {
    this.#now += 1000;
    this.#step({ type: "wake" });
    check(this.#core.inFlight === 0, "a request has not ended");
    check(this.#inFlight.length === 0, "a call has not ended");
    for (const each of this.#records.values()) {
      check(
        each.ends === 1,
        `a request ended ${each.ends} times, expected once`,
      );
    }
    for (const service of SERVICES) {
      const pool = this.#core.pool(service);
      const slots = (pool?.members.length ?? 0) * SLOTS_PER_ENDPOINT;
      check(
        (pool?.free ?? 0) === slots,
        "the free slots differ from all slots",
      );
    }
  }

  #arrive(command: Command & { type: "arrive" }): void {
    const arrived: request.Request = {
      id: `r${this.#records.size}`,
      account: "entries",
      kind: "roster",
      target: "assign",
      stages: SERVICES.slice(-command.stages).map((service) => ({
        name: service,
        service,
        kind: "engine",
        maxTokens: 5,
      })),
      size: 1,
      arrived: this.#now,
      deadline: this.#now + command.deadline,
      idempotent: command.idempotent,
      streaming: false,
      prefix: [],
    };
    const record = { attempts: [], ran: new Set<request.Attempt>() };
    const counts = { answered: 0, ends: 0, replaced: 0, received: 0 };
    const entered = { request: arrived, ...record, ...counts };
    this.#records.set(arrived.id, entered);
    this.#step({ type: "arrive", request: arrived });
    check(
      !this.#isDraining || entered.ends === 1,
      "a draining host admitted a request",
    );
  }

  #answer(attempt: request.Attempt | undefined): void {
    if (attempt === undefined) return;
    const usage = {
      inputTokens: 0,
      outputTokens: 0,
      cachedTokens: 0,
      engineTime: 0,
    };
    const current = this.#end(attempt);
    const record = this.#records.get(attempt.request)!;
    const late = this.#now >= record.request.deadline;
    if (current && !late) {
      record.answered++;
      record.received = 0;
    }
    this.#step({ type: "answer", attempt, usage, size: 1, prefix: [] });
  }

  #fail(command: Command & { type: "fail" }): void {
    const attempt = choose(this.#inFlight, command.pick);
    if (attempt === undefined) return;
    const { outcome, received } = command;
    this.#receive(attempt, received);
    this.#end(attempt);
    const { ran } = this.#records.get(attempt.request)!;
    if (outcome === "not-run") ran.delete(attempt);
    const failure = { reason: "connection" as const, outcome, received };
    this.#step({ type: "fail", attempt, failure });
  }

  #receive({ request }: request.Attempt, received: number): void {
    const record = this.#records.get(request)!;
    record.received = Math.max(record.received, received);
  }

  /** Removes an attempt; returns whether it was in flight. */
  #end(attempt: request.Attempt): boolean {
    const before = this.#inFlight.length;
    this.#inFlight = this.#inFlight.filter((other) => other !== attempt);
    this.#endingCall = attempt;
    return this.#inFlight.length < before;
  }

  #setEndpoints(mask: number): void {
    const endpoints: event.Endpoint[] = [];
    let rest = mask;
    for (const service of SERVICES) {
      for (let pos = 0; pos < ENDPOINTS_PER_SERVICE; pos++) {
        const state = rest % 4;
        rest = Math.floor(rest / 4);
        if (state === 3) continue;
        endpoints.push({
          id: `${service}-${pos}`,
          service,
          kind: "engine",
          dataCentre: "ba-vi",
          slots: SLOTS_PER_ENDPOINT,
          role: "both",
          state: state === 2 ? "draining" : "ready",
        });
      }
    }
    this.#endpoints = endpoints;
    this.#step({ type: "endpoints", endpoints });
  }

  #step(event: event.Event): void {
    const effects = this.#core.step(event, this.#now);
    for (const each of effects) this.#check(each);
    this.#endingCall = undefined;
  }

  #check(command: effect.Effect): void {
    if (command.type === "call") this.#called(command.attempt);
    if (command.type === "cancel") {
      // A call may end in the step that refuses its request.
      const wasInFlight = this.#end(command.attempt) ||
        command.attempt === this.#endingCall;
      check(wasInFlight, "a call that was not in flight was cancelled");
    }
    if (command.type === "complete") {
      const record = this.#records.get(command.request)!;
      record.ends++;
      check(
        this.#now < record.request.deadline,
        "a request completed after its deadline",
      );
      const { stages } = record.request;
      check(
        record.answered === stages.length,
        "a request completed without the results of all stages",
      );
    }
    if (command.type === "refuse") {
      const record = this.#records.get(command.request)!;
      record.ends++;
      const notRun = command.problem.outcome === "not-run";
      check(
        !notRun || record.ran.size === 0,
        "a refusal says not-run although a call may have run",
      );
    }
  }

  #called(attempt: request.Attempt): void {
    const record = this.#records.get(attempt.request)!;
    const { request, attempts, answered } = record;
    check(record.ends === 0, "a call started for a request that has ended");
    check(
      attempt.stage === answered,
      "a call started before the previous stage was answered",
    );
    const stageAttempts = attempts.filter(({ stage }) =>
      stage === attempt.stage
    );
    check(
      request.idempotent || stageAttempts.length === 0,
      "a request that is not idempotent was dispatched twice",
    );
    const attemptCount = stageAttempts.filter(({ hedge }) => !hedge).length;
    const limit = MAX_ATTEMPTS + record.replaced;
    check(
      attempt.hedge || attemptCount < limit,
      "a stage has more attempts than allowed",
    );
    check(
      attempt.offset === record.received,
      "a call does not resume at the first missing token",
    );
    const inFlight = this.#inFlight.filter(({ request }) =>
      request === attempt.request
    );
    check(
      inFlight.length <= (attempt.hedge ? 1 : 0),
      "a request has too many calls in flight",
    );
    const endpoint = this.#endpoints.find(({ id }) => id === attempt.endpoint);
    check(
      endpoint?.state === "ready",
      "a call started at an endpoint that is not ready",
    );
    const { service } = request.stages[attempt.stage];
    check(
      endpoint?.service === service,
      "a call started at an endpoint of another service",
    );
    attempts.push(attempt);
    record.ran.add(attempt);
    this.#inFlight.push(attempt);
    this.#pastCalls.push(attempt);
  }
}

function choose<T>(from: readonly T[], pick: number): T | undefined {
  return from[pick % Math.max(1, from.length)];
}

function check(holds: boolean, message: string): void {
  if (!holds) throw new Error(message);
}

test("keeps its invariants under random events", (t) => {
  const commands = fc.array(command, { minLength: 5, maxLength: 80 });
  const property = fc.property(commands, fc.boolean(), (all, hedged) => {
    const simulation = new Simulation(hedged);
    for (const each of all) simulation.run(each);
    simulation.finish();
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.pass();
});
