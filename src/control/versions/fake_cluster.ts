/** Configuration stores with a fake clock and in-memory disks and links, for
 * tests.
 * @module */

import * as runtime from "../../runtime/mod.ts";
import * as storage from "../../storage/mod.ts";
import * as telemetry from "../../telemetry/mod.ts";
import * as configurationStore from "./configuration_store.ts";
import type * as leaderClient from "./leader_client.ts";
import * as configurationVersions from "./configuration_version.ts";

/** Step of the fake clock. */
const STEP_MS = 1;
/** Interval of hello messages between hosts. */
const HELLO_INTERVAL_MS = 400;

/** Creates a version with minimal content. */
export function versionOf(
  version: number,
): configurationVersions.ConfigurationVersion {
  return configurationVersions.packVersion(
    version,
    JSON.stringify({ version }),
  );
}

/** Whether a disk takes writes, refuses them, or keeps them waiting. */
type DiskState = "sound" | "full" | "stalled";

/** A host of a fake cluster. */
interface Host {
  readonly name: string;
  /** Seeds in its settings. */
  seeds: readonly string[];
  disk: storage.MemoryStorage;
  diskState: DiskState;
  /** Writes that wait for a stalled disk. */
  stalledWrites: (() => void)[];
  store?: configurationStore.ConfigurationStore;
  /** Incremented at each start and stop, so that pending timers and messages
   * are discarded. */
  incarnation: number;
}

/** Faults to inject, to prove that checks detect them: `untold` sends no leader
 * hints; `unconfirmed` confirms to each host the version that it has. */
export type InjectedFault = "untold" | "unconfirmed";

/** Options of a fake cluster. */
export interface FakeClusterOptions {
  /** Maximum number of voters; all hosts by default. */
  readonly voters?: number;
  readonly seed?: number;
  /** Network latency in milliseconds; 1 by default. */
  readonly delay?: number;
  readonly fault?: InjectedFault;
}

/** A cluster of hosts with a configuration store each. */
export class FakeCluster {
  readonly clock = new runtime.FakeClock();
  readonly #hosts: readonly Host[];
  readonly #random: runtime.Random;
  readonly #maxVoters: number;
  readonly #delay: number;
  readonly #fault?: InjectedFault;
  /** Voters that leaders should set, when a test overrides the default; an
   * empty list for setting none. */
  #desiredVoters?: readonly string[];
  /** Links that drop all messages, as `FROM>TO`. */
  readonly #cutLinks = new Set<string>();

