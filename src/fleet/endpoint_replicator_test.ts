/** @module */

import test from "ava";
import * as fixture from "../endpoints/fixture.ts";
import * as endpoints from "../endpoints/mod.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as spreads from "./endpoint_replicator.ts";

/** Milliseconds between ticks, as the host has them. */
const TICK = 400;

/** A host that knows the endpoint `i-1` and tells the hosts given, of which
 * some may be silent. */
function spreadOf(
  others: readonly string[],
  { silent = [], heartbeat = 1200 }: {
    silent?: readonly string[];
    heartbeat?: number;
  } = {},
) {
  const clock = new runtime.FakeClock();
  const roster = endpoints.Roster.create({
    silenceTimeoutMs: 4200,
    retentionMs: 60_000,
  });
  const told: { to: string; at: number; ids: string[] }[] = [];
  roster.merge({ status: fixture.endpointStatus(), heardAt: 0 });
  const spread = spreads.EndpointReplicator.create({
    clock,
    roster,
    heartbeatInterval: heartbeat,
    logger: telemetry.noLogger,
    peers: () => others,
    calls: {
      ask(to, question): Promise<schema.Reply> {
        const { sightings } = question as schema.NoteQuestion;
        told.push({ to, at: clock.now(), ids: sightings.map(({ id }) => id) });
        return silent.includes(to)
          ? Promise.reject(new Error("silent"))
          : Promise.resolve({ type: "noted" });
      },
    },
  });
  const tick = (count: number) => {
    for (let number = 0; number < count; number++) {
      clock.advance(TICK);
      spread.tick();
    }
  };
  return { spread, told, tick };
}

test("a change is told at once, and who knows it is said", async (t) => {
  const { spread, told } = spreadOf(["a", "b", "c"], { silent: ["c"] });
  t.deepEqual(await spread.broadcast("i-1"), ["a", "b"]);
  t.is(told.length, 3);
});

test("a change is told again for some seconds", async (t) => {
  const { spread, told, tick } = spreadOf(["a"]);
  await spread.broadcast("i-1");
  tick(7);
  t.is(told.length, 8);
  tick(4);
  t.is(told.length, 8);
});

test("what was only heard is told once in a heartbeat", (t) => {
  const { spread, told, tick } = spreadOf(["a"]);
  for (let number = 0; number < 6; number++) {
    spread.recordHeartbeat("i-1");
    tick(1);
  }
  t.deepEqual(told.map(({ at }) => at), [400, 1600]);
});

test("shorter heartbeats are told as often as they come", (t) => {
  const { spread, told, tick } = spreadOf(["a"], { heartbeat: 400 });
  for (let number = 0; number < 3; number++) {
    spread.recordHeartbeat("i-1");
    tick(1);
  }
  t.deepEqual(told.map(({ at }) => at), [400, 800, 1200]);
});

test("everything is told now and then", (t) => {
  const { told, tick } = spreadOf(["a"]);
  tick(13);
  t.deepEqual(told.map(({ ids }) => ids), [["i-1"]]);
});
