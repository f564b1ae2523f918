import test from "ava";
import * as fc from "fast-check";
import type * as effect from "./effect.ts";
import type * as event from "./event.ts";
import * as dispatcher from "./dispatcher.ts";
import * as plain from "./baseline_policies.ts";
import type * as request from "./request.ts";

const SEED = 20_260_412;
const RUNS = 400;
const SERVICES = ["enc", "lm-pool"] as const;
const ENDPOINTS = 3;
const SLOTS = 2;
const ATTEMPTS = 3;
/** Hung calls that the policy pays to replace, for each request. */
const REPLACED = 2;
/** Milliseconds without progress that make a hang. */
const HANG = 30;

/** What may happen; `pick` chooses among what is there. */
type Command =
  | { type: "arrive"; stages: number; deadline: number; idempotent: boolean }
  | { type: "answer" | "progress" | "replay"; pick: number }
  | { type: "fail"; pick: number; outcome: request.Outcome; received: number }
  | { type: "abandon"; pick: number }
  | { type: "endpoints"; mask: number }
  | { type: "sleep"; time: number; wake: boolean }
  | { type: "drain" };

interface Seen {
  request: request.Request;
  attempts: request.Attempt[];
  /** Attempts that an endpoint may have run. */
  ran: Set<request.Attempt>;
  answered: number;
  ends: number;
  /** Hung calls that the policy let be replaced. */
  replaced: number;
  /** Tokens of the present stage that came from current calls. */
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
    mask: fc.nat(4 ** (ENDPOINTS * SERVICES.length) - 1),
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

/** Plays callers and endpoints, and checks what the core asks for. */
class World {
  readonly #core: dispatcher.Dispatcher;
  readonly #seen = new Map<string, Seen>();
  readonly #past: request.Attempt[] = [];
  #out: request.Attempt[] = [];
  #endpoints: event.Endpoint[] = [];
  #now = 0;
  #drained = false;
  /** Attempt that the present event ends. */
  #ending: request.Attempt | undefined;

  constructor(hedged: boolean) {
    const hedge = {
      delay: () => hedged ? 20 : undefined,
      allow: () => hedged,
      hangsAt: (_work: unknown, { at }: { at: number }) => at + HANG,
      replace: (work: { request: request.Request }) => {
        const seen = this.#seen.get(work.request.id)!;
        return seen.replaced < REPLACED && ++seen.replaced > 0;
      },
    };
    const retries = plain.create({ attempts: ATTEMPTS }).retries;
    const policySet = { ...plain.create(), hedge, retries };
    this.#core = dispatcher.Dispatcher.create({ policySet });
    this.#setEndpoints(0);
  }

