/** Keepers on a fake clock, with disks and links in memory, for tests.
 * @module */

import * as runtime from "../../runtime/mod.ts";
import * as storage from "../../storage/mod.ts";
import * as telemetry from "../../telemetry/mod.ts";
import * as keepers from "./keeper.ts";
import * as machines from "./machine.ts";

/** Milliseconds from host to host. */
const DELAY = 1;
/** Milliseconds that one step of a run lasts. */
const STEP = 1;
/** Milliseconds between looks at who runs, as greetings tell hosts. */
const GREETING = 400;

/** A host of a fake fleet. */
interface Host {
  readonly name: string;
  /** Hosts that its settings name. */
  readonly seeds: readonly string[];
  disk: storage.MemoryStorage;
  keeper?: keepers.Keeper;
  /** Changes at each start and stop, so that what was under way is lost. */
  life: number;
}

/** Hosts that keep the configuration together. */
export class FakeKeepers {
  readonly clock = new runtime.FakeClock();
  readonly #hosts: readonly Host[];
  readonly #random = runtime.createRandom(5);

  /** Hosts `names`, whose settings name `seeds`. */
  constructor(names: readonly string[], seeds: readonly string[]) {
    this.#hosts = names.map((name) => ({
      name,
      seeds,
      disk: storage.MemoryStorage.create(),
      life: 0,
    }));
  }

  /** The keeper of a host that runs. */
  at(name: string): keepers.Keeper {
    return this.#host(name).keeper!;
  }

  get names(): string[] {
    return this.#hosts.map((host) => host.name);
  }

  /** Hosts that run. */
  get running(): string[] {
    return this.#hosts.filter(({ keeper }) => keeper !== undefined)
      .map((host) => host.name);
  }

  /** Host that leads, if any does. */
  get leader(): string | undefined {
    return this.running.find((name) => this.at(name).isLeader);
  }

  /** Starts hosts; `founds` at the very first start of all. */
  async start(
    names: readonly string[],
    { founds = false, logger }: {
      founds?: boolean;
      logger?: telemetry.Logger;
    } = {},
  ): Promise<void> {
    for (const name of names) {
      const host = this.#host(name);
      const life = ++host.life;
      const runs = () => host.life === life;
      host.keeper = await keepers.Keeper.start({
        self: name,
        founders: host.seeds,
        founds: founds && host.seeds.includes(name),
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
        open: () => Promise.resolve(host.disk),
        ask: (to, question) => this.#ask(to, question),
        logger: logger ?? telemetry.noLogger,
      });
    }
  }

  /** Takes hosts' power; their disks keep what was synced. */
  cut(names: readonly string[]): void {
    for (const name of names) {
      const host = this.#host(name);
      host.life++;
      host.keeper?.stop();
      host.keeper = undefined;
      host.disk = host.disk.crash();
    }
  }

  /** Gives a host that is down an empty disk. */
  wipe(name: string): void {
    this.#host(name).disk = storage.MemoryStorage.create();
  }

  /** Lets time pass. Who leads wants all hosts as voters. */
  async run(ms: number): Promise<void> {
    for (let count = 0; count < ms; count += STEP) {
      this.clock.advance(STEP);
      if (this.clock.now() % GREETING === 0) this.#greet();
      for (let turn = 0; turn < 4; turn++) await new Promise(setImmediate);
    }
  }

  /** Orders a version at a host; undefined when it is not answered. */
  async replace(name: string, version: number): Promise<string | undefined> {
    const order = machines.editionOf(version, JSON.stringify({ version }));
    const answer = this.at(name).replace(order, PATIENCE);
    return await this.#settled(answer.then(({ verdict }) => verdict));
  }

  /** Version that a host reads; undefined when it is not answered. */
  async read(name: string): Promise<number | undefined> {
    const answer = this.at(name).read(PATIENCE);
    return await this.#settled(answer.then(({ version }) => version));
  }

  /** Moves leadership to one of `names` by taking power from leaders. */
  async moveLeader(names: readonly string[]): Promise<void> {
    for (let tries = 0; tries < MOST_MOVES; tries++) {
      const { leader } = this;
      if (leader !== undefined && names.includes(leader)) return;
      if (leader !== undefined) {
        this.cut([leader]);
        await this.run(ELECTED);
        await this.start([leader]);
      }
      await this.run(ELECTED);
    }
    throw new Error(`none of ${names.join(", ")} came to lead`);
  }

  #greet(): void {
    for (const name of this.running) {
      const keeper = this.at(name);
      keeper.setContacts(this.names);
      if (keeper.isLeader) keeper.setHosts(this.names);
    }
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
    this.clock.after(
      DELAY,
      () => this.#host(envelope.to).keeper?.receive(envelope),
    );
  }

  async #ask(
    to: string,
    question: Parameters<keepers.Ask>[1],
  ): ReturnType<keepers.Ask> {
    await new Promise<void>((resolve) =>
      void this.clock.after(DELAY, () => resolve())
    );
    const { keeper } = this.#host(to);
    if (keeper === undefined) throw new Error(`${to} is silent`);
    return await keeper.answer(question as Parameters<typeof keeper.answer>[0]);
  }
}

/** Milliseconds in which a leader is elected. */
const ELECTED = 2500;
const MOST_MOVES = 20;
/** Milliseconds in which orders and reads are answered. */
const PATIENCE = 900;
