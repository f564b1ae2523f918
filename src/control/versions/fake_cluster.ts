/** Stores on a fake clock, with disks and links in memory, for tests.
 * @module */

import * as runtime from "../../runtime/mod.ts";
import * as storage from "../../storage/mod.ts";
import * as telemetry from "../../telemetry/mod.ts";
import * as configurationStores from "./configuration_store.ts";
import type * as leaderCalls from "./leader_client.ts";
import * as editions from "./configuration_version.ts";

/** Milliseconds that one step of a run lasts. */
const STEP = 1;
/** Milliseconds between looks at who runs, as greetings tell hosts. */
const GREETING = 400;

/** A version with some content. */
export function versionOf(version: number): editions.ConfigurationVersion {
  return editions.packVersion(version, JSON.stringify({ version }));
}

/** A host of a fake fleet. */
interface Host {
  readonly name: string;
  /** Hosts that its settings name. */
  seeds: readonly string[];
  disk: storage.MemoryStorage;
  store?: configurationStores.ConfigurationStore;
  /** Changes at each start and stop, so that what was under way is lost. */
  life: number;
}

/** Deliberate faults, to show that checks notice them: nobody tells who leads;
 * hosts that ask are told that what they hold is in force. */
export type InjectedFault = "untold" | "unconfirmed";

/** What a fake fleet is made of. */
export interface FakeClusterOptions {
  /** Most voters; all hosts when absent. */
  readonly voters?: number;
  readonly seed?: number;
  /** Milliseconds from host to host; 1 when absent. */
  readonly delay?: number;
  readonly fault?: InjectedFault;
}

/** Hosts that keep the configuration together. */
export class FakeCluster {
  readonly clock = new runtime.FakeClock();
  readonly #hosts: readonly Host[];
  readonly #random: runtime.Random;
  readonly #mostVoters: number;
  readonly #delay: number;
  readonly #breakage?: InjectedFault;
  /** Hosts that leaders want as voters, where a test says so; none for no
   * word of theirs. */
  #chosen?: readonly string[];
  /** Links that carry nothing, as `FROM>TO`. */
  readonly #cutLinks = new Set<string>();

