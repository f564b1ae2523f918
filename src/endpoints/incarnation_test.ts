/** @module */

import test from "ava";
import * as fixture from "./fixture.ts";
import * as endpoints from "./mod.ts";

const TIMES = { silenceTimeoutMs: 4000, retentionMs: 60_000 };

type Change = Partial<endpoints.EndpointStatus>;

function rosterOf(...changes: Change[]) {
  const roster = endpoints.Roster.create(TIMES);
  changes.forEach((change, pos) => tell(roster, change, pos));
  return roster;
}

function tell(roster: endpoints.Roster, change: Change, heard: number) {
  return roster.merge({
    status: fixture.endpointStatus(change),
    heardAt: heard,
  });
}

test("an endpoint that starts again under its id replaces the former whole", (t) => {
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

test("an endpoint that has left and starts again is used", (t) => {
  const roster = rosterOf({ born: 100, sequence: 90 });
  roster.recordLeave({ id: "i-1", born: 100 }, 10);
  t.true(tell(roster, { born: 200, sequence: 1 }, 20));
  t.is(roster.get("i-1")?.state, "ready");
});

test("silence of a former incarnation is not that of the next", (t) => {
  const roster = rosterOf({ born: 100 });
  roster.expire(5000);
  t.true(roster.get("i-1")!.isSilent);
  tell(roster, { born: 200 }, 5100);
  t.false(roster.get("i-1")!.isSilent);
});

for (
  const [what, change] of Object.entries<Change>({
    "heartbeat": { state: "ready", sequence: 99 },
    "drain": { state: "draining", sequence: 99 },
    "leave": { state: "gone", sequence: 99 },
    "leave without a count": { state: "gone", sequence: -1 },
  })
) {
  test(`a late ${what} of a former incarnation changes nothing`, (t) => {
    const roster = rosterOf({ born: 200, sequence: 3 });
    const before = roster.get("i-1");
    t.false(tell(roster, { born: 100, address: "10.9.9.9:80", ...change }, 50));
    t.deepEqual(roster.get("i-1"), before);
  });
}

test("a word of another host that a former incarnation is silent changes nothing", (t) => {
  const roster = rosterOf({ born: 200 });
  const sighting = fixture.endpointStatus({ born: 100 });
  roster.merge({ status: sighting, heardAt: 50, isSilent: true });
  t.false(roster.get("i-1")!.isSilent);
});

test("a leave that does not say of which incarnation ends the one known", (t) => {
  const roster = rosterOf({ born: 100 });
  roster.recordLeave({ id: "i-1" }, 10);
  t.like(roster.get("i-1"), { born: 100, state: "gone" });
  tell(roster, { born: 200, sequence: 1 }, 20);
  t.is(roster.get("i-1")?.state, "ready");
});

test("such a leave, told again by another host, spares who started since", (t) => {
  const roster = rosterOf({ born: 100 });
  tell(roster, { born: 200, sequence: 1 }, 20);
  tell(roster, { state: "gone", sequence: -1 }, 10);
  t.is(roster.get("i-1")?.state, "ready");
  tell(roster, { state: "gone", sequence: -1 }, 30);
  t.is(roster.get("i-1")?.state, "gone");
});

test("a heartbeat that does not say its incarnation counts less than one that does", (t) => {
  const roster = rosterOf({ born: 100, sequence: 1 });
  t.false(tell(roster, { sequence: 50, address: "10.9.9.9:80" }, 10));
  t.is(roster.get("i-1")?.address, "10.0.0.1:80");
});

test("of two words with one count the same is held, whichever came first", (t) => {
  const [one, other] = [
    { born: 100, sequence: 5, address: "10.0.0.1:80" },
    { born: 100, sequence: 5, address: "10.0.0.2:80" },
  ];
  const held = (roster: endpoints.Roster) => roster.get("i-1")!.address;
  t.is(held(rosterOf(one, other)), held(rosterOf(other, one)));
});
