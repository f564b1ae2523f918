/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as fixture from "./fixture.ts";
import * as guards from "./guard.ts";

/** A guard with the control hosts `a` and `b`; those not in `up` do not
 * respond. */
function guardOf({ up = ["a", "b"], granted = true } = {}) {
  const clock = new runtime.FakeClock();
  const calls: { to: string; question: schema.Question }[] = [];
  const notices: schema.Notice[] = [];
  const guard = guards.Guard.create({
    clock,
    logger: telemetry.noLogger,
    metrics: telemetry.noMetrics,
    controlHosts: () => ["a", "b"],
    calls: {
      cast: (_, notice) => void notices.push(notice),
      ask(to, question): Promise<schema.Reply> {
        calls.push({ to, question });
        if (!up.includes(to)) return Promise.reject(new Error("silent"));
        return Promise.resolve(
          question.type === "lease"
            ? { type: "lease", granted, wait: granted ? 0 : 500 }
            : { type: "noted" },
        );
      },
    },
  });
  const elapse = async (ms: number) => {
    clock.advance(ms);
    await new Promise(setImmediate);
  };
  return { guard, calls, notices, elapse, up };
}

const F = fixture.identity("f");
const G = fixture.identity("g");
const LEASE = { identity: F, endpoint: "e", remaining: 1000 };

test("a request without a record is admitted without a lease", async (t) => {
  const { guard, calls } = guardOf();
  guard.recordCrash(G, "a");
  t.deepEqual(await guard.admit(LEASE), { type: "admitted" });
  t.deepEqual(calls, []);
});

test("crashes that are recorded together are reported in one message", async (t) => {
  const { guard, calls, elapse } = guardOf();
  guard.recordCrash(F, "e");
  guard.recordCrash(G, "e");
  await elapse(20);
  const [{ question }] = calls;
  t.is(calls.length, 1);
  t.is((question as schema.SuspectsQuestion).suspects.length, 2);
});

test("a report that no control host acknowledges is repeated", async (t) => {
  const { guard, calls, elapse, up } = guardOf({ up: [] });
  guard.recordCrash(F, "e");
  await elapse(20);
  t.is(calls.length, 2);
  up.push("b");
  await elapse(1000);
  await elapse(1000);
  t.is(calls.length, 4);
});

test("a suspected request runs under a lease, which ends with the run", async (t) => {
  const { guard, calls, notices } = guardOf();
  guard.recordCrash(F, "c");
  guard.recordCrash(F, "d");
  t.deepEqual(await guard.admit(LEASE), { type: "admitted" });
  t.is(calls.at(-1)!.question.type, "lease");
  t.like(await guard.admit(LEASE), { type: "refused" }, "one run at a time");
  guard.recordSuccess(F, WHOLE);
  t.deepEqual(notices.map(({ type }) => type), ["suspects", "lease-over"]);
  t.true(guard.hasNoSuspects);
});

test("a suspected request is refused if no control host responds", async (t) => {
  const { guard } = guardOf({ up: [] });
  guard.recordCrash(F, "c");
  guard.recordCrash(F, "d");
  t.like(await guard.admit(LEASE), { type: "refused", crashes: 2 });
});

test("a request that has crashed three endpoints is refused without a lease request", async (t) => {
  const { guard, calls } = guardOf();
  ["c", "d", "e"].forEach((endpoint) => guard.recordCrash(F, endpoint));
  t.like(guard.refusal(F), { crashes: 3, wait: 300_000 });
  t.like(await guard.admit(LEASE), { type: "refused" });
  t.deepEqual(calls, []);
});

const POISON = [1, 2, 3].map((number) =>
  fixture.identity(`poison ${number}`, ["shared", "bad"])
);
const SOUND = fixture.identity("sound", ["shared", "common"]);
/** A whole answer to a call that began after all crashes. */
const WHOLE = { isWhole: true, startedAt: Infinity };

test("requests with a part that crashed three endpoints are refused, others are not", (t) => {
  const { guard } = guardOf();
  guard.recordSuccess(SOUND, WHOLE);
  POISON.forEach((each, pos) => guard.recordCrash(each, `e${pos}`));
  const another = fixture.identity("another", ["bad", "common"]);
  t.like(guard.refusal(another), { suspect: "part:bad", crashes: 3 });
  t.is(guard.refusal(SOUND), undefined);
});

test("the last part of a prompt is never suspected", (t) => {
  const { guard } = guardOf();
  const alone = fixture.identity("alone");
  ["c", "d"].forEach((endpoint) => guard.recordCrash(alone, endpoint));
  t.deepEqual(alone.parts, []);
  t.is(guard.refusal(fixture.identity("other")), undefined);
});

test("a part is acquitted by a whole answer, not by an error of an endpoint", (t) => {
  const { guard } = guardOf();
  POISON.forEach((each, pos) => guard.recordCrash(each, `e${pos}`));
  const another = fixture.identity("another", ["bad"]);
  guard.recordSuccess(another, { ...WHOLE, isWhole: false });
  t.like(guard.refusal(another), { suspect: "part:bad" });
  guard.recordSuccess(another, WHOLE);
  t.is(guard.refusal(another), undefined);
});

test("a host vouches for a part that it has seen succeed", async (t) => {
  const { guard, calls, elapse } = guardOf();
  guard.recordSuccess(SOUND, WHOLE);
  const crashes = ["a", "b", "c"].map((endpoint) => ({ endpoint, age: 0 }));
  const fingerprint = "part:shared";
  guard.merge([{ fingerprint, crashes, acquittals: 0, trials: 0 }]);
  await elapse(20);
  const { suspects } = calls.at(-1)!.question as schema.SuspectsQuestion;
  t.like(suspects[0], { fingerprint, answers: 1, acquittals: 0 });
  t.is(suspects[0].crashes.length, 3);
  t.is(guard.refusal(SOUND), undefined, "five crashes are needed now");
});

test("a quarantined part is tried by one request, under a lease", async (t) => {
  const { guard, notices, elapse } = guardOf();
  POISON.forEach((each, pos) => guard.recordCrash(each, `e${pos}`));
  guard.recordSuccess(SOUND, WHOLE);
  await elapse(5000);
  const lease = { ...LEASE, identity: POISON[0] };
  t.deepEqual(await guard.admit(lease), { type: "admitted" });
  t.like(await guard.admit({ ...LEASE, identity: POISON[1] }), {
    type: "refused",
  });
  guard.endRun(POISON[1], { isUnused: true });
  t.deepEqual(notices, [], "the lease is another request's");
  guard.endRun(POISON[0], { isUnused: true });
  t.like(notices[0], { fingerprint: "part:bad", unused: true });
});

test("a part is tried later by a request with another part that crashed endpoints", async (t) => {
  const { guard, elapse } = guardOf();
  POISON.forEach((each, pos) => guard.recordCrash(each, `e${pos}`));
  await elapse(5000);
  t.like(guard.refusal(POISON[0]), { wait: 6000 });
  t.is(guard.refusal(fixture.identity("clear", ["bad"])), undefined);
});

test("a call that began before a crash does not acquit its parts of it", (t) => {
  const { guard } = guardOf();
  POISON.forEach((each, pos) => guard.recordCrash(each, `e${pos}`));
  const another = fixture.identity("another", ["bad"]);
  guard.recordSuccess(another, { ...WHOLE, startedAt: 0 });
  t.like(guard.refusal(another), { suspect: "part:bad", crashes: 3 });
});
