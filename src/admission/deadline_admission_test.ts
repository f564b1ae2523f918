import test from "ava";
import type * as request from "../request/mod.ts";
import * as runtime from "../runtime/mod.ts";
import * as backlog from "./backlog.ts";
import * as stageTimeEstimator from "./stage_time_estimator.ts";
import * as deadlineAdmission from "./deadline_admission.ts";

const policies: request.Policies = new Map([["account/large", { weight: 9 }]]);

/** Creates a deadline admission over one service with `slots` slots and calls
 * of 100 ms. */
function createAdmission(slots: number) {
  const estimator = stageTimeEstimator.StageTimeEstimator.create();
  const reserved = backlog.Backlog.create(policies);
  reserved.setSlots("lm-pool", slots);
  for (let i = 0; i < 50; i++) {
    estimator.observe(createWork(), { time: 100, outputTokens: 0 });
  }
  const random = runtime.createRandom(1);
  const dependencies = { estimate: estimator, backlog: reserved, random };
  return {
    ...dependencies,
    admission: deadlineAdmission.DeadlineAdmission.create(dependencies),
  };
}

function createWork(): stageTimeEstimator.StageInput {
  return { service: "lm-pool", stage: "generate", size: 100, maxTokens: 0 };
}

function createRequest(
  id: string,
  fields: Partial<deadlineAdmission.AdmissionRequest> = {},
): deadlineAdmission.AdmissionRequest {
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

/** Sends requests until one is refused; returns the refusal and the number of
 * admitted requests. */
function fill(
  admission: deadlineAdmission.DeadlineAdmission,
  fields: Partial<deadlineAdmission.AdmissionRequest>,
) {
  for (let count = 0;; count++) {
    const decision = admission.decide(createRequest(`${count}`, fields), 0);
    if (decision.type === "refuse") return { decision, count };
  }
}

test("admits requests that meet the deadline and refuses others", (t) => {
  const { admission } = createAdmission(2);
  const { decision, count } = fill(admission, {});
  t.true(count >= 12 && count <= 18, `${count}`);
  t.true((decision.retryAfter ?? 0) >= 100);
});

test("keeps capacity for a flow of high weight", (t) => {
  const { admission } = createAdmission(2);
  fill(admission, {});
  const decision = admission.decide(
    createRequest("x", { account: "large" }),
    0,
  );
  t.is(decision.type, "admit");
});

test("gives no retry time when idle endpoints would be too slow", (t) => {
  const { admission } = createAdmission(2);
  admission.decide(createRequest("first"), 0);
  const decision = admission.decide(createRequest("x", { deadline: 50 }), 0);
  t.deepEqual([decision.type, "retryAfter" in decision], ["refuse", false]);
});

test("admits one in fifty refused requests as a probe", (t) => {
  const { admission } = createAdmission(2);
  fill(admission, {});
  for (let i = 0; i < 500; i++) admission.decide(createRequest(`p${i}`), 0);
  t.is(admission.counts.probes, 9);
});

test("probes on idle endpoints correct a wrong estimate", (t) => {
  const { admission, estimate: estimator } = createAdmission(2);
  for (let i = 0; i < 300; i++) {
    estimator.observe(createWork(), { time: 5000, outputTokens: 0 });
  }
  let now = 0;
  let admitted = 0;
  for (let i = 0; i < 200; i++) {
    now += 1100;
    const decision = admission.decide(
      createRequest(`${i}`, { deadline: now + 1e3 }),
      now,
    );
    if (decision.type === "refuse") continue;
    admitted++;
    estimator.observe(createWork(), { time: 100, outputTokens: 0 });
    admission.finish(`${i}`, now + 100, true);
  }
  t.true(admitted > 150, `${admitted}`);
  t.true(estimator.predict(createWork()).mean < 200);
});

test("admits fewer requests of a flow after they finished late", (t) => {
  const { admission } = createAdmission(2);
  const before = fill(admission, {}).count;
  for (let i = 0; i < before; i++) admission.finish(`${i}`, 3000, false);
  const after = fill(admission, {}).count;
  t.true(after < 0.7 * before, `${after} of ${before}`);
});

test("refuses without a retry time when a service has no slots", (t) => {
  const { admission } = createAdmission(0);
  const decision = admission.decide(createRequest("x"), 0);
  t.deepEqual(decision, { type: "refuse", finish: Infinity });
});

test("releases reserved work as stages and requests end", (t) => {
  const { admission, backlog: reserved } = createAdmission(2);
  admission.decide(createRequest("a"), 0);
  admission.decide(createRequest("b"), 0);
  admission.completeStage("a", 0);
  admission.completeStage("a", 0);
  admission.finish("a", 10, true);
  t.true(reserved.work("lm-pool") > 0);
  admission.finish("b", 10);
  t.is(reserved.work("lm-pool"), 0);
  t.is(admission.size, 0);
});

test("delays a flow by its share, not by the whole backlog", (t) => {
  const reserved = backlog.Backlog.create(policies);
  reserved.setSlots("s", 2);
  const small = { account: "small", kind: "k" };
  const large = { account: "large", kind: "k" };
  reserved.add("s", small, { work: 1000, now: 0 });
  reserved.add("s", large, { work: 180, now: 0 });
  const now = 1e6;
  t.is(reserved.queueingDelay("s", small, now), 590);
  t.is(reserved.queueingDelay("s", large, now), 100);
});

test("arrivals of other flows extend a delay up to their share", (t) => {
  const reserved = backlog.Backlog.create(policies);
  reserved.setSlots("s", 1);
  const small = { account: "small", kind: "k" };
  const large = { account: "large", kind: "k" };
  reserved.add("s", small, { work: 1000, now: 0 });
  for (let now = 0; now < 30_000; now += 100) {
    reserved.add("s", large, { work: 50, now });
    reserved.remove("s", large, 50);
    reserved.add("s", large, { work: 0, now });
  }
  const delay = reserved.queueingDelay("s", small, 30_000);
  t.true(delay > 1700 && delay < 2100, `${delay}`);
  for (let i = 0; i < 1e3; i++) {
    reserved.add("s", large, { work: 1000, now: 30_000 });
  }
  t.is(reserved.queueingDelay("s", small, 30_000), 10_000);
});
