import test from "ava";
import type * as effect from "./effect.ts";
import type * as event from "./event.ts";
import * as dispatcher from "./dispatcher.ts";
import * as baselinePolicies from "./baseline_policies.ts";
import type * as request from "./request.ts";

const HANG_TIMEOUT_MS = 100;

function endpointOf(id: string): event.Endpoint {
  const place = { service: "lm-pool", dataCentre: "gisenyi-hall" };
  const engine = { kind: "engine", role: "both", state: "ready" } as const;
  return { id, slots: 1, ...place, ...engine };
}

function create(ids: readonly string[], budget = 1): dispatcher.Dispatcher {
  let remainingBudget = budget;
  const policySet = {
    ...baselinePolicies.create(),
    hedge: {
      delay: () => undefined,
      allow: () => false,
      hangsAt: (_work: unknown, { at }: { at: number }) => at + HANG_TIMEOUT_MS,
      replace: () => remainingBudget-- > 0,
    },
  };
  const core = dispatcher.Dispatcher.create({ policySet });
  core.step({ type: "endpoints", endpoints: ids.map(endpointOf) }, 0);
  return core;
}

function arrive(idempotent = true): event.Event {
  const stage = { name: "generate", service: "lm-pool", maxTokens: 9 };
  const arriving: request.Request = {
    id: "r",
    account: "kivu-crew",
    kind: "plan",
    target: "plan",
    stages: [{ ...stage, kind: "engine" }],
    size: 10,
    arrived: 0,
    deadline: 5000,
    idempotent,
    streaming: true,
    prefix: [],
  };
  return { type: "arrive", request: arriving };
}

function callIn(effects: readonly effect.Effect[]): request.Attempt {
  const found = effects.find((each) => each.type === "call");
  if (found?.type !== "call") throw new Error("The effects contain no call");
  return found.attempt;
}

function typesOf(effects: readonly effect.Effect[]): string[] {
  return effects.map(({ type }) => type).filter((type) => type !== "wake");
}

test("a stream that hangs midway resumes on another endpoint", (t) => {
  const core = create(["e1", "e2"]);
  const attempt = callIn(core.step(arrive(), 0));
  core.step({ type: "progress", attempt, received: 3 }, 80);
  t.deepEqual(typesOf(core.step({ type: "wake" }, 100)), []);
  const effects = core.step({ type: "wake" }, 180);
  t.deepEqual(typesOf(effects), ["cancel", "call"]);
  t.like(effects[0], { attempt, hung: true });
  t.like(callIn(effects), { endpoint: "e2", attempt: 2, offset: 3 });
});

test("a hung call is repeated on the same endpoint if there is no other", (t) => {
  const core = create(["e1"]);
  core.step(
    { type: "endpoints", endpoints: [{ ...endpointOf("e1"), slots: 2 }] },
    0,
  );
  core.step(arrive(), 0);
  const again = callIn(core.step({ type: "wake" }, 100));
  t.like(again, { endpoint: "e1", attempt: 2 });
});

test("a hung call is not replaced when the policy refuses it", (t) => {
  const core = create(["e1", "e2"], 1);
  core.step(arrive(), 0);
  callIn(core.step({ type: "wake" }, 100));
  for (let now = 200; now < 5000; now += 50) {
    t.deepEqual(typesOf(core.step({ type: "wake" }, now)), []);
  }
});

test("a call of a request that is not idempotent is never replaced", (t) => {
  const core = create(["e1", "e2"]);
  core.step(arrive(false), 0);
  for (let now = 50; now < 5000; now += 50) {
    t.deepEqual(typesOf(core.step({ type: "wake" }, now)), []);
  }
  const effects = core.step({ type: "wake" }, 5000);
  t.deepEqual(typesOf(effects), ["cancel", "refuse"]);
});

// A blocked host reads its endpoints' data late and must not take that for a
// hang.
test("a check whose timer fires late does not replace the call", (t) => {
  const core = create(["e1", "e2"]);
  const attempt = callIn(core.step(arrive(), 0));
  t.deepEqual(typesOf(core.step({ type: "wake" }, 400)), []);
  core.step({ type: "progress", attempt, received: 1 }, 401);
  t.deepEqual(typesOf(core.step({ type: "wake" }, 480)), []);
  core.step({ type: "wake" }, 650);
  t.is(core.inFlight, 1);
});

// Guards against calls that end because their sound endpoint was silent for
// longer than its lease.
test("a call goes on at an endpoint whose lease has expired", (t) => {
  const core = create(["e1"]);
  const attempt = callIn(core.step(arrive(), 0));
  t.deepEqual(typesOf(core.step({ type: "endpoints", endpoints: [] }, 50)), []);
  core.step({ type: "progress", attempt, received: 1 }, 60);
  const usage = {
    inputTokens: 1,
    outputTokens: 1,
    cachedTokens: 0,
    engineTime: 1,
  };
  const answer: event.Event = {
    type: "answer",
    attempt,
    usage,
    size: 0,
    prefix: [],
  };
  t.deepEqual(typesOf(core.step(answer, 70)), ["complete"]);
});
