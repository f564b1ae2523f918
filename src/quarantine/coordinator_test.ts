/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as coordinators from "./coordinator.ts";

/** A coordinator with one other control host and one entry host. */
function coordinatorOf() {
  const clock = new runtime.FakeClock();
  const heartbeats = new Map<string, number>();
  const sent: { to: string; suspects: schema.Suspect[] }[] = [];
  const coordinator = coordinators.Coordinator.create({
    clock,
    logger: telemetry.noLogger,
    metrics: telemetry.noMetrics,
    heartbeat: 1000,
    controlHosts: () => ["control"],
    entryHosts: () => ["entry"],
    lastHeartbeatAt: (endpoint) => heartbeats.get(endpoint),
    calls: {
      cast(to, notice) {
        if (notice.type === "suspects") {
          sent.push({ to, suspects: notice.suspects });
        }
      },
    },
  });
  const requestLease = (
    fingerprint: string,
    endpoint: string,
    host = "entry",
  ) =>
    coordinator.requestLease(
      { type: "lease", fingerprint, endpoint, remaining: 2000 },
      host,
    );
  return {
    clock,
    heartbeats,
    sent,
    coordinator,
    requestLease,
  };
}

function crashed(
  fingerprint: string,
  ...endpoints: string[]
): schema.Suspect {
  const crashes = endpoints.map((endpoint) => ({ endpoint, age: 0 }));
  return { fingerprint, crashes, acquittals: 0, trials: 0 };
}

test("a change is broadcast at once, a known record is not sent", (t) => {
  const { coordinator, sent } = coordinatorOf();
  coordinator.merge([crashed("f", "a")]);
  t.deepEqual(sent.map(({ to }) => to), ["control", "entry"]);
  coordinator.merge([crashed("f", "a")]);
  t.is(sent.length, 2);
});

test("a change is sent repeatedly for a limited time", (t) => {
  const { coordinator, clock, sent } = coordinatorOf();
  coordinator.merge([crashed("f", "a")]);
  const at: number[] = [];
  for (let turn = 0; turn < 20; turn++) {
    const before = sent.length;
    clock.advance(400);
    coordinator.tick();
    if (sent.length > before) at.push(clock.now());
  }
  t.deepEqual(at, [400, 800, 1200]);
});

test("a heartbeat more than an interval after a crash refutes it", (t) => {
  const { coordinator, clock, heartbeats } = coordinatorOf();
  clock.advance(500);
  coordinator.merge([crashed("f", "a")]);
  heartbeats.set("a", 1400);
  coordinator.tick();
  t.is(coordinator.changesSince(0).suspects[0].crashes[0].refuted, undefined);
  heartbeats.set("a", 1600);
  coordinator.tick();
  t.true(coordinator.changesSince(0).suspects[0].crashes[0].refuted);
});

test("a suspected request runs at one endpoint at a time", (t) => {
  const { coordinator, clock, requestLease } = coordinatorOf();
  coordinator.merge([crashed("f", "a", "b")]);
  t.true(requestLease("f", "c", "one").granted);
  t.like(requestLease("f", "d", "other"), { granted: false, wait: 500 });
  coordinator.endLease({ fingerprint: "f" }, "other");
  t.false(requestLease("f", "d", "other").granted);
  coordinator.endLease({ fingerprint: "f" }, "one");
  t.true(requestLease("f", "d", "other").granted);
  clock.advance(2501);
  t.true(requestLease("f", "d", "one").granted, "a lease expires");
});

test("two suspected requests do not run at the same endpoint", (t) => {
  const { coordinator, requestLease } = coordinatorOf();
  coordinator.merge([crashed("f", "a", "b"), crashed("g", "a", "b")]);
  t.true(requestLease("f", "c").granted);
  t.like(requestLease("g", "c"), { granted: false, taken: true, wait: 0 });
  t.true(requestLease("g", "d").granted);
});

test("a quarantined request is tried twice, after five and ten minutes", (t) => {
  const { coordinator, clock, requestLease } = coordinatorOf();
  coordinator.merge([crashed("f", "a", "b", "c")]);
  const granted: number[] = [];
  for (let minute = 0; minute < 59; minute++) {
    if (requestLease("f", "d").granted) granted.push(minute);
    coordinator.endLease({ fingerprint: "f" }, "entry");
    clock.advance(60_000);
  }
  t.deepEqual(granted, [5, 10]);
});

test("an operator's release is broadcast", (t) => {
  const { coordinator, sent, requestLease } = coordinatorOf();
  coordinator.merge([crashed("f", "a", "b", "c")]);
  t.false(requestLease("f", "d").granted);
  t.true(coordinator.release("f"));
  t.deepEqual(sent.at(-1)!.suspects[0].crashes, []);
  t.true(requestLease("f", "d").granted);
  t.false(coordinator.release("unknown"));
});

test("a lease whose run reached no endpoint is no trial", (t) => {
  const { coordinator, clock, requestLease } = coordinatorOf();
  coordinator.merge([crashed("part:f", "a", "b", "c")]);
  t.like(requestLease("part:f", "d"), { granted: false, wait: 5000 });
  clock.advance(5000);
  t.true(requestLease("part:f", "d").granted);
  coordinator.endLease({ fingerprint: "part:f", unused: true }, "entry");
  t.true(requestLease("part:f", "d").granted, "at once");
  coordinator.endLease({ fingerprint: "part:f" }, "entry");
  t.like(requestLease("part:f", "d"), { granted: false, wait: 60_000 });
});

test("a lease that expires is a trial", (t) => {
  const { coordinator, clock, requestLease } = coordinatorOf();
  coordinator.merge([crashed("part:f", "a", "b", "c")]);
  clock.advance(5000);
  t.true(requestLease("part:f", "d").granted);
  clock.advance(2501);
  coordinator.tick();
  t.false(requestLease("part:f", "d").granted);
});
