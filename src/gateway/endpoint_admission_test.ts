/** @module */

import test from "ava";
import * as quarantineFixture from "../quarantine/fixture.ts";
import * as runtime from "../runtime/mod.ts";
import * as fakeClocks from "../runtime/fake_clock.ts";
import type * as attempts from "./attempt.ts";
import * as endpointAdmissions from "./endpoint_admission.ts";
import type * as endpoints from "./endpoint.ts";

/** Milliseconds after the end of a silent call at which it counts as a crash. */
const VERDICT_MS = 2000;
const DEADLINE = 3000;
const SILENT: attempts.Outcome = {
  type: "failed",
  cause: "silent",
  mayHaveRun: true,
};
const NOT_RUN: attempts.Outcome = {
  type: "failed",
  cause: "full",
  mayHaveRun: false,
};

/** An admission whose guard records what it is told, and an endpoint. */
function admissionOf() {
  const clock = new fakeClocks.FakeClock();
  const told: string[] = [];
  const remaining: number[] = [];
  const admission = endpointAdmissions.EndpointAdmission.create({
    clock,
    random: runtime.createMixedRandom(1),
    quotas: { isLimited: () => false } as never,
    slots: { isLimited: () => false } as never,
    guard: {
      ...quarantineFixture.permissiveGuard(),
      admit: (request: { remaining: number }) => {
        remaining.push(request.remaining);
        return Promise.resolve({ type: "admitted" });
      },
      recordCrash: () => void told.push("crash"),
      endRun: (_: unknown, { isUnused }: { isUnused: boolean }) =>
        void told.push(isUnused ? "end, unused" : "end"),
    } as never,
  }, { method: "POST", host: "", target: "/", body: new Uint8Array() });
  const endpoint = {
    identity: { id: "e" },
    heardAt: 0,
    isAccepting: () => true,
  };
  const begin = () =>
    admission.acquire(endpoint as unknown as endpoints.Endpoint, DEADLINE);
  const end = (outcome: attempts.Outcome) =>
    admission.recordOutcome(outcome, {
      endpoint: endpoint as unknown as endpoints.Endpoint,
      startedAt: 0,
      heardAt: 0,
    });
  return { admission, begin, clock, endpoint, end, remaining, told };
}

// Guards against a request that crashes a second endpoint between the end of a
// silent call of it and the verdict that the first one has crashed.
test("a lease lasts until the verdict on a silent call", async (t) => {
  const { begin, clock, end, told } = admissionOf();
  await begin();
  end(SILENT);
  clock.advance(VERDICT_MS - 1);
  t.deepEqual(told, []);
  clock.advance(1);
  t.deepEqual(told, ["crash"]);
});

test("a lease ends when the endpoint of a silent call is heard again", async (t) => {
  const { begin, clock, endpoint, end, told } = admissionOf();
  await begin();
  end(SILENT);
  endpoint.heardAt = 100;
  clock.advance(VERDICT_MS);
  t.deepEqual(told, ["end"]);
});

test("a lease outlasts calls that end while a verdict is open", async (t) => {
  const { begin, clock, endpoint, end, told } = admissionOf();
  await begin();
  await begin();
  end(SILENT);
  end(NOT_RUN);
  endpoint.heardAt = 100;
  t.deepEqual(told, []);
  clock.advance(VERDICT_MS);
  t.deepEqual(told, ["end"]);
});

// Guards against a verdict that ends the lease of another call, which may then run
// at one endpoint while another host has the request run at a second one.
test("a verdict ends no lease of a call that is in flight", async (t) => {
  for (const isEarlier of [false, true]) {
    const { begin, clock, endpoint, end, told } = admissionOf();
    await begin();
    if (isEarlier) await begin();
    end(SILENT);
    if (!isEarlier) await begin();
    endpoint.heardAt = 100;
    clock.advance(VERDICT_MS);
    t.deepEqual(told, []);
    end(NOT_RUN);
    // The silent call has run.
    t.deepEqual(told, ["end"]);
  }
});

test("a lease whose call has not run ends as unused", async (t) => {
  const { admission, begin, end, told } = admissionOf();
  await begin();
  end(NOT_RUN);
  await begin();
  admission.release();
  t.deepEqual(told, ["end, unused", "end, unused"]);
});

// Guards against control hosts that grant the lease to another host before the
// verdict.
test("a lease is asked for until the verdict on a call that ends at the deadline", async (t) => {
  const { begin, remaining } = admissionOf();
  await begin();
  t.deepEqual(remaining, [DEADLINE + VERDICT_MS]);
});
