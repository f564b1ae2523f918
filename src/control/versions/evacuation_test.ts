/** @module */

import test from "ava";
import * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/fleet_types.ts";
import * as fakeCluster from "./fake_cluster.ts";
import * as versions from "./mod.ts";

const NAMES = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
const SEEDS = ["a", "b", "c"];
const VOTERS = 5;
const DATA_CENTRE = "hall";

/** Creates nine hosts, five of them voters. */
async function createCluster() {
  const cluster = new fakeCluster.FakeCluster(NAMES, SEEDS, { voters: VOTERS });
  await cluster.start(NAMES, { founds: true });
  await cluster.run(8000);
  const { voters } = cluster.storeOf(cluster.leader!);
  const nonVoter = NAMES.find((name) => !voters.includes(name))!;
  return { cluster, voters, nonVoter };
}

test("a non-voter accepts an evacuation, and all hosts read it", async (t) => {
  const { cluster, nonVoter } = await createCluster();
  t.is(await cluster.evacuate(nonVoter, DATA_CENTRE), "accepted");
  for (const name of NAMES) {
    t.deepEqual(await cluster.readEvacuated(name), [DATA_CENTRE], name);
  }
});

test("a repeated evacuation command is acknowledged by any host", async (t) => {
  const { cluster, nonVoter } = await createCluster();
  await cluster.evacuate(cluster.leader!, DATA_CENTRE);
  t.is(await cluster.evacuate(nonVoter, DATA_CENTRE), "known");
  t.is(
    await cluster.evacuate(nonVoter, DATA_CENTRE, { active: false }),
    "accepted",
  );
  t.deepEqual(await cluster.readEvacuated(cluster.leader!), []);
});

test("replacing the configuration leaves evacuations unchanged", async (t) => {
  const { cluster, nonVoter } = await createCluster();
  await cluster.replace(nonVoter, 4);
  await cluster.evacuate(nonVoter, DATA_CENTRE);
  await cluster.replace(nonVoter, 5);
  t.deepEqual(await cluster.readEvacuated(nonVoter), [DATA_CENTRE]);
  t.is(await cluster.read(nonVoter), 5);
});

test("an evacuation survives when all hosts lose power and two their disks", async (t) => {
  const { cluster, voters } = await createCluster();
  await cluster.evacuate(cluster.leader!, DATA_CENTRE);
  cluster.crash(NAMES);
  voters.slice(0, 2).forEach((name) => cluster.wipeDisk(name));
  await cluster.start(NAMES);
  await cluster.run(6000);
  for (const name of NAMES) {
    t.deepEqual(await cluster.readEvacuated(name), [DATA_CENTRE], name);
  }
});

test("a command whose client has disconnected has no effect", async (t) => {
  const { cluster, nonVoter } = await createCluster();
  await cluster.evacuate(cluster.leader!, DATA_CENTRE);
  await cluster.evacuate(cluster.leader!, DATA_CENTRE, { active: false });
  const isAbandoned = () => true;
  t.is(
    await cluster.evacuate(nonVoter, DATA_CENTRE, { isAbandoned }),
    undefined,
  );
  t.deepEqual(await cluster.readEvacuated(nonVoter), []);
});

test("merging commands in any order yields the newest for each data centre", (t) => {
  const evacuations: schema.Evacuation[] = [1, 2, 3, 4].map((revision) => ({
    dataCentre: revision > 2 ? "town" : DATA_CENTRE,
    revision,
    active: revision % 2 === 1,
    orderedAt: 0,
  }));
  const random = runtime.createRandom(3);
  for (let round = 0; round < 50; round++) {
    const shuffled = evacuations.map((evacuation) => ({
      evacuation,
      at: random.next(),
    }))
      .sort((one, other) => one.at - other.at)
      .map(({ evacuation }) => evacuation);
    const merged = shuffled.reduce(
      (known, evacuation) => known.merge([evacuation]),
      versions.Evacuations.NONE,
    );
    t.deepEqual(
      [DATA_CENTRE, "town"].map((dataCentre) => merged.revisionOf(dataCentre)),
      [
        2,
        4,
      ],
    );
    t.deepEqual(merged.active, []);
  }
});
