/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
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

test("the report with the higher sequence number is kept in either order", (t) => {
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

test("an endpoint that leaves before its first heartbeat stays gone", (t) => {
  const roster = rosterOf();
  roster.recordLeave({ id: "i-1" }, 10);
  roster.merge({
    status: fixture.endpointStatus({ sequence: 3 }),
    heardAt: 20,
  });
  t.is(roster.get("i-1")?.state, "gone");
});

test("a leave reported by another host applies whatever its sequence number", (t) => {
  const roster = rosterOf({ sequence: 8 });
  roster.merge({
    status: fixture.endpointStatus({ sequence: -1, state: "gone" }),
    heardAt: 0,
  });
  t.is(roster.get("i-1")?.state, "gone");
  t.is(roster.get("i-1")?.service, "desk");
});

test("an endpoint is marked silent until the next heartbeat", (t) => {
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

test("only changes increase the revision", (t) => {
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

test("only silent and gone endpoints are removed", (t) => {
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

test("a host that receives no heartbeats takes silence from reports", (t) => {
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

test("the start of a cold period is reported to other hosts once", (t) => {
  const roster = rosterOf({});
  const { revision } = roster;
  const heartbeat = (sequence: number, heardAt: number, coldUntil: number) =>
    roster.merge({
      status: fixture.endpointStatus({ sequence }),
      heardAt,
      coldUntil,
    });
  t.true(heartbeat(2, 1000, 4000));
  t.is(roster.changedSince(revision).length, 1);
  t.false(heartbeat(3, 2000, 4010), "already known");
  t.false(heartbeat(4, 5000, 0));
  t.true(heartbeat(5, 6000, 9000), "cold again");
});

/** A roster that knows the service `desk` and those in `services`. */
function rosterWithServices(services = new Set(["desk"])) {
  const roster = endpoints.Roster.create({
    ...TIMES,
    isKnownService: (service) => services.has(service),
  });
  let heardAt = 0;
  const hear = (change: Partial<endpoints.EndpointStatus>) =>
    roster.merge({
      status: fixture.endpointStatus({ born: 100, ...change }),
      heardAt: ++heardAt,
    });
  return { roster, hear, services };
}

const FOREIGN: Record<string, Partial<endpoints.EndpointStatus>> = {
  "a later incarnation": { born: 900 },
  "a later sequence number": { sequence: 900 },
  "a drain": { sequence: 900, state: "draining" },
  "another address": { sequence: 900, address: "10.9.9.9:80" },
};

// Guards against an endpoint that is lost to all hosts because another writer
// sends heartbeats under its id.
for (const [what, change] of Object.entries(FOREIGN)) {
  test(`a report of an unknown service does not replace a known one: ${what}`, (t) => {
    const foreign = { service: "unknown", ...change };
    const { roster, hear } = rosterWithServices();
    hear({ sequence: 5 });
    const before = roster.get("i-1");
    t.false(hear(foreign));
    t.deepEqual(roster.get("i-1"), before);
    t.false(hear({ sequence: 6 }), "the next heartbeat changes nothing");
    t.is(roster.get("i-1")?.sequence, 6);

    const later = rosterWithServices();
    later.hear(foreign);
    t.true(later.hear({ sequence: 6 }), "also if the foreign one came first");
    t.like(later.roster.get("i-1"), {
      service: "desk",
      born: 100,
      state: "ready",
      address: "10.0.0.1:80",
    });
  });
}

test("a report of a service that becomes known later applies from then on", (t) => {
  const { roster, hear, services } = rosterWithServices();
  hear({ sequence: 5 });
  hear({ service: "map", born: 200, sequence: 1 });
  t.is(roster.get("i-1")?.service, "desk");
  services.add("map");
  t.true(hear({ service: "map", born: 200, sequence: 2 }));
  t.is(roster.get("i-1")?.service, "map");
});

test("an endpoint that has left may come back with an unknown service", (t) => {
  const { roster, hear } = rosterWithServices();
  hear({ sequence: 5 });
  roster.recordLeave({ id: "i-1", born: 100 }, 10);
  t.true(hear({ service: "map", born: 200, sequence: 1 }));
  t.is(roster.get("i-1")?.service, "map");
});

test("a leave ends an endpoint whatever services are known", (t) => {
  const { roster, hear } = rosterWithServices();
  hear({ sequence: 5 });
  t.true(roster.recordLeave({ id: "i-1", born: 100 }, 10));
  t.is(roster.get("i-1")?.state, "gone");
});

const SEEDS = 500;
const ROSTER_COUNT = 3;

/** Rosters that hear heartbeats of an endpoint, and others under its id, in
 * different orders, some of them not at all, and then hear of each other. */
function rostersAfterExchange(seed: number): endpoints.Roster[] {
  const random = runtime.createMixedRandom(seed);
  const own = Array.from({ length: 4 }, (_, pos) => ({
    born: 100,
    sequence: pos + 1,
  }));
  const foreign = Array.from({ length: 4 }, () => ({
    service: `unknown-${random.below(2)}`,
    born: random.below(3) * 100,
    sequence: random.below(1000),
    state: (["ready", "draining"] as const)[random.below(2)],
  }));
  const statuses = [...own, ...foreign].map(fixture.endpointStatus);
  const rosters = Array.from({ length: ROSTER_COUNT }, () => {
    const { roster } = rosterWithServices();
    const keys = new Map(statuses.map((each) => [each, random.next()]));
    const order = statuses.toSorted((one, other) =>
      keys.get(one)! - keys.get(other)!
    );
    for (const [heardAt, status] of order.entries()) {
      if (random.next() < 0.7) roster.merge({ status, heardAt });
    }
    return roster;
  });
  rosters[0].merge({ status: statuses[own.length - 1], heardAt: 10 });
  const entries = rosters.flatMap((roster) => [...roster.entries]);
  for (const roster of rosters) {
    for (const status of entries) {
      roster.merge({ status, heardAt: status.heardAt });
    }
  }
  return rosters;
}

test("hosts agree on an endpoint whatever is reported under its id", (t) => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    for (const roster of rostersAfterExchange(seed)) {
      t.like(roster.get("i-1"), {
        service: "desk",
        born: 100,
        sequence: 4,
        state: "ready",
      }, `seed ${seed}`);
    }
  }
});
