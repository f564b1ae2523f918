/** @module */

import test from "ava";
import * as fixture from "./fixture.ts";
import * as endpoints from "./mod.ts";

const TIMES = { silenceTimeoutMs: 4000, retentionMs: 60_000 };

type Change = Partial<endpoints.EndpointStatus>;

function rosterOf(...changes: Change[]) {
  const roster = endpoints.Roster.create(TIMES);
  changes.forEach((change, pos) => report(roster, change, pos));
  return roster;
}

function report(roster: endpoints.Roster, change: Change, heardAt: number) {
  return roster.merge({
    status: fixture.endpointStatus(change),
    heardAt,
  });
}

test("a later incarnation replaces an earlier one entirely", (t) => {
  const roster = rosterOf(
    { born: 100, sequence: 90, address: "10.0.0.1:80", state: "draining" },
    { born: 200, sequence: 1, address: "10.0.0.2:80" },
  );
  t.like(roster.get("i-1"), {
    born: 200,
    sequence: 1,
    address: "10.0.0.2:80",
    state: "ready",
  });
});

test("an endpoint that restarts after it left is ready again", (t) => {
  const roster = rosterOf({ born: 100, sequence: 90 });
  roster.recordLeave({ id: "i-1", born: 100 }, 10);
  t.true(report(roster, { born: 200, sequence: 1 }, 20));
  t.is(roster.get("i-1")?.state, "ready");
});

test("a new incarnation is not silent if the earlier one was", (t) => {
  const roster = rosterOf({ born: 100 });
  roster.expire(5000);
  t.true(roster.get("i-1")!.isSilent);
  report(roster, { born: 200 }, 5100);
  t.false(roster.get("i-1")!.isSilent);
});

for (
  const [kind, change] of Object.entries<Change>({
    "heartbeat": { state: "ready", sequence: 99 },
    "drain": { state: "draining", sequence: 99 },
    "leave": { state: "gone", sequence: 99 },
    "leave without a sequence number": { state: "gone", sequence: -1 },
  })
) {
  test(`a late ${kind} of an earlier incarnation changes nothing`, (t) => {
    const roster = rosterOf({ born: 200, sequence: 3 });
    const before = roster.get("i-1");
    t.false(
      report(roster, { born: 100, address: "10.9.9.9:80", ...change }, 50),
    );
    t.deepEqual(roster.get("i-1"), before);
  });
}

test("a report that an earlier incarnation is silent changes nothing", (t) => {
  const roster = rosterOf({ born: 200 });
  const status = fixture.endpointStatus({ born: 100 });
  roster.merge({ status, heardAt: 50, isSilent: true });
  t.false(roster.get("i-1")!.isSilent);
});

test("a leave without an incarnation ends the known one", (t) => {
  const roster = rosterOf({ born: 100 });
  roster.recordLeave({ id: "i-1" }, 10);
  t.like(roster.get("i-1"), { born: 100, state: "gone" });
  report(roster, { born: 200, sequence: 1 }, 20);
  t.is(roster.get("i-1")?.state, "ready");
});

test("a leave without an incarnation does not end one that started later", (t) => {
  const roster = rosterOf({ born: 100 });
  report(roster, { born: 200, sequence: 1 }, 20);
  report(roster, { state: "gone", sequence: -1 }, 10);
  t.is(roster.get("i-1")?.state, "ready");
  report(roster, { state: "gone", sequence: -1 }, 30);
  t.is(roster.get("i-1")?.state, "gone");
});

test("a heartbeat without an incarnation does not replace one with an incarnation", (t) => {
  const roster = rosterOf({ born: 100, sequence: 1 });
  t.false(report(roster, { sequence: 50, address: "10.9.9.9:80" }, 10));
  t.is(roster.get("i-1")?.address, "10.0.0.1:80");
});

test("of two reports with the same sequence number the same one is kept in either order", (t) => {
  const [one, other] = [
    { born: 100, sequence: 5, address: "10.0.0.1:80" },
    { born: 100, sequence: 5, address: "10.0.0.2:80" },
  ];
  const held = (roster: endpoints.Roster) => roster.get("i-1")!.address;
  t.is(held(rosterOf(one, other)), held(rosterOf(other, one)));
});
