/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
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

const LEASE = { fingerprint: "f", endpoint: "e", remaining: 1000 };

test("a request without a record is admitted without a lease", async (t) => {
  const { guard, calls } = guardOf();
  guard.recordCrash("other", "a");
  t.deepEqual(await guard.admit(LEASE), { type: "admitted" });
  t.deepEqual(calls, []);
});

test("crashes that are recorded together are reported in one message", async (t) => {
  const { guard, calls, elapse } = guardOf();
  guard.recordCrash("f", "e");
  guard.recordCrash("g", "e");
  await elapse(20);
  const [{ question }] = calls;
  t.is(calls.length, 1);
  t.is((question as schema.SuspectsQuestion).suspects.length, 2);
});

test("a report that no control host acknowledges is repeated", async (t) => {
  const { guard, calls, elapse, up } = guardOf({ up: [] });
  guard.recordCrash("f", "e");
  await elapse(20);
  t.is(calls.length, 2);
  up.push("b");
  await elapse(1000);
  await elapse(1000);
  t.is(calls.length, 4);
});

test("a suspected request runs under a lease, which ends with the run", async (t) => {
  const { guard, calls, notices } = guardOf();
  guard.recordCrash("f", "c");
  guard.recordCrash("f", "d");
  t.deepEqual(await guard.admit(LEASE), { type: "admitted" });
  t.is(calls.at(-1)!.question.type, "lease");
  t.like(await guard.admit(LEASE), { type: "refused" }, "one run at a time");
  guard.recordSuccess("f");
  t.deepEqual(notices.map(({ type }) => type), ["suspects", "lease-over"]);
  t.true(guard.hasNoSuspects);
});

test("a suspected request is refused if no control host responds", async (t) => {
  const { guard } = guardOf({ up: [] });
  guard.recordCrash("f", "c");
  guard.recordCrash("f", "d");
  t.like(await guard.admit(LEASE), { type: "refused", crashes: 2 });
});

test("a request that has crashed three endpoints is refused without a lease request", async (t) => {
  const { guard, calls } = guardOf();
  ["c", "d", "e"].forEach((endpoint) => guard.recordCrash("f", endpoint));
  t.like(guard.refusal("f"), { crashes: 3, wait: 300_000 });
  t.like(await guard.admit(LEASE), { type: "refused" });
  t.deepEqual(calls, []);
});
