/** @module */

import test from "ava";
import * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/fleet_types.ts";
import * as fakes from "./fake_cluster.ts";
import * as versions from "./mod.ts";

const NAMES = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
const SEEDS = ["a", "b", "c"];
const VOTERS = 5;
const PLACE = "hall";

/** Nine hosts, five of them voters. */
async function createFleet() {
  const fleet = new fakes.FakeCluster(NAMES, SEEDS, { voters: VOTERS });
  await fleet.start(NAMES, { founds: true });
  await fleet.run(8000);
  const { voters } = fleet.storeOf(fleet.leader!);
  const voteless = NAMES.find((name) => !voters.includes(name))!;
  return { fleet, voters, voteless };
}

test("a host without a vote takes an evacuation, and all hosts read it", async (t) => {
  const { fleet, voteless } = await createFleet();
  t.is(await fleet.evacuate(voteless, PLACE), "accepted");
  for (const name of NAMES) {
    t.deepEqual(await fleet.readEvacuated(name), [PLACE], name);
  }
});

test("an evacuation that is ordered again is acknowledged by any host", async (t) => {
  const { fleet, voteless } = await createFleet();
  await fleet.evacuate(fleet.leader!, PLACE);
  t.is(await fleet.evacuate(voteless, PLACE), "known");
  t.is(await fleet.evacuate(voteless, PLACE, { active: false }), "accepted");
  t.deepEqual(await fleet.readEvacuated(fleet.leader!), []);
});

test("versions of the configuration leave evacuations as they are", async (t) => {
  const { fleet, voteless } = await createFleet();
  await fleet.replace(voteless, 4);
  await fleet.evacuate(voteless, PLACE);
  await fleet.replace(voteless, 5);
  t.deepEqual(await fleet.readEvacuated(voteless), [PLACE]);
  t.is(await fleet.read(voteless), 5);
});

test("an evacuation is kept when all hosts lose power and two their disks", async (t) => {
  const { fleet, voters } = await createFleet();
  await fleet.evacuate(fleet.leader!, PLACE);
  fleet.crash(NAMES);
  voters.slice(0, 2).forEach((name) => fleet.wipeDisk(name));
  await fleet.start(NAMES);
  await fleet.run(6000);
  for (const name of NAMES) {
    t.deepEqual(await fleet.readEvacuated(name), [PLACE], name);
  }
});

test("an order that nobody waits for any more has no effect", async (t) => {
  const { fleet, voteless } = await createFleet();
  await fleet.evacuate(fleet.leader!, PLACE);
  await fleet.evacuate(fleet.leader!, PLACE, { active: false });
  const isAbandoned = () => true;
  t.is(await fleet.evacuate(voteless, PLACE, { isAbandoned }), undefined);
  t.deepEqual(await fleet.readEvacuated(voteless), []);
});

test("of orders that come in any order the newest is known", (t) => {
  const orders: schema.Evacuation[] = [1, 2, 3, 4].map((revision) => ({
    dataCentre: revision > 2 ? "town" : PLACE,
    revision,
    active: revision % 2 === 1,
    orderedAt: 0,
  }));
  const random = runtime.createRandom(3);
  for (let round = 0; round < 50; round++) {
    const shuffled = orders.map((order) => ({ order, at: random.next() }))
      .sort((one, other) => one.at - other.at)
      .map(({ order }) => order);
    const merged = shuffled.reduce(
      (known, order) => known.merge([order]),
      versions.Evacuations.NONE,
    );
    t.deepEqual([PLACE, "town"].map((place) => merged.revisionOf(place)), [
      2,
      4,
    ]);
    t.deepEqual(merged.active, []);
  }
});
