/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as coordinators from "./coordinator.ts";

/** A coordinator beside one other core host and one entry host. */
function coordinatorOf() {
  const clock = new runtime.FakeClock();
  const heard = new Map<string, number>();
  const told: { to: string; suspects: schema.Suspect[] }[] = [];
  const coordinator = coordinators.Coordinator.create({
    clock,
    logger: telemetry.noLogger,
    metrics: telemetry.noMetrics,
    heartbeat: 1000,
    cores: () => ["core"],
    followers: () => ["entry"],
    lastHeartbeatAt: (endpoint) => heard.get(endpoint),
    calls: {
      cast(to, notice) {
        if (notice.type === "suspects") {
          told.push({ to, suspects: notice.suspects });
        }
      },
    },
  });
  const ask = (fingerprint: string, endpoint: string, host = "entry") =>
    coordinator.requestLease(
      { type: "lease", fingerprint, endpoint, remaining: 2000 },
      host,
    );
  return { clock, heard, told, coordinator, ask };
}

function crashed(
  fingerprint: string,
  ...endpoints: string[]
): schema.Suspect {
  const crashes = endpoints.map((endpoint) => ({ endpoint, age: 0 }));
  return { fingerprint, crashes, acquittals: 0, trials: 0 };
}

test("news is told to all hosts at once, what is known to none", (t) => {
  const { coordinator, told } = coordinatorOf();
  coordinator.merge([crashed("f", "a")]);
  t.deepEqual(told.map(({ to }) => to), ["core", "entry"]);
  coordinator.merge([crashed("f", "a")]);
  t.is(told.length, 2);
});

test("a message that is lost comes again, and nothing later", (t) => {
  const { coordinator, clock, told } = coordinatorOf();
  coordinator.merge([crashed("f", "a")]);
  const at: number[] = [];
  for (let turn = 0; turn < 20; turn++) {
    const before = told.length;
    clock.advance(400);
    coordinator.tick();
    if (told.length > before) at.push(clock.now());
  }
  t.deepEqual(at, [400, 800, 1200]);
});

test("an endpoint that is heard a heartbeat later has not crashed", (t) => {
  const { coordinator, clock, heard } = coordinatorOf();
  clock.advance(500);
  coordinator.merge([crashed("f", "a")]);
  heard.set("a", 1400);
  coordinator.tick();
  t.is(coordinator.changesSince(0).suspects[0].crashes[0].refuted, undefined);
  heard.set("a", 1600);
  coordinator.tick();
  t.true(coordinator.changesSince(0).suspects[0].crashes[0].refuted);
});

test("a suspected request runs at one endpoint at a time", (t) => {
  const { coordinator, clock, ask } = coordinatorOf();
  coordinator.merge([crashed("f", "a", "b")]);
  t.true(ask("f", "c", "one").granted);
  t.like(ask("f", "d", "other"), { granted: false, wait: 500 });
  coordinator.endLease("f", "other");
  t.false(ask("f", "d", "other").granted);
  coordinator.endLease("f", "one");
  t.true(ask("f", "d", "other").granted);
  clock.advance(2501);
  t.true(ask("f", "d", "one").granted, "a lease ends by itself");
});

test("two suspected requests don't meet at an endpoint", (t) => {
  const { coordinator, ask } = coordinatorOf();
  coordinator.merge([crashed("f", "a", "b"), crashed("g", "a", "b")]);
  t.true(ask("f", "c").granted);
  t.like(ask("g", "c"), { granted: false, taken: true, wait: 0 });
  t.true(ask("g", "d").granted);
});

test("a quarantined request is tried twice, minutes later", (t) => {
  const { coordinator, clock, ask } = coordinatorOf();
  coordinator.merge([crashed("f", "a", "b", "c")]);
  const granted: number[] = [];
  for (let minute = 0; minute < 59; minute++) {
    if (ask("f", "d").granted) granted.push(minute);
    coordinator.endLease("f", "entry");
    clock.advance(60_000);
  }
  t.deepEqual(granted, [5, 10]);
});

test("an operator's release is told to all", (t) => {
  const { coordinator, told, ask } = coordinatorOf();
  coordinator.merge([crashed("f", "a", "b", "c")]);
  t.false(ask("f", "d").granted);
  t.true(coordinator.release("f"));
  t.deepEqual(told.at(-1)!.suspects[0].crashes, []);
  t.true(ask("f", "d").granted);
  t.false(coordinator.release("unknown"));
});
