import test from "ava";
import type * as request from "../request/mod.ts";
import * as runtime from "../runtime/mod.ts";
import * as backlog from "./backlog.ts";
import * as estimate from "./stage_time_estimator.ts";
import * as gate from "./deadline_admission.ts";

const policies: request.Policies = new Map([["account/large", { weight: 9 }]]);

/** A gate over one service with `slots` slots and calls of 100 ms. */
function createGate(slots: number) {
  const times = estimate.StageTimeEstimator.create();
  const promised = backlog.Backlog.create(policies);
  promised.setSlots("lm-pool", slots);
  for (let i = 0; i < 50; i++) {
    times.observe(createWork(), { time: 100, outputTokens: 0 });
  }
  const random = runtime.createRandom(1);
  const basis = { estimate: times, backlog: promised, random };
  return { ...basis, gate: gate.DeadlineAdmission.create(basis) };
}

function createWork(): estimate.StageInput {
  return { service: "lm-pool", stage: "generate", size: 100, maxTokens: 0 };
}

function createAsk(
  id: string,
  fields: Partial<gate.AdmissionRequest> = {},
): gate.AdmissionRequest {
  const stages = [createWork()];
  return {
    id,
    account: "small",
    kind: "plan",
    deadline: 1000,
    stages,
    ...fields,
  };
}

/** Asks until the gate refuses; returns the refusal and how many got in. */
function fill(
  door: gate.DeadlineAdmission,
  fields: Partial<gate.AdmissionRequest>,
) {
  for (let count = 0;; count++) {
    const decision = door.decide(createAsk(`${count}`, fields), 0);
    if (decision.type === "refuse") return { decision, count };
  }
}

test("admits what fits the deadline and refuses the rest at once", (t) => {
  const { gate: door } = createGate(2);
  const { decision, count } = fill(door, {});
  t.true(count >= 12 && count <= 18, `${count}`);
  t.true((decision.retryAfter ?? 0) >= 100);
});

test("keeps room for a flow of high weight", (t) => {
  const { gate: door } = createGate(2);
  fill(door, {});
  const decision = door.decide(createAsk("x", { account: "large" }), 0);
  t.is(decision.type, "admit");
});

test("names no time to retry when no queue is to blame", (t) => {
  const { gate: door } = createGate(2);
  door.decide(createAsk("first"), 0);
  const decision = door.decide(createAsk("x", { deadline: 50 }), 0);
  t.deepEqual([decision.type, "retryAfter" in decision], ["refuse", false]);
});

test("lets one in fifty through as a probe", (t) => {
  const { gate: door } = createGate(2);
  fill(door, {});
  for (let i = 0; i < 500; i++) door.decide(createAsk(`p${i}`), 0);
  t.is(door.counts.probes, 9);
});

test("a wrong estimate heals by probes on idle endpoints", (t) => {
  const { gate: door, estimate: times } = createGate(2);
  for (let i = 0; i < 300; i++) {
    times.observe(createWork(), { time: 5000, outputTokens: 0 });
  }
  let now = 0;
  let admitted = 0;
  for (let i = 0; i < 200; i++) {
    now += 1100;
    const decision = door.decide(
      createAsk(`${i}`, { deadline: now + 1e3 }),
      now,
    );
    if (decision.type === "refuse") continue;
    admitted++;
    times.observe(createWork(), { time: 100, outputTokens: 0 });
    door.finish(`${i}`, now + 100, true);
  }
  t.true(admitted > 150, `${admitted}`);
  t.true(times.predict(createWork()).mean < 200);
});

test("refuses more readily a flow whose requests come late", (t) => {
  const { gate: door } = createGate(2);
  const before = fill(door, {}).count;
  for (let i = 0; i < before; i++) door.finish(`${i}`, 3000, false);
  const after = fill(door, {}).count;
  t.true(after < 0.7 * before, `${after} of ${before}`);
});

test("refuses without a retry when a service has no slots", (t) => {
  const { gate: door } = createGate(0);
  const decision = door.decide(createAsk("x"), 0);
  t.deepEqual(decision, { type: "refuse", finish: Infinity });
});

test("what was promised is given back", (t) => {
  const { gate: door, backlog: promised } = createGate(2);
  door.decide(createAsk("a"), 0);
  door.decide(createAsk("b"), 0);
  door.completeStage("a", 0);
  door.completeStage("a", 0);
  door.finish("a", 10, true);
  t.true(promised.work("lm-pool") > 0);
  door.finish("b", 10);
  t.is(promised.work("lm-pool"), 0);
  t.is(door.size, 0);
});

test("a flow waits for its share, not for the whole backlog", (t) => {
  const promised = backlog.Backlog.create(policies);
  promised.setSlots("s", 2);
  const small = { account: "small", kind: "k" };
  const large = { account: "large", kind: "k" };
  promised.add("s", small, { work: 1000, now: 0 });
  promised.add("s", large, { work: 180, now: 0 });
  const now = 1e6;
  t.is(promised.queueingDelay("s", small, now), 590);
  t.is(promised.queueingDelay("s", large, now), 100);
});

test("a wait grows by what others send meanwhile, up to their share", (t) => {
  const promised = backlog.Backlog.create(policies);
  promised.setSlots("s", 1);
  const small = { account: "small", kind: "k" };
  const large = { account: "large", kind: "k" };
  promised.add("s", small, { work: 1000, now: 0 });
  for (let now = 0; now < 30_000; now += 100) {
    promised.add("s", large, { work: 50, now });
    promised.remove("s", large, 50);
    promised.add("s", large, { work: 0, now });
  }
  const wait = promised.queueingDelay("s", small, 30_000);
  t.true(wait > 1700 && wait < 2100, `${wait}`);
  for (let i = 0; i < 1e3; i++) {
    promised.add("s", large, { work: 1000, now: 30_000 });
  }
  t.is(promised.queueingDelay("s", small, 30_000), 10_000);
});