  run(asked: Command): void {
    const runners: {
      [T in Command["type"]]: (asked: Command & { type: T }) => void;
    } = {
      arrive: (asked) => this.#arrive(asked),
      answer: ({ pick }) => this.#answer(choose(this.#out, pick)),
      replay: ({ pick }) => this.#answer(choose(this.#past, pick)),
      progress: ({ pick }) => {
        const attempt = choose(this.#out, pick);
        if (attempt === undefined) return;
        const received = pick % 5;
        this.#receive(attempt, received);
        this.#step({ type: "progress", attempt, received });
      },
      fail: (asked) => this.#fail(asked),
      abandon: ({ pick }) => {
        const found = choose([...this.#seen.keys()], pick);
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
        this.#drained = true;
        this.#step({ type: "drain" });
      },
    };
    const run = runners[asked.type] as (asked: Command) => void;
    run(asked);
  }

  /** After all deadlines every request has ended and every slot is free. */
  finish(): void {
    this.#now += 1000;
    this.#step({ type: "wake" });
    check(this.#core.inFlight === 0, "a request never ended");
    check(this.#out.length === 0, "a call was never ended");
    for (const each of this.#seen.values()) {
      check(each.ends === 1, `${each.ends} ends of one request`);
    }
    for (const service of SERVICES) {
      const pool = this.#core.pool(service);
      const slots = (pool?.members.length ?? 0) * SLOTS;
      check((pool?.free ?? 0) === slots, "a slot was lost");
    }
  }

  #arrive(asked: Command & { type: "arrive" }): void {
    const arrived: request.Request = {
      id: `r${this.#seen.size}`,
      account: "entries",
      kind: "roster",
      target: "assign",
      stages: SERVICES.slice(-asked.stages).map((service) => ({
        name: service,
        service,
        kind: "engine",
        maxTokens: 5,
      })),
      size: 1,
      arrived: this.#now,
      deadline: this.#now + asked.deadline,
      idempotent: asked.idempotent,
      streaming: false,
      prefix: [],
    };
    const seen = { attempts: [], ran: new Set<request.Attempt>() };
    const counts = { answered: 0, ends: 0, replaced: 0, received: 0 };
    const entered = { request: arrived, ...seen, ...counts };
    this.#seen.set(arrived.id, entered);
    this.#step({ type: "arrive", request: arrived });
    check(!this.#drained || entered.ends === 1, "entered a draining host");
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
    const seen = this.#seen.get(attempt.request)!;
    const late = this.#now >= seen.request.deadline;
    if (current && !late) {
      seen.answered++;
      seen.received = 0;
    }
    this.#step({ type: "answer", attempt, usage, size: 1, prefix: [] });
  }

  #fail(asked: Command & { type: "fail" }): void {
    const attempt = choose(this.#out, asked.pick);
    if (attempt === undefined) return;
    const { outcome, received } = asked;
    this.#receive(attempt, received);
    this.#end(attempt);
    const { ran } = this.#seen.get(attempt.request)!;
    if (outcome === "not-run") ran.delete(attempt);
    const failure = { reason: "connection" as const, outcome, received };
    this.#step({ type: "fail", attempt, failure });
  }

  #receive({ request }: request.Attempt, received: number): void {
    const seen = this.#seen.get(request)!;
    seen.received = Math.max(seen.received, received);
  }

  /** Whether the attempt was out until now. */
  #end(attempt: request.Attempt): boolean {
    const before = this.#out.length;
    this.#out = this.#out.filter((other) => other !== attempt);
    this.#ending = attempt;
    return this.#out.length < before;
  }

  #setEndpoints(mask: number): void {
    const endpoints: event.Endpoint[] = [];
    let rest = mask;
    for (const service of SERVICES) {
      for (let pos = 0; pos < ENDPOINTS; pos++) {
        const state = rest % 4;
        rest = Math.floor(rest / 4);
        if (state === 3) continue;
        endpoints.push({
          id: `${service}-${pos}`,
          service,
          kind: "engine",
          dataCentre: "ba-vi",
          slots: SLOTS,
          role: "both",
          state: state === 2 ? "draining" : "ready",
        });
      }
    }
    this.#endpoints = endpoints;
    this.#step({ type: "endpoints", endpoints });
  }

  #step(happened: event.Event): void {
    const effects = this.#core.step(happened, this.#now);
    for (const each of effects) this.#check(each);
    this.#ending = undefined;
  }

  #check(asked: effect.Effect): void {
    if (asked.type === "call") this.#called(asked.attempt);
    if (asked.type === "cancel") {
      // A call may end in the very step that gives its request up.
      const known = this.#end(asked.attempt) || asked.attempt === this.#ending;
      check(known, "a cancel of no call");
    }
    if (asked.type === "complete") {
      const seen = this.#seen.get(asked.request)!;
      seen.ends++;
      check(this.#now < seen.request.deadline, "a late completion");
      const { stages } = seen.request;
      check(seen.answered === stages.length, "a stage result is missing");
    }
    if (asked.type === "refuse") {
      const seen = this.#seen.get(asked.request)!;
      seen.ends++;
      const notRun = asked.problem.outcome === "not-run";
      check(!notRun || seen.ran.size === 0, "not-run, but a call may have run");
    }
  }

  #called(attempt: request.Attempt): void {
    const seen = this.#seen.get(attempt.request)!;
    const { request, attempts, answered } = seen;
    check(seen.ends === 0, "a call for a request that ended");
    check(
      attempt.stage === answered,
      "a call before the earlier stage's answer",
    );
    const same = attempts.filter(({ stage }) => stage === attempt.stage);
    check(request.idempotent || same.length === 0, "a second dispatch");
    const tries = same.filter(({ hedge }) => !hedge).length;
    const most = ATTEMPTS + seen.replaced;
    check(attempt.hedge || tries < most, "too many attempts");
    check(attempt.offset === seen.received, "a token is missing or twice");
    const out = this.#out.filter(({ request }) => request === attempt.request);
    check(out.length <= (attempt.hedge ? 1 : 0), "too many calls at once");
    const endpoint = this.#endpoints.find(({ id }) => id === attempt.endpoint);
    check(endpoint?.state === "ready", "a call to an endpoint that left");
    const { service } = request.stages[attempt.stage];
    check(endpoint?.service === service, "a call to another service");
    attempts.push(attempt);
    seen.ran.add(attempt);
    this.#out.push(attempt);
    this.#past.push(attempt);
  }
}

function choose<T>(from: readonly T[], pick: number): T | undefined {
  return from[pick % Math.max(1, from.length)];
}

function check(holds: boolean, message: string): void {
  if (!holds) throw new Error(message);
}

test("holds its invariants whatever callers and endpoints do", (t) => {
  const commands = fc.array(command, { minLength: 5, maxLength: 80 });
  const property = fc.property(commands, fc.boolean(), (all, hedged) => {
    const world = new World(hedged);
    for (const each of all) world.run(each);
    world.finish();
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.pass();
});