  /** Creates the stopped hosts `names` with the seeds `seeds`. */
  constructor(
    names: readonly string[],
    seeds: readonly string[],
    { voters = names.length, seed = 5, delay = 1, fault }: FakeClusterOptions =
      {},
  ) {
    this.#fault = fault;
    this.#maxVoters = voters;
    this.#delay = delay;
    this.#random = runtime.createRandom(seed);
    this.#hosts = names.map((name) => ({
      name,
      seeds,
      disk: storage.MemoryStorage.create(),
      diskState: "sound",
      stalledWrites: [],
      incarnation: 0,
    }));
  }

  /** The store of a running host. */
  storeOf(name: string): configurationStore.ConfigurationStore {
    return this.#host(name).store!;
  }

  get names(): string[] {
    return this.#hosts.map((host) => host.name);
  }

  /** Running hosts. */
  get running(): string[] {
    return this.#hosts.filter(({ store }) => store !== undefined)
      .map((host) => host.name);
  }

  /** The leader, if there is one. */
  get leader(): string | undefined {
    return this.running.find((name) => this.storeOf(name).isLeader);
  }

  /** Starts hosts: with `founds` at the first start of the cluster, with
   * `seeds` when their settings have changed. */
  async start(
    names: readonly string[],
    { founds = false, seeds, logger }: {
      founds?: boolean;
      seeds?: readonly string[];
      logger?: telemetry.Logger;
    } = {},
  ): Promise<void> {
    for (const name of names) {
      const host = this.#host(name);
      host.seeds = seeds ?? host.seeds;
      const incarnation = ++host.incarnation;
      const isCurrent = () => host.incarnation === incarnation;
      host.store = await configurationStore.ConfigurationStore.start({
        self: name,
        incarnation: `${incarnation}`,
        initialVoters: host.seeds,
        isBootstrap: founds && host.seeds.includes(name),
        clock: {
          now: () => this.clock.now(),
          wall: () => this.clock.now(),
          after: (delay, callback) =>
            this.clock.after(delay, () => {
              if (isCurrent()) callback();
            }),
        },
        random: this.#random,
        transport: {
          send: (envelope) => {
            if (isCurrent()) this.#send(envelope);
          },
        },
        openStorage: () => Promise.resolve(openDisk(host)),
        callHost: (to, question, { timeout }) =>
          this.#call({ from: name, to, timeout }, question),
        logger: logger ?? telemetry.noLogger,
      });
    }
  }

  /** Simulates a power loss of hosts; their disks keep synced writes only. */
  crash(names: readonly string[]): void {
    for (const name of names) {
      const host = this.#host(name);
      host.incarnation++;
      host.store?.stop();
      host.store = undefined;
      host.stalledWrites = [];
      host.disk = host.disk.crash();
    }
  }

  /** Replaces the disk of a stopped host by an empty one. */
  wipeDisk(name: string): void {
    this.#host(name).disk = storage.MemoryStorage.create();
  }

  /** Lets the disk of a host refuse every write until `restoreDisk`. */
  fillDisk(name: string): void {
    this.#host(name).diskState = "full";
  }

  /** Lets the disk of a host complete no write until `restoreDisk`. */
  stallDisk(name: string): void {
    this.#host(name).diskState = "stalled";
  }

  restoreDisk(name: string): void {
    const host = this.#host(name);
    host.diskState = "sound";
    const writes = host.stalledWrites;
    host.stalledWrites = [];
    writes.forEach((write) => write());
  }

  /** Partitions hosts from all others, in both directions. */
  isolate(names: readonly string[]): void {
    for (const inside of names) {
      for (const outside of this.names) {
        if (names.includes(outside)) continue;
        this.#cutLinks.add(`${inside}>${outside}`);
        this.#cutLinks.add(`${outside}>${inside}`);
      }
    }
  }

  /** Overrides the voters that leaders set; with an empty list they set
   * none. */
  setDesiredVoters(names: readonly string[]): void {
    this.#desiredVoters = names;
  }

  /** Restores all links. */
  heal(): void {
    this.#cutLinks.clear();
  }

  /** Advances the clock and handles what happens meanwhile. By default leaders
   * set as many voters as are allowed. */
  async run(ms: number): Promise<void> {
    for (let count = 0; count < ms; count += STEP_MS) {
      this.clock.advance(STEP_MS);
      if (this.clock.now() % HELLO_INTERVAL_MS === 0) this.#exchangeHellos();
      for (let turn = 0; turn < 4; turn++) await new Promise(setImmediate);
    }
  }

  /** Sends a replace command to a host; returns the verdict, or undefined when
   * it fails. */
  async replace(name: string, version: number): Promise<string | undefined> {
    const reply = this.storeOf(name).replace(versionOf(version), TIMEOUT_MS);
    return await this.#settle(reply.then(({ verdict }) => verdict));
  }

  /** Begins or ends an evacuation through a host; returns the verdict, or
   * undefined when it fails. */
  async evacuate(
    name: string,
    dataCentre: string,
    { active = true, isAbandoned = () => false }: {
      active?: boolean;
      isAbandoned?: () => boolean;
    } = {},
  ): Promise<string | undefined> {
    const options = { timeout: TIMEOUT_MS, isAbandoned };
    const reply = this.storeOf(name).evacuate({ dataCentre, active }, options);
    return await this.#settle(reply.then(({ verdict }) => verdict));
  }

  /** Reads the evacuated data centres through a host; undefined when the read
   * fails. */
  async readEvacuated(name: string): Promise<string[] | undefined> {
    const store = this.storeOf(name);
    const reply = store.read(TIMEOUT_MS).then(() => store.evacuations.active);
    return (await this.#settle(reply))?.map(({ dataCentre }) => dataCentre);
  }

  /** Reads the version through a host; undefined when the read fails. */
  async read(name: string): Promise<number | undefined> {
    const reply = this.storeOf(name).read(TIMEOUT_MS);
    return await this.#settle(reply.then(({ version }) => version));
  }

  /** Moves leadership to one of `names` by restarting leaders. */
  async moveLeader(names: readonly string[]): Promise<void> {
    for (let tries = 0; tries < MAX_MOVE_COUNT; tries++) {
      const { leader } = this;
      if (leader !== undefined && names.includes(leader)) return;
      if (leader !== undefined) {
        this.crash([leader]);
        await this.run(ELECTION_MS);
        await this.start([leader]);
      }
      await this.run(ELECTION_MS);
    }
    throw new Error(`none of ${names.join(", ")} became the leader`);
  }

  #exchangeHellos(): void {
    for (const name of this.running) {
      const store = this.storeOf(name);
      store.setKnownHosts(this.names);
      const voters = this.#desiredVoters ?? this.#defaultVoters(name);
      if (store.isLeader && voters.length > 0) store.setDesiredVoters(voters);
      this.#sendLeaderHint(name);
    }
  }

  #sendLeaderHint(from: string): void {
    const { leadership } = this.storeOf(from);
    if (leadership === undefined || this.#fault === "untold") return;
    for (const to of this.running) {
      if (to !== from && this.#isConnected(from, to)) {
        this.storeOf(to).updateLeaderHint(leadership);
      }
    }
  }

  /** Hosts that should be voters: the leader, then reachable voters, then other
   * reachable hosts, then the rest. */
  #defaultVoters(leader: string): string[] {
    const { voters } = this.storeOf(leader);
    const rank = (name: string) => {
      if (name === leader) return -1;
      const isReachable = this.running.includes(name) &&
        this.#isConnected(name, leader);
      return (isReachable ? 0 : 2) + (voters.includes(name) ? 0 : 1);
    };
    const ranked = [...this.names].sort((a, b) => rank(a) - rank(b));
    return ranked.slice(0, this.#maxVoters).sort();
  }

  #isConnected(from: string, to: string): boolean {
    return !this.#cutLinks.has(`${from}>${to}`);
  }

  async #settle<T>(promise: Promise<T>): Promise<T | undefined> {
    let result: T | undefined;
    promise.then((value) => result = value, () => {});
    await this.run(TIMEOUT_MS + 100);
    return result;
  }

  #host(name: string): Host {
    return this.#hosts.find((host) => host.name === name)!;
  }

  #send(envelope: runtime.Envelope): void {
    if (!this.#isConnected(envelope.from, envelope.to)) return;
    this.clock.after(
      this.#delay,
      () => this.#host(envelope.to).store?.receive(envelope),
    );
  }

  async #call(
    { from, to, timeout }: { from: string; to: string; timeout: number },
    question: Parameters<leaderClient.HostCall>[1],
  ): ReturnType<leaderClient.HostCall> {
    await this.#sleep(this.#delay);
    if (this.#fault === "unconfirmed" && question.type === "confirm") {
      return { type: "confirmed", index: 0, version: question.version };
    }
    const { store } = this.#host(to);
    if (store === undefined || !this.#isConnected(from, to)) {
      await this.#sleep(timeout);
      throw new Error(`${to} is silent`);
    }
    const reply = await store.handle(
      question as Parameters<typeof store.handle>[0],
    );
    if (this.#isConnected(to, from)) return reply;
    await this.#sleep(timeout);
    throw new Error(`${to} is silent`);
  }

  #sleep(ms: number): Promise<void> {
    return new Promise((resolve) => void this.clock.after(ms, () => resolve()));
  }
}

const diskWriters: Record<
  DiskState,
  (host: Host, write: () => Promise<void>) => Promise<void>
> = {
  sound: (_, write) => write(),
  full: () => Promise.reject(new Error("the disk is full")),
  stalled: (host, write) =>
    new Promise((resolve, reject) =>
      host.stalledWrites.push(() => write().then(resolve, reject))
    ),
};

/** The disk of a host as its process has it. */
function openDisk(host: Host): runtime.Storage {
  const { disk } = host;
  const write = (action: () => Promise<void>) =>
    diskWriters[host.diskState](host, action);
  return {
    read: (name) => disk.read(name),
    list: () => disk.list(),
    append: (name, bytes) => write(() => disk.append(name, bytes)),
    replace: (name, bytes) => write(() => disk.replace(name, bytes)),
    truncate: (name, length) => write(() => disk.truncate(name, length)),
    syncFile: (name) => disk.syncFile(name),
    remove: (name) => write(() => disk.remove(name)),
  };
}

/** Time within which a leader is elected. */
const ELECTION_MS = 2500;
const MAX_MOVE_COUNT = 20;
/** Timeout of commands and reads. */
const TIMEOUT_MS = 900;
