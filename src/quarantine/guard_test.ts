/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as guards from "./guard.ts";

/** A guard that asks the hosts `a` and `b`; those not in `up` don't answer. */
function guardOf({ up = ["a", "b"], granted = true } = {}) {
  const clock = new runtime.FakeClock();
  const asked: { to: string; question: schema.Question }[] = [];
  const notices: schema.Notice[] = [];
  const guard = guards.Guard.create({
    clock,
    logger: telemetry.noLogger,
    metrics: telemetry.noMetrics,
    cores: () => ["a", "b"],
    calls: {
      cast: (_, notice) => void notices.push(notice),
      ask(to, question): Promise<schema.Reply> {
        asked.push({ to, question });
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
  return { guard, asked, notices, elapse, up };
}

const RUN = { fingerprint: "f", endpoint: "e", remaining: 1000 };

test("a request of which nothing is known goes without a question", async (t) => {
  const { guard, asked } = guardOf();
  guard.recordCrash("other", "a");
  t.deepEqual(await guard.admit(RUN), { type: "admitted" });
  t.deepEqual(asked, []);
});

test("what broke at one endpoint is reported in one message", async (t) => {
  const { guard, asked, elapse } = guardOf();
  guard.recordCrash("f", "e");
  guard.recordCrash("g", "e");
  await elapse(20);
  const [{ question }] = asked;
  t.is(asked.length, 1);
  t.is((question as schema.SuspectsQuestion).suspects.length, 2);
});

test("a report that nobody takes is made again", async (t) => {
  const { guard, asked, elapse, up } = guardOf({ up: [] });
  guard.recordCrash("f", "e");
  await elapse(20);
  t.is(asked.length, 2);
  up.push("b");
  await elapse(1000);
  await elapse(1000);
  t.is(asked.length, 4);
});

test("a suspected request goes under a lease, which is given back", async (t) => {
  const { guard, asked, notices } = guardOf();
  guard.recordCrash("f", "c");
  guard.recordCrash("f", "d");
  t.deepEqual(await guard.admit(RUN), { type: "admitted" });
  t.is(asked.at(-1)!.question.type, "lease");
  t.like(await guard.admit(RUN), { type: "refused" }, "one run at a time");
  guard.recordSuccess("f");
  t.deepEqual(notices.map(({ type }) => type), ["suspects", "lease-over"]);
  t.true(guard.hasNoSuspects);
});

test("without an answer no suspected request goes", async (t) => {
  const { guard } = guardOf({ up: [] });
  guard.recordCrash("f", "c");
  guard.recordCrash("f", "d");
  t.like(await guard.admit(RUN), { type: "refused", crashes: 2 });
});

test("a request that has crashed three endpoints is kept back at once", async (t) => {
  const { guard, asked } = guardOf();
  ["c", "d", "e"].forEach((endpoint) => guard.recordCrash("f", endpoint));
  t.like(guard.refusal("f"), { crashes: 3, wait: 300_000 });
  t.like(await guard.admit(RUN), { type: "refused" });
  t.deepEqual(asked, []);
});
