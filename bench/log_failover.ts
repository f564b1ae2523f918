/** How long a log of three voters is without a leader after the leader was
 * killed, over seeds and in virtual time: counts that repeat.
 * @module */

import * as log from "../src/control/log/mod.ts";
import * as runtime from "../src/runtime/mod.ts";
import * as storage from "../src/storage/mod.ts";
import * as fleets from "./log_fleet.ts";
import type * as result from "./result.ts";

const SEEDS = 200;

/** Milliseconds that a message takes. */
const LINK = 5;

/** Least milliseconds between the first lease and the kill. */
const SETTLED = 500;

/** Most milliseconds by which the kill is put off at random, so that it falls
 * anywhere between two heartbeats. */
const SPREAD = 1_000;

/** Most milliseconds of a failover at the 95th of 100 seeds. */
const MOST = 1_000;

/** Time from the kill until another voter accepts and reads. */
export async function measureFailover(): Promise<result.Result[]> {
  const times: number[] = [];
  for (let seed = 1; seed <= SEEDS; seed++) times.push(await failOver(seed));
  times.sort((a, b) => a - b);
  const at = (share: number) => times[Math.ceil(SEEDS * share) - 1];
  return [
    count("p50", at(0.5)),
    { ...count("p95", at(0.95)), bound: { most: MOST } },
    count("most", at(1)),
  ];
}

async function failOver(seed: number): Promise<number> {
  const random = runtime.createRandom(seed);
  const clock = new runtime.FakeClock();
  const runners = new Map<string, fleets.Runner>();
  const send = (envelope: runtime.Envelope) => {
    clock.after(LINK, () => runners.get(envelope.to)?.receive(envelope));
  };
  for (const [pos, host] of fleets.HOSTS.entries()) {
    const runner = await log.Runner.start({
      host,
      hosts: fleets.HOSTS,
      machine: fleets.machine,
      clock,
      random: runtime.createRandom(seed * fleets.HOSTS.length + pos),
      transport: { send },
      storage: storage.MemoryStorage.create(),
      incarnation: `1234567${pos}`,
    });
    runners.set(host, runner);
  }
  const find = () =>
    [...runners].find(([, { replica }]) => replica.isReadable(clock.now()));
  const pass = async () => {
    clock.advance(1);
    await new Promise(setImmediate);
  };
  while (find() === undefined) await pass();
  const settled = SETTLED + random.below(SPREAD);
  for (let passed = 0; passed < settled; passed++) await pass();
  const [host, leader] = find()!;
  leader.stop();
  runners.delete(host);
  const killed = clock.now();
  while (find() === undefined) await pass();
  const elapsed = clock.now() - killed;
  runners.forEach((runner) => runner.stop());
  return elapsed;
}

function count(name: string, value: number): result.Result {
  return { name: `log/failover/${name}`, unit: "ms", value, kind: "count" };
}
