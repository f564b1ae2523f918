import test from "ava";
import * as policies from "./mod.ts";
import * as request from "../request/mod.ts";
import * as runtime from "../runtime/mod.ts";

const SLOTS = 10;
const CALLS = 200;
/** Upper bound of the backoffs in these tests. */
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
  const dispatcher = request.Dispatcher.create({ policySet });
  const endpoints = ["e1", "e2"].map((id): request.Endpoint => ({
    id,
    service: "lm-pool",
    kind: "engine",
    dataCentre: "gisenyi-hall",
    slots: SLOTS,
    role,
    state: "ready",
  }));
  dispatcher.step({ type: "endpoints", endpoints }, 0);
  return dispatcher;
}

function attemptsIn(effects: readonly request.Effect[]): request.Attempt[] {
  return effects.flatMap((each) => each.type === "call" ? [each.attempt] : []);
}

function fail(attempt: request.Attempt): request.Event {
  const cause = { reason: "connection", outcome: "unknown" } as const;
  return { type: "fail", attempt, failure: { ...cause, received: 0 } };
}

/** Fails all calls of sequential requests; returns the number of calls. */
function failAll(dispatcher: request.Dispatcher): number {
  let now = 0;
  let calls = 0;
  for (let id = 0; id < CALLS; id++) {
    const arrived = { type: "arrive" as const, request: requestOf(id) };
    let [attempt] = attemptsIn(dispatcher.step(arrived, now));
    while (attempt !== undefined) {
      calls++;
      const ends = dispatcher.step(fail(attempt), now);
      // Waits for the backoff of the retry.
      now += BACKOFF;
      const next = dispatcher.step({ type: "wake" }, now);
      [attempt] = attemptsIn([...ends, ...next]);
    }
  }
  return calls;
}

test("decode engines receive complete calls, prefill engines none", (t) => {
  const arrived = { type: "arrive" as const, request: requestOf(1) };
  const counts = (["decode", "prefill"] as const).map((role) =>
    attemptsIn(create(role).step(arrived, 0)).length
  );
  t.deepEqual(counts, [1, 0]);
});

test("retries need no budget while utilisation is low", (t) => {
  const calls = failAll(create());
  t.true(calls > 2 * CALLS, `${calls}`);
});

test("retries are limited by their budget while utilisation is high", (t) => {
  const dispatcher = create();
  for (let pos = 0; pos < SLOTS; pos++) {
    const arrived = requestOf(CALLS + pos);
    dispatcher.step({ type: "arrive", request: arrived }, 0);
  }
  const calls = failAll(dispatcher);
  t.true(calls >= CALLS && calls < 1.2 * CALLS, `${calls}`);
});
