import test from "ava";
import * as policies from "./mod.ts";
import * as request from "../request/mod.ts";
import * as runtime from "../runtime/mod.ts";

const SLOTS = 10;
const CALLS = 200;
/** Milliseconds that any backoff of these tests takes at most. */
const BACKOFF = 100;

function requestOf(id: number): request.Request {
  const stage = { name: "generate", service: "lm-pool", maxTokens: 10 };
  return {
    id: `r${id}`,
    account: "kivu-crew",
    kind: "plan",
    target: "plan",
    stages: [{ ...stage, kind: "engine" }],
    size: 10,
    arrived: 0,
    deadline: 60_000,
    idempotent: true,
    streaming: false,
    prefix: [],
  };
}

function create(role: request.Endpoint["role"] = "both"): request.Dispatcher {
  const random = runtime.createRandom(1);
  const policySet = policies.create({ dataCentre: "gisenyi-hall", random });
  const core = request.Dispatcher.create({ policySet });
  const endpoints = ["e1", "e2"].map((id): request.Endpoint => ({
    id,
    service: "lm-pool",
    kind: "engine",
    dataCentre: "gisenyi-hall",
    slots: SLOTS,
    role,
    state: "ready",
  }));
  core.step({ type: "endpoints", endpoints }, 0);
  return core;
}

function attemptsIn(effects: readonly request.Effect[]): request.Attempt[] {
  return effects.flatMap((each) => each.type === "call" ? [each.attempt] : []);
}

function fail(attempt: request.Attempt): request.Event {
  const cause = { reason: "connection", outcome: "unknown" } as const;
  return { type: "fail", attempt, failure: { ...cause, received: 0 } };
}

/** Fails all calls of requests that come one by one; returns their number. */
function failAll(core: request.Dispatcher): number {
  let now = 0;
  let calls = 0;
  for (let id = 0; id < CALLS; id++) {
    const arrived = { type: "arrive" as const, request: requestOf(id) };
    let [attempt] = attemptsIn(core.step(arrived, now));
    while (attempt !== undefined) {
      calls++;
      const ends = core.step(fail(attempt), now);
      // The backoff of the retry passes.
      now += BACKOFF;
      const next = core.step({ type: "wake" }, now);
      [attempt] = attemptsIn([...ends, ...next]);
    }
  }
  return calls;
}

test("engines that decode take whole calls, those that prefill none", (t) => {
  const arrived = { type: "arrive" as const, request: requestOf(1) };
  const counts = (["decode", "prefill"] as const).map((role) =>
    attemptsIn(create(role).step(arrived, 0)).length
  );
  t.deepEqual(counts, [1, 0]);
});

test("while most slots are free, retries need no budget", (t) => {
  const calls = failAll(create());
  t.true(calls > 2 * CALLS, `${calls}`);
});

test("while slots are in use, retries keep to their budget", (t) => {
  const core = create();
  for (let pos = 0; pos < SLOTS; pos++) {
    const arrived = requestOf(CALLS + pos);
    core.step({ type: "arrive", request: arrived }, 0);
  }
  const calls = failAll(core);
  t.true(calls >= CALLS && calls < 1.2 * CALLS, `${calls}`);
});
