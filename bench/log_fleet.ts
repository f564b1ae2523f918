/** Replicas in one process for measurements of the log.
 * @module */

import * as path from "node:path";
import * as log from "../src/control/log/mod.ts";
import * as runtime from "../src/runtime/mod.ts";
import * as storage from "../src/storage/mod.ts";
import type * as result from "./result.ts";

/** State of the machine under measurement. */
interface Count {
  readonly count: number;
}

/** A replica under measurement. */
export type Runner = log.Runner<Count, number>;

/** Longest wait for an election in a fleet of one, in milliseconds. */
export const ELECTION = 1;

/** Voters of a fleet. */
export const HOSTS = ["gisenyi-hall-1", "nyamyumba-hall-1", "town-hall-1"];
const TIMING = {
  minElectionTimeout: ELECTION,
  maxElectionTimeout: ELECTION,
  lease: 0.8,
};
const IDLE = 10_000;
const COMMITS = 100;

/** Most bytes/s that an idle leader sends and receives for two followers: a
 * node has 3 KB/s for all of control, framing included. */
const MOST_CARRIED = 1900;

/** Wall clock at the start, in milliseconds: terms are as long as on a real
 * host. */
const WALL = 1.8e12;

/** Counts its commands. */
export const machine: log.StateMachine<Count, number> = {
  empty: { count: 0 },
  apply: ({ count }, _command, index) => ({
    state: { count: count + 1 },
    reply: index,
  }),
  toJSON: (state) => state,
  fromJSON: (json) => json as Count,
};

/** Running replicas with a leader. */
export interface Fleet {
  readonly leader: Runner;
  stop(): Promise<void>;
}

/** A command about as long as an edit of one cell. */
export function createCommand(number: number): log.Command {
  const change = { row: "account/a", column: "weight", version: 1, value: 2 };
  return { id: `command-${number}`, type: "edit", changes: [change] };
}

/** Options of a replica that is a fleet of its own and elects itself soon. */
export function createOptions(disk: runtime.Storage) {
  return {
    host: "a",
    hosts: ["a"],
    machine,
    clock: runtime.systemClock,
    random: runtime.createRandom(1),
    transport: { send: () => {} },
    storage: disk,
    timing: TIMING,
  };
}

/** Starts replicas on the disk that `folder` is on. */
export async function startFleet(
  folder: string,
  count: number,
): Promise<Fleet> {
  const hosts = HOSTS.slice(0, count);
  const runners = new Map<string, Runner>();
  const disks: storage.FileStorage[] = [];
  const send = (envelope: runtime.Envelope) => {
    setImmediate(() => runners.get(envelope.to)?.receive(envelope));
  };
  for (const host of hosts) {
    const disk = await storage.FileStorage.open(path.join(folder, host));
    disks.push(disk);
    const options = { host, hosts, machine, storage: disk };
    const clock = runtime.systemClock;
    const random = runtime.createRandom(runners.size);
    const transport = { send };
    runners.set(
      host,
      await log.Runner.start({ ...options, clock, random, transport }),
    );
  }
  const all = [...runners.values()];
  while (!all.some((runner) => runner.leaseHeld())) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  return {
    leader: all.find((runner) => runner.leaseHeld())!,
    async stop() {
      all.forEach((runner) => runner.stop());
      for (const disk of disks) await disk.close();
    },
  };
}

/** Replicas in virtual time, whose messages are counted. */
export class CountedFleet {
  /** Bytes of JSON that each host has sent. */
  readonly bytes = new Map<string, number>();
  /** Bytes of JSON that each host has sent and received. */
  readonly carried = new Map<string, number>();
  readonly #clock = new runtime.FakeClock();
  readonly #runners = new Map<string, Runner>();

  /** A fleet of `hosts` that has elected a leader. */
  static async create(hosts: readonly string[]): Promise<CountedFleet> {
    const fleet = new CountedFleet();
    for (const [pos, host] of hosts.entries()) {
      await fleet.#start(host, hosts, pos);
    }
    await fleet.elapse(3000);
    fleet.bytes.clear();
    fleet.carried.clear();
    return fleet;
  }

  /** The replica that leads. */
  get leader(): Runner {
    return [...this.#runners.values()].find((runner) => runner.leaseHeld())!;
  }

  /** Bytes that all hosts have sent. */
  get sum(): number {
    return [...this.bytes.values()].reduce((total, one) => total + one, 0);
  }

  /** Lets virtual time pass. */
  async elapse(ms: number): Promise<void> {
    const end = this.#clock.now() + ms;
    while (this.#clock.now() < end) {
      this.#clock.advance(1);
      await new Promise(setImmediate);
    }
  }

  async #start(
    host: string,
    hosts: readonly string[],
    pos: number,
  ): Promise<void> {
    const clock: runtime.Clock = {
      now: () => this.#clock.now(),
      wall: () => WALL + this.#clock.now(),
      after: (delay, callback) => this.#clock.after(delay, callback),
    };
    const runner = await log.Runner.start({
      host,
      hosts,
      machine,
      clock,
      random: runtime.createRandom(pos),
      transport: { send: (envelope) => this.#send(envelope) },
      storage: storage.MemoryStorage.create(),
      incarnation: `1234567${pos}`,
    });
    this.#runners.set(host, runner);
  }

  #send(envelope: runtime.Envelope): void {
    const { from, to, body } = envelope;
    const { length } = JSON.stringify(body);
    add(this.bytes, from, length);
    add(this.carried, from, length);
    add(this.carried, to, length);
    this.#clock.after(1, () => this.#runners.get(to)?.receive(envelope));
  }
}

/** Bytes of JSON that the hosts send, in virtual time: counts that repeat. */
export async function countBytes(): Promise<result.Result[]> {
  const fleet = await CountedFleet.create(HOSTS);
  const { leader } = fleet;
  await fleet.elapse(IDLE);
  const idle = new Map(fleet.bytes);
  const carries = fleet.carried.get(leader.leader!)!;
  const rest = fleet.sum;
  for (let number = 0; number < COMMITS; number++) {
    leader.propose(createCommand(number));
    await fleet.elapse(IDLE / COMMITS);
  }
  const perCommit = (fleet.sum - 2 * rest) / COMMITS;
  const follower = HOSTS.find((host) => host !== leader.leader)!;
  const seconds = IDLE / 1000;
  return [
    count("log/idle/leader sends", idle.get(leader.leader!)! / seconds, 1000),
    count("log/idle/follower sends", idle.get(follower)! / seconds, 1000),
    count("log/idle/leader carries", carries / seconds, MOST_CARRIED),
    { ...count("log/commit/all send", perCommit), unit: "bytes" },
  ];
}

function add(to: Map<string, number>, host: string, bytes: number): void {
  to.set(host, (to.get(host) ?? 0) + bytes);
}

function count(name: string, value: number, most?: number): result.Result {
  return { name, unit: "bytes/s", value, kind: "count", bound: { most } };
}
