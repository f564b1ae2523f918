/** @module */

import test from "ava";
import * as fixture from "./fixture.ts";
import * as endpoints from "./mod.ts";

const TIMES = { silenceTimeoutMs: 4000, retentionMs: 60_000 };

function rosterOf(...changes: Partial<endpoints.EndpointStatus>[]) {
  const roster = endpoints.Roster.create(TIMES);
  for (const change of changes) {
    roster.merge({ status: fixture.endpointStatus(change), heardAt: 0 });
  }
  return roster;
}

test("of two reports the higher sequence counts, whichever comes last", (t) => {
  const late = rosterOf(
    { sequence: 5, state: "draining" },
    { sequence: 4, state: "ready" },
  );
  t.is(late.get("i-1")?.state, "draining");
});

test("an endpoint that has left stays gone", (t) => {
  const roster = rosterOf({ sequence: 5 });
  t.true(roster.recordLeave({ id: "i-1" }, 10));
  t.false(
    roster.merge({
      status: fixture.endpointStatus({ sequence: 9 }),
      heardAt: 20,
    }),
  );
  t.is(roster.get("i-1")?.state, "gone");
});

test("an endpoint that leaves before it was heard is not taken later", (t) => {
  const roster = rosterOf();
  roster.recordLeave({ id: "i-1" }, 10);
  roster.merge({
    status: fixture.endpointStatus({ sequence: 3 }),
    heardAt: 20,
  });
  t.is(roster.get("i-1")?.state, "gone");
});

test("a departure told by another host counts whatever its sequence", (t) => {
  const roster = rosterOf({ sequence: 8 });
  roster.merge({
    status: fixture.endpointStatus({ sequence: -1, state: "gone" }),
    heardAt: 0,
  });
  t.is(roster.get("i-1")?.state, "gone");
  t.is(roster.get("i-1")?.service, "desk");
});

test("a silent endpoint is marked, and heard again with a heartbeat", (t) => {
  const roster = rosterOf({});
  roster.expire(4001);
  t.true(roster.get("i-1")?.isSilent);
  const isNews = roster.merge({
    status: fixture.endpointStatus({ sequence: 2 }),
    heardAt: 4100,
  });
  t.true(isNews);
  t.false(roster.get("i-1")?.isSilent);
});

test("only changes raise the revision", (t) => {
  const roster = rosterOf({});
  const { revision } = roster;
  roster.merge({
    status: fixture.endpointStatus({ sequence: 2 }),
    heardAt: 100,
  });
  t.is(roster.revision, revision);
  roster.merge({
    status: fixture.endpointStatus({ sequence: 3, state: "draining" }),
    heardAt: 200,
  });
  t.deepEqual(roster.changedSince(revision).map(({ id }) => id), ["i-1"]);
});

test("what is silent or gone is forgotten, nothing else", (t) => {
  const roster = rosterOf({ id: "i-1" }, { id: "i-2" });
  roster.recordLeave({ id: "i-1" }, 0);
  roster.expire(5000);
  roster.merge({
    status: fixture.endpointStatus({ id: "i-2", sequence: 2 }),
    heardAt: 60_000,
  });
  roster.expire(60_001);
  t.deepEqual([...roster.entries].map(({ id }) => id), ["i-2"]);
});

test("a host that hears no heartbeats believes what it is told", (t) => {
  const roster = rosterOf({});
  roster.merge({
    status: fixture.endpointStatus({}),
    heardAt: 0,
    isSilent: true,
  });
  t.true(roster.get("i-1")?.isSilent);
  roster.merge({
    status: fixture.endpointStatus({}),
    heardAt: 0,
    isSilent: false,
  });
  t.false(roster.get("i-1")?.isSilent);
});

test("others hear of an endpoint that has become cold, once", (t) => {
  const roster = rosterOf({});
  const { revision } = roster;
  const beat = (sequence: number, heard: number, coldUntil: number) =>
    roster.merge({
      status: fixture.endpointStatus({ sequence }),
      heardAt: heard,
      coldUntil,
    });
  t.true(beat(2, 1000, 4000));
  t.is(roster.changedSince(revision).length, 1);
  t.false(beat(3, 2000, 4010), "what was known");
  t.false(beat(4, 5000, 0));
  t.true(beat(5, 6000, 9000), "cold again");
});
