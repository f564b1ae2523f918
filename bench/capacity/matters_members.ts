/** Slopes of membership, by counts in virtual time that repeat.
 * @module */

import type * as fakeHost from "../../src/endpoints/fake_host.ts";
import * as gauge from "./gauge.ts";
import * as hosts from "./hosts.ts";
import type * as slope from "./slope.ts";

const FLEETS = [6, 50, 150, 390];
const SMALL_FLEETS = [12, 50, 150];
const MINUTE = 60_000;
/** Virtual time after a failure in which all hosts hear of it. */
const AFTER = 30_000;

type Cost = (fleet: hosts.Fleet) => number | Promise<number>;

const HOSTS = {
  role: "entry host" as const,
  per: "hosts",
  target: 390,
  reason: "all hosts of the target",
};

/** Measures `cost` at fleets of several sizes. */
async function atFleets(
  cost: Cost,
  sizes: readonly number[] = FLEETS,
): Promise<slope.Point[]> {
  const points: slope.Point[] = [];
  for (const size of sizes) {
    points.push({ size, value: await cost(hosts.settle(size)) });
  }
  return points;
}

/** What one event costs a host beyond what it sends at rest. */
function extra(act: (fleet: hosts.Fleet) => void): Cost {
  return (fleet) => {
    const size = fleet.fake.ids.length;
    const rest = fleet.rate(AFTER).bytes * AFTER / 1000;
    act(fleet);
    return Math.max(0, fleet.count(AFTER).bytes / size - rest);
  };
}

/** Seconds until all other hosts know of the death of one. */
function delayOfDeath(fleet: hosts.Fleet): number {
  const { fake } = fleet;
  const lost = fake.ids[fake.ids.length - 1];
  const start = fake.clock.now();
  fake.crash(lost);
  const knows = (host: fakeHost.FakeHost) =>
    !host.membership.live.some(({ id }) => id === lost);
  while (!fake.programs.every(knows)) fake.run(100);
  return (fake.clock.now() - start) / 1000;
}

const members: slope.Matter[] = [
  {
    ...HOSTS,
    name: "membership bytes at rest",
    unit: "bytes/s",
    mechanism: "one probe a second, whatever the number of hosts",
    budget: 3000,
    measure: () => atFleets((fleet) => fleet.rate(MINUTE, "membership").bytes),
  },
  {
    ...HOSTS,
    name: "membership messages at rest",
    unit: "messages/s",
    mechanism: "a probe and its answer, no broadcast",
    measure: () =>
      atFleets((fleet) => fleet.rate(MINUTE, "membership").messages),
  },
  {
    ...HOSTS,
    name: "bytes for a host that dies",
    unit: "bytes a host",
    mechanism: "news over rings, once to each neighbour",
    measure: () => atFleets(extra(({ fake }) => fake.crash(fake.ids[3]))),
  },
  {
    ...HOSTS,
    name: "bytes for a host that restarts",
    unit: "bytes a host",
    mechanism: "a new incarnation replaces the old, no death in between",
    measure: () => atFleets(extra((fleet) => fleet.start(4))),
  },
  {
    ...HOSTS,
    name: "time until all know of a death",
    unit: "s",
    mechanism: "suspicion of 3 s, then rings of logarithmic diameter",
    measure: () => atFleets(delayOfDeath),
  },
  {
    ...HOSTS,
    name: "processor time of membership",
    unit: "% of a core",
    mechanism: "immutable maps with hashes kept up to date",
    budget: 1.1,
    measure: () =>
      atFleets(async (fleet) => {
        const spent = await gauge.cpu(() => fleet.fake.run(MINUTE));
        return spent / fleet.fake.ids.length / MINUTE * 100;
      }),
  },
  {
    ...HOSTS,
    name: "hosts that a host sends to",
    unit: "connections",
    mechanism: "rings: links grow with the logarithm of the hosts",
    measure: () =>
      atFleets(({ fake }) => {
        const pairs = new Set<string>();
        fake.loses = ({ from, to }) => {
          pairs.add(`${from} ${to}`);
          return false;
        };
        fake.run(MINUTE);
        return pairs.size / fake.ids.length;
      }),
  },
];

/** Takes every eighth host away, then gives a third of the rest no way to the
 * others for two minutes, after which they agree again. */
const disasters: slope.Matter[] = [
  {
    ...HOSTS,
    name: "bytes for a data centre that dies",
    unit: "bytes a host",
    mechanism: "news of up to 32 hosts in one message",
    measure: () =>
      atFleets(
        extra(({ fake }) => {
          const gone = fake.ids.filter((_, pos) => pos % 8 === 7);
          for (const id of gone) fake.crash(id);
        }),
        SMALL_FLEETS,
      ),
  },
  {
    ...HOSTS,
    name: "bytes after a region was cut off",
    unit: "bytes a host",
    mechanism: "each host tries one dead host in 10 s; then copies compare",
    measure: () =>
      atFleets((fleet) => {
        cutOff(fleet);
        fleet.fake.reaches = () => true;
        return fleet.count(2 * AFTER).bytes / fleet.fake.ids.length;
      }, SMALL_FLEETS),
  },
  {
    ...HOSTS,
    name: "time until hosts agree after a region was cut off",
    unit: "s",
    mechanism: "as above",
    measure: () => atFleets(delayOfHealing, SMALL_FLEETS),
  },
];

/** Leaves a third of the hosts to themselves for two minutes. */
function cutOff({ fake }: hosts.Fleet): void {
  const region = new Set(fake.ids.filter((_, pos) => pos % 3 === 0));
  fake.reaches = (from, to) => region.has(from) === region.has(to);
  fake.run(2 * MINUTE);
}

function delayOfHealing(fleet: hosts.Fleet): number {
  const { fake } = fleet;
  cutOff(fleet);
  fake.reaches = () => true;
  const start = fake.clock.now();
  const size = fake.ids.length;
  while (
    fake.programs.some(({ membership: view }) => view.live.length < size)
  ) {
    fake.run(100);
  }
  return (fake.clock.now() - start) / 1000;
}

/** Every slope of membership. */
export const all: readonly slope.Matter[] = [...members, ...disasters];
