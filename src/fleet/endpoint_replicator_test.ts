/** @module */

import test from "ava";
import * as fixture from "../endpoints/fixture.ts";
import * as endpoints from "../endpoints/mod.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as endpointReplicator from "./endpoint_replicator.ts";

/** Interval of ticks, as on a control host. */
const TICK_MS = 400;

/** Creates a replicator that knows the endpoint `i-1` and sends to the hosts
 * `others`, of which those in `silent` do not respond. */
function createReplicator(
  others: readonly string[],
  { silent = [], heartbeat = 1200, isDiskFull = false }: {
    silent?: readonly string[];
    heartbeat?: number;
    isDiskFull?: boolean;
  } = {},
) {
  const clock = new runtime.FakeClock();
  const roster = endpoints.Roster.create({
    silenceTimeoutMs: 4200,
    retentionMs: 60_000,
  });
  const sent: { to: string; at: number; ids: string[] }[] = [];
  roster.merge({ status: fixture.endpointStatus(), heardAt: 0 });
  const replicator = endpointReplicator.EndpointReplicator.create({
    clock,
    roster,
    departures: {
      store: (entries) =>
        Promise.resolve(
          !isDiskFull || entries.every(({ state }) => state === "ready"),
        ),
    },
    heartbeatInterval: heartbeat,
    logger: telemetry.noLogger,
    peers: () => others,
    calls: {
      ask(to, question): Promise<schema.Reply> {
        const { sightings } = question as schema.NoteQuestion;
        sent.push({ to, at: clock.now(), ids: sightings.map(({ id }) => id) });
        return silent.includes(to)
          ? Promise.reject(new Error("silent"))
          : Promise.resolve({ type: "noted" });
      },
    },
  });
  const tick = (count: number) => {
    for (let number = 0; number < count; number++) {
      clock.advance(TICK_MS);
      replicator.tick();
    }
  };
  return { replicator, roster, sent, tick };
}

test("a change is sent at once, and the hosts that acknowledged it are returned", async (t) => {
  const { replicator, sent } = createReplicator(["a", "b", "c"], {
    silent: ["c"],
  });
  t.deepEqual(await replicator.broadcast("i-1"), ["a", "b"]);
  t.is(sent.length, 3);
});

test("a change is sent repeatedly for some seconds", async (t) => {
  const { replicator, sent, tick } = createReplicator(["a"]);
  await replicator.broadcast("i-1");
  tick(7);
  t.is(sent.length, 8);
  tick(4);
  t.is(sent.length, 8);
});

test("plain heartbeats are sent once per heartbeat interval", (t) => {
  const { replicator, sent, tick } = createReplicator(["a"]);
  for (let number = 0; number < 6; number++) {
    replicator.recordHeartbeat("i-1");
    tick(1);
  }
  t.deepEqual(sent.map(({ at }) => at), [400, 1600]);
});

test("more frequent heartbeats are sent more often", (t) => {
  const { replicator, sent, tick } = createReplicator(["a"], {
    heartbeat: 400,
  });
  for (let number = 0; number < 3; number++) {
    replicator.recordHeartbeat("i-1");
    tick(1);
  }
  t.deepEqual(sent.map(({ at }) => at), [400, 800, 1200]);
});

test("the full state is sent periodically", (t) => {
  const { sent, tick } = createReplicator(["a"]);
  tick(13);
  t.deepEqual(sent.map(({ ids }) => ids), [["i-1"]]);
});

function noteOf(change: Partial<schema.Sighting>): schema.NoteQuestion {
  const sighting = { ...fixture.endpointStatus(), age: 0, ...change };
  return { type: "note", sightings: [sighting] };
}

test("departures are acknowledged once they are on disk, heartbeats always", async (t) => {
  // Guards against acknowledged departures that end with the process.
  for (const isDiskFull of [false, true]) {
    const { replicator, roster } = createReplicator([], { isDiskFull });
    const reply = async (change: Partial<schema.Sighting>) =>
      (await replicator.receive(noteOf(change))).type;
    const expected = isDiskFull ? "failed" : "noted";
    t.is(await reply({ sequence: 2 }), "noted");
    t.is(await reply({ sequence: 3, state: "draining" }), expected);
    t.is(await reply({ id: "i-2", state: "gone" }), expected);
    t.deepEqual(
      [...roster.entries].map(({ state }) => state),
      ["draining", "gone"],
    );
  }
});
