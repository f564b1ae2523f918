/** Guards against a log without a leader for longer than entry hosts serve
 * without a confirmed configuration, while voters stand still in turn. On slow
 * disks votes arrived after the candidate had started the next term, and voters
 * that became candidates at once split the vote.
 * @module */

import test from "ava";
import * as fuzz from "../../../bench/log_fuzz/mod.ts";

type Host = fuzz.World["hosts"][number];

const SEED_COUNT = 40;
const SETUP_MS = 3000;
const SPAN_MS = 12_000;
/** Milliseconds for which a voter stands still, and to the next standstill. */
const STANDSTILL_MS = 1500;
const PAUSE_MS = 500;
const COMMAND_INTERVAL_MS = 400;
/** Milliseconds between looks for a leader. */
const LOOK_MS = 5;
/** Entry hosts serve for 2,750 ms after a confirmation. The last one may be 600 ms
 * old when the leader stops, and the next takes up to 350 ms once there is
 * another leader. */
const MAX_LEADERLESS_MS = 2750 - 600 - 350;

/** Whether an awake host serves linearizable reads. */
function isReadable({ isAwake, runner }: Host): boolean {
  if (!isAwake || runner === undefined) return false;
  const { replica } = runner;
  return runner.leaseHeld() &&
    replica.state.commit >= replica.state.termStart;
}

/** Stops each host in turn. */
function standStillInTurn(world: fuzz.World, turn = 0): void {
  const { clock, hosts } = world;
  clock.after(PAUSE_MS, () => {
    const host = hosts[turn % hosts.length];
    host.pause("process");
    clock.after(STANDSTILL_MS, () => {
      host.resume();
      standStillInTurn(world, turn + 1);
    });
  });
}

/** Sends commands to all hosts that are awake. */
function sendCommands(world: fuzz.World): void {
  world.hosts.forEach((host) => world.propose(host));
  world.clock.after(COMMAND_INTERVAL_MS, () => sendCommands(world));
}

/** Returns the longest time without a leader that serves reads. */
async function longestLeaderless(
  seed: number,
  weather: Partial<fuzz.Weather>,
): Promise<number> {
  const world = new fuzz.World({ seed, voters: 3 });
  world.hosts.forEach((host) => host.start());
  await world.run(SETUP_MS);
  Object.assign(world.weather, weather);
  standStillInTurn(world);
  sendCommands(world);
  const { clock, hosts } = world;
  const end = clock.now() + SPAN_MS;
  let ledAt = clock.now();
  let longest = 0;
  while (clock.now() < end) {
    await world.run(LOOK_MS);
    if (hosts.some(isReadable)) ledAt = clock.now();
    longest = Math.max(longest, clock.now() - ledAt);
  }
  return longest;
}

/** Conditions by name: disks and links as on a busy machine. */
const CONDITIONS: Record<string, Partial<fuzz.Weather>> = {
  "on slow disks": { syncSpread: 300 },
  "on slow disks and links": { syncSpread: 200, delaySpread: 60 },
  "on slow links": { delaySpread: 150 },
};

for (const [name, weather] of Object.entries(CONDITIONS)) {
  test(`another voter leads in time while voters stand still in turn ${name}`, async (t) => {
    const spans: number[] = [];
    for (let seed = 1; seed <= SEED_COUNT; seed++) {
      spans.push(await longestLeaderless(seed, weather));
    }
    const longest = Math.max(...spans);
    const late = spans.filter((span) => span > MAX_LEADERLESS_MS).length;
    const seed = spans.indexOf(longest) + 1;
    t.is(late, 0, `${late} of ${SEED_COUNT}; seed ${seed}: ${longest} ms`);
    t.log(`${longest} ms at most`);
  });
}

// Guards against a leader that steps down, or confirms no reads, because the only
// other awake voter writes slowly: it acknowledged overdue entries only once they
// were on its disk, and got no heartbeats meanwhile.
test("a leader confirms reads while the only other awake voter's disk stalls", async (t) => {
  const world = new fuzz.World({ seed: 1, voters: 3 });
  world.hosts.forEach((host) => host.start());
  await world.run(SETUP_MS);
  const leader = world.hosts.find(isReadable)!;
  const [stalled, frozen] = world.hosts.filter((host) => host !== leader);
  frozen.pause("process");
  stalled.isStalled = true;
  world.propose(leader);
  for (let passed = 0; passed < STANDSTILL_MS; passed += LOOK_MS) {
    await world.run(LOOK_MS);
    t.true(isReadable(leader), `after ${passed} ms`);
  }
  const read = leader.runner!.readIndex();
  await world.run(100);
  t.true(await read > 0);
});
