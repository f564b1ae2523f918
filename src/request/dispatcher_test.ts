import test from "ava";
import type * as effect from "./effect.ts";
import type * as event from "./event.ts";
import * as dispatcher from "./dispatcher.ts";
import * as baselinePolicies from "./baseline_policies.ts";
import type * as policySet from "./policy_set.ts";
import type * as request from "./request.ts";

function endpointOf(
  id: string,
  fields: Partial<event.Endpoint> = {},
): event.Endpoint {
  return {
    id,
    service: "lm-pool",
    kind: "engine",
    dataCentre: "gisenyi-hall",
    slots: 1,
    role: "both",
    state: "ready",
    ...fields,
  };
}

function requestOf(
  id: string,
  fields: Partial<request.Request> = {},
): request.Request {
  return {
    id,
    account: "kivu-crew",
    kind: "plan",
    target: "plan",
    stages: [{
      name: "generate",
      service: "lm-pool",
      kind: "engine",
      maxTokens: 10,
    }],
    size: 10,
    arrived: 0,
    deadline: 1000,
    idempotent: true,
    streaming: false,
    prefix: [],
    ...fields,
  };
}

function create(
  endpoints: readonly event.Endpoint[],
  overrides: Partial<policySet.PolicySet> = {},
): dispatcher.Dispatcher {
  const set = { ...baselinePolicies.create(), ...overrides };
  const created = dispatcher.Dispatcher.create({ policySet: set });
  created.step({ type: "endpoints", endpoints }, 0);
  return created;
}

function calls(effects: readonly effect.Effect[]): request.Attempt[] {
  return effects.flatMap((each) => each.type === "call" ? [each.attempt] : []);
}

function refusals(effects: readonly effect.Effect[]): effect.Problem[] {
  return effects.flatMap((each) =>
    each.type === "refuse" ? [each.problem] : []
  );
}

function answer(attempt: request.Attempt): event.Event {
  const usage = {
    inputTokens: 1,
    outputTokens: 1,
    cachedTokens: 0,
    engineTime: 1,
  };
  return { type: "answer", attempt, usage, size: 5, prefix: [] };
}

function failure(
  attempt: request.Attempt,
  fields: Partial<request.Failure> = {},
): event.Event {
  return {
    type: "fail",
    attempt,
    failure: {
      reason: "connection",
      outcome: "unknown",
      received: 0,
      ...fields,
    },
  };
}

function arrive(arriving: request.Request): event.Event {
  return { type: "arrive", request: arriving };
}

test("completes a request when its last stage is answered", (t) => {
  const stages: request.Stage[] = [
    { name: "encode", service: "enc", kind: "encoder", maxTokens: 0 },
    { name: "generate", service: "lm-pool", kind: "engine", maxTokens: 9 },
  ];
  const core = create([
    endpointOf("e1", { service: "enc", kind: "encoder" }),
    endpointOf("g1"),
  ]);
  const [first] = calls(core.step(arrive(requestOf("r", { stages })), 0));
  t.is(first.endpoint, "e1");
  const [second] = calls(core.step(answer(first), 10));
  t.like(second, { endpoint: "g1", stage: 1, attempt: 1, started: 10 });
  const effects = core.step(answer(second), 20);
  t.deepEqual(effects, [{ type: "complete", request: "r" }]);
  t.is(core.inFlight, 0);
});

test("queues requests without a free slot and starts them in order", (t) => {
  const core = create([endpointOf("g1")]);
  const [first] = calls(core.step(arrive(requestOf("a")), 0));
  t.deepEqual(calls(core.step(arrive(requestOf("b")), 1)), []);
  t.deepEqual(calls(core.step(arrive(requestOf("c")), 2)), []);
  const next = calls(core.step(answer(first), 3));
  t.deepEqual(next.map((each) => each.request), ["b"]);
});

test("sends each call to the endpoint with the fewest calls in flight", (t) => {
  const core = create([
    endpointOf("g1", { slots: 2 }),
    endpointOf("g2", { slots: 2 }),
  ]);
  const chosen = ["a", "b", "c", "d"].flatMap((id) =>
    calls(core.step(arrive(requestOf(id)), 0)).map((each) => each.endpoint)
  );
  t.deepEqual(chosen, ["g1", "g2", "g1", "g2"]);
});

test("sends no new call to a draining endpoint", (t) => {
  const core = create([endpointOf("g1"), endpointOf("g2")]);
  const endpoints = [endpointOf("g1", { state: "draining" }), endpointOf("g2")];
  core.step({ type: "endpoints", endpoints }, 1);
  const [call] = calls(core.step(arrive(requestOf("a")), 2));
  t.is(call.endpoint, "g2");
  t.deepEqual(calls(core.step(arrive(requestOf("b")), 2)), []);
});

test("refuses a queued request at its deadline as not run", (t) => {
  const core = create([endpointOf("g1")]);
  core.step(arrive(requestOf("a", { deadline: 5000 })), 0);
  const waiting = core.step(arrive(requestOf("b")), 0);
  t.deepEqual(waiting, [{ type: "wake", at: 1000 }]);
  t.like(refusals(core.step({ type: "wake" }, 1000))[0], {
    name: "deadline-passed",
    outcome: "not-run",
  });
});

test("requests another wake when one arrives early", (t) => {
  const core = create([endpointOf("g1")]);
  core.step(arrive(requestOf("a")), 0);
  const effects = core.step({ type: "wake" }, 999.5);
  t.deepEqual(effects, [{ type: "wake", at: 1000 }]);
});