  /** Hosts `names`, whose settings name `seeds`. */
  constructor(
    names: readonly string[],
    seeds: readonly string[],
    { voters = names.length, seed = 5, delay = 1, fault: breakage }:
      FakeClusterOptions = {},
  ) {
    this.#breakage = breakage;
    this.#mostVoters = voters;
    this.#delay = delay;
    this.#random = runtime.createRandom(seed);
    this.#hosts = names.map((name) => ({
      name,
      seeds,
      disk: storage.MemoryStorage.create(),
      life: 0,
    }));
  }

  /** The store of a host that runs. */
  storeOf(name: string): configurationStores.ConfigurationStore {
    return this.#host(name).store!;
  }

  get names(): string[] {
    return this.#hosts.map((host) => host.name);
  }

  /** Hosts that run. */
  get running(): string[] {
    return this.#hosts.filter(({ store }) => store !== undefined)
      .map((host) => host.name);
  }

  /** Host that leads, if any does. */
  get leader(): string | undefined {
    return this.running.find((name) => this.storeOf(name).isLeader);
  }

  /** Starts hosts; `founds` at the very first start of all, `seeds` where their
   * settings have come to name others. */
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
      const life = ++host.life;
      const runs = () => host.life === life;
      host.store = await configurationStores.ConfigurationStore.start({
        self: name,
        initialVoters: host.seeds,
        isBootstrap: founds && host.seeds.includes(name),
        clock: {
          now: () => this.clock.now(),
          wall: () => this.clock.now(),
          after: (delay, callback) =>
            this.clock.after(delay, () => {
              if (runs()) callback();
            }),
        },
        random: this.#random,
        transport: {
          send: (envelope) => {
            if (runs()) this.#send(envelope);
          },
        },
        openStorage: () => Promise.resolve(host.disk),
        callHost: (to, question, { timeout }) =>
          this.#ask({ from: name, to, timeout }, question),
        logger: logger ?? telemetry.noLogger,
      });
    }
  }

  /** Takes hosts' power; their disks keep what was synced. */
  crash(names: readonly string[]): void {
    for (const name of names) {
      const host = this.#host(name);
      host.life++;
      host.store?.stop();
      host.store = undefined;
      host.disk = host.disk.crash();
    }
  }

  /** Gives a host that is down an empty disk. */
  wipeDisk(name: string): void {
    this.#host(name).disk = storage.MemoryStorage.create();
  }

  /** Cuts hosts off from all others, in both directions. */
  isolate(names: readonly string[]): void {
    for (const inside of names) {
      for (const outside of this.names) {
        if (names.includes(outside)) continue;
        this.#cutLinks.add(`${inside}>${outside}`);
        this.#cutLinks.add(`${outside}>${inside}`);
      }
    }
  }

  /** Has leaders want these hosts as voters; with none they name nobody. */
  setDesiredVoters(names: readonly string[]): void {
    this.#chosen = names;
  }

  /** Makes all links whole. */
  heal(): void {
    this.#cutLinks.clear();
  }

  /** Lets time pass. Who leads wants all hosts as voters, or as many as there
   * may be. */
  async run(ms: number): Promise<void> {
    for (let count = 0; count < ms; count += STEP) {
      this.clock.advance(STEP);
      if (this.clock.now() % GREETING === 0) this.#greet();
      for (let turn = 0; turn < 4; turn++) await new Promise(setImmediate);
    }
  }

  /** Orders a version at a host; undefined when it is not answered. */
  async replace(name: string, version: number): Promise<string | undefined> {
    const answer = this.storeOf(name).replace(versionOf(version), PATIENCE);
    return await this.#settled(answer.then(({ verdict }) => verdict));
  }

  /** Orders an evacuation at a host, or its end; undefined when it is not
   * answered. */
  async evacuate(
    name: string,
    dataCentre: string,
    { active = true, isAbandoned = () => false }: {
      active?: boolean;
      isAbandoned?: () => boolean;
    } = {},
  ): Promise<string | undefined> {
    const options = { timeout: PATIENCE, isAbandoned };
    const answer = this.storeOf(name).evacuate({ dataCentre, active }, options);
    return await this.#settled(answer.then(({ verdict }) => verdict));
  }

  /** Data centres that are evacuated as a host reads it; undefined when it is
   * not answered. */
  async readEvacuated(name: string): Promise<string[] | undefined> {
    const store = this.storeOf(name);
    const answer = store.read(PATIENCE).then(() => store.evacuations.active);
    return (await this.#settled(answer))?.map(({ dataCentre }) => dataCentre);
  }

  /** Version that a host reads; undefined when it is not answered. */
  async read(name: string): Promise<number | undefined> {
    const answer = this.storeOf(name).read(PATIENCE);
    return await this.#settled(answer.then(({ version }) => version));
  }

  /** Moves leadership to one of `names` by taking power from leaders. */
  async moveLeader(names: readonly string[]): Promise<void> {
    for (let tries = 0; tries < MOST_MOVES; tries++) {
      const { leader } = this;
      if (leader !== undefined && names.includes(leader)) return;
      if (leader !== undefined) {
        this.crash([leader]);
        await this.run(ELECTED);
        await this.start([leader]);
      }
      await this.run(ELECTED);
    }
    throw new Error(`none of ${names.join(", ")} came to lead`);
  }

  #greet(): void {
    for (const name of this.running) {
      const store = this.storeOf(name);
      store.setKnownHosts(this.names);
      const wanted = this.#chosen ?? this.#wanted(name);
      if (store.isLeader && wanted.length > 0) store.setDesiredVoters(wanted);
      this.#tellLeadership(name);
    }
  }

  #tellLeadership(from: string): void {
    const { leadership } = this.storeOf(from);
    if (leadership === undefined || this.#breakage === "untold") return;
    for (const to of this.running) {
      if (to !== from && this.#carries(from, to)) {
        this.storeOf(to).updateLeaderHint(leadership);
      }
    }
  }

  /** Hosts that should be voters: who leads, those that are and run, then others
   * that run, those that don't last. */
  #wanted(leader: string): string[] {
    const { voters } = this.storeOf(leader);
    const rank = (name: string) => {
      if (name === leader) return -1;
      const isReached = this.running.includes(name) &&
        this.#carries(name, leader);
      return (isReached ? 0 : 2) + (voters.includes(name) ? 0 : 1);
    };
    const ranked = [...this.names].sort((a, b) => rank(a) - rank(b));
    return ranked.slice(0, this.#mostVoters).sort();
  }

  #carries(from: string, to: string): boolean {
    return !this.#cutLinks.has(`${from}>${to}`);
  }

  async #settled<T>(promise: Promise<T>): Promise<T | undefined> {
    let answer: T | undefined;
    promise.then((value) => answer = value, () => {});
    await this.run(PATIENCE + 100);
    return answer;
  }

  #host(name: string): Host {
    return this.#hosts.find((host) => host.name === name)!;
  }

  #send(envelope: runtime.Envelope): void {
    if (!this.#carries(envelope.from, envelope.to)) return;
    this.clock.after(
      this.#delay,
      () => this.#host(envelope.to).store?.receive(envelope),
    );
  }

  async #ask(
    { from, to, timeout }: { from: string; to: string; timeout: number },
    question: Parameters<leaderCalls.HostCall>[1],
  ): ReturnType<leaderCalls.HostCall> {
    await this.#pass(this.#delay);
    if (this.#breakage === "unconfirmed" && question.type === "confirm") {
      return { type: "confirmed", index: 0, version: question.version };
    }
    const { store } = this.#host(to);
    if (store === undefined || !this.#carries(from, to)) {
      await this.#pass(timeout);
      throw new Error(`${to} is silent`);
    }
    const reply = await store.handle(
      question as Parameters<typeof store.handle>[0],
    );
    if (this.#carries(to, from)) return reply;
    await this.#pass(timeout);
    throw new Error(`${to} is silent`);
  }

  #pass(ms: number): Promise<void> {
    return new Promise((resolve) => void this.clock.after(ms, () => resolve()));
  }
}

/** Milliseconds in which a leader is elected. */
const ELECTED = 2500;
const MOST_MOVES = 20;
/** Milliseconds in which orders and reads are answered. */
const PATIENCE = 900;