test("cancels the call of a request whose deadline passes", (t) => {
  const core = create([endpointOf("g1")]);
  const [call] = calls(core.step(arrive(requestOf("a")), 0));
  const effects = core.step({ type: "wake" }, 1000);
  t.deepEqual(effects[0], { type: "cancel", attempt: call });
  t.is(refusals(effects)[0].outcome, "unknown");
});

test("never completes a request after its deadline", (t) => {
  const core = create([endpointOf("g1")]);
  const [call] = calls(core.step(arrive(requestOf("a")), 0));
  const effects = core.step(answer(call), 1000);
  const late = { name: "deadline-passed", outcome: "ran" };
  t.like(refusals(effects), { length: 1, 0: late });
  t.false(effects.some((each) => each.type === "complete"));
});

test("retries an idempotent request on another endpoint", (t) => {
  const core = create([endpointOf("g1"), endpointOf("g2")]);
  const [first] = calls(core.step(arrive(requestOf("a")), 0));
  const [second] = calls(core.step(failure(first, { received: 4 }), 5));
  t.like(second, { endpoint: "g2", attempt: 2, offset: 4 });
});

test("refuses a request as soon as its retries are used up", (t) => {
  const core = create([endpointOf("g1")]);
  let [call] = calls(core.step(arrive(requestOf("a")), 0));
  [call] = calls(core.step(failure(call), 1));
  [call] = calls(core.step(failure(call), 2));
  const [problem] = refusals(core.step(failure(call), 3));
  t.like(problem, { name: "stage-failed", outcome: "unknown" });
  t.true(problem.retryAfter! > 0);
});

test("dispatches a request that is not idempotent only once", (t) => {
  const core = create([endpointOf("g1"), endpointOf("g2")]);
  const once = requestOf("a", { idempotent: false });
  const [call] = calls(core.step(arrive(once), 0));
  const effects = core.step(failure(call), 1);
  t.deepEqual(calls(effects), []);
  t.like(refusals(effects)[0], { name: "outcome-unknown", outcome: "unknown" });
});

test("reports not-run when the only call provably did not start", (t) => {
  const core = create([endpointOf("g1")]);
  const once = requestOf("a", { idempotent: false });
  const [call] = calls(core.step(arrive(once), 0));
  const effects = core.step(failure(call, { outcome: "not-run" }), 1);
  t.is(refusals(effects)[0].outcome, "not-run");
});

test("ignores and counts events of calls no longer in flight", (t) => {
  const core = create([endpointOf("g1"), endpointOf("g2")]);
  const [first] = calls(core.step(arrive(requestOf("a")), 0));
  const [second] = calls(core.step(failure(first), 1));
  t.deepEqual(core.step(answer(first), 2), []);
  t.is(core.stale, 1);
  const effects = core.step(answer(second), 3);
  t.deepEqual(effects, [{ type: "complete", request: "a" }]);
});

test("cancels the calls of a request whose caller disconnects", (t) => {
  const core = create([endpointOf("g1")]);
  const [call] = calls(core.step(arrive(requestOf("a")), 0));
  const effects = core.step({ type: "abandon", request: "a" }, 1);
  t.deepEqual(effects[0], { type: "cancel", attempt: call });
  t.is(refusals(effects)[0].name, "abandoned");
});

test("does not cancel a call that is not idempotent when its caller disconnects", (t) => {
  const core = create([endpointOf("g1")]);
  const once = requestOf("a", { idempotent: false });
  const [call] = calls(core.step(arrive(once), 0));
  t.deepEqual(core.step({ type: "abandon", request: "a" }, 1), []);
  t.is(core.step(answer(call), 2)[0].type, "complete");
});

test("refuses new requests while draining and completes the others", (t) => {
  const core = create([endpointOf("g1")]);
  const [call] = calls(core.step(arrive(requestOf("a")), 0));
  core.step({ type: "drain" }, 1);
  const refused = refusals(core.step(arrive(requestOf("b")), 2));
  t.like(refused[0], { name: "stopping", outcome: "not-run" });
  t.is(core.step(answer(call), 3)[0].type, "complete");
});

test("starts a hedge and cancels the slower call", (t) => {
  const hedge = { delay: () => 100, allow: () => true };
  const core = create([endpointOf("g1"), endpointOf("g2")], { hedge });
  const [first] = calls(core.step(arrive(requestOf("a")), 0));
  const [second] = calls(core.step({ type: "wake" }, 100));
  t.like(second, { endpoint: "g2", hedge: true });
  const effects = core.step(answer(second), 120);
  t.deepEqual(effects[0], { type: "cancel", attempt: first });
  t.is(effects.filter((each) => each.type === "complete").length, 1);
});

test("refuses queued work that can't meet its deadline", (t) => {
  const estimate = { remainingTime: () => 300 };
  const core = create([endpointOf("g1")], { estimate });
  const [call] = calls(core.step(arrive(requestOf("a")), 0));
  core.step(arrive(requestOf("b")), 0);
  const effects = core.step(answer(call), 800);
  t.like(refusals(effects)[0], { name: "overloaded", outcome: "not-run" });
});

test("dumps its state as plain JSON", (t) => {
  const core = create([endpointOf("g1")]);
  core.step(arrive(requestOf("a")), 0);
  const dump = JSON.parse(JSON.stringify(core.dump(10)));
  t.like(dump.requests[0], { id: "a", phase: "running", remaining: 990 });
});
