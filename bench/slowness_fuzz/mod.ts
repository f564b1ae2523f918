/** Entry hosts and control hosts that share the slowness of endpoints, are cut
 * off and start again, some of them of the previous release, in virtual time,
 * against the modules that keep slowness, as they are. Checked is that no
 * observation counts twice, and that all hosts know all speeds once the
 * disturbances are over.
 * @module */

import * as runtime from "../../src/runtime/mod.ts";
import * as roster from "../../src/endpoints/mod.ts";
import * as fixture from "../../src/endpoints/fixture.ts";
import * as gateway from "../../src/gateway/mod.ts";
import * as performance from "../../src/performance/mod.ts";
import type * as schema from "../../src/schema/fleet_types.ts";
import * as telemetry from "../../src/telemetry/mod.ts";
import * as networks from "../fuzz_world/network.ts";

/** What is played. */
export interface Options {
  readonly seed: number;
  /** Entry hosts; drawn when absent. */
  readonly entries?: number;
  /** A fault, to show that it is noticed: control hosts forward what others
   * forward to them, or entry hosts drop the estimates of replies. */
  readonly breakage?: "forwards-all" | "adopts-nothing";
}

/** What came of a schedule. */
export interface Seen {
  /** Hosts whose estimates were compared with the true speeds. */
  readonly checked: number;
  /** Greatest factor between an estimate and the truth. */
  readonly worst: number;
  readonly messages: number;
}

/** Something that must always hold does not. */
export class Violation extends Error {
  override readonly name = "Violation";
}

const SYNC_MS = 600;
const HELLO_MS = 400;
const TIMEOUT_MS = 900;
/** Time of disturbances, and of the calls after them: 50 calls to each endpoint
 * at least, so that estimates scatter by 6 %. */
const DISTURBED_MS = 20_000;
const CALM_MS = 20_000;
const WORK_MS = 200;
/** Greatest allowed factor between two estimates beyond the true one. The prior
 * draws the largest true one, 2.7, by 1.11. */
const MAX_ERROR = 1.4;
const ENTRIES = [2, 8, 24, 80];
const SERVICE = "s";

interface Endpoint {
  readonly name: string;
  born: number;
  slowness: number;
}

interface Core {
  readonly name: string;
  readonly isPrevious: boolean;
  epoch: number;
  table: performance.SlownessTable;
}

interface Entry {
  readonly name: string;
  readonly isPrevious: boolean;
  pool: gateway.EndpointPool;
  exchange: performance.SlownessExchange;
  source?: Core;
  epoch: string;
}

/** Plays a schedule; throws a `Violation`. */
export async function runSchedule(options: Options): Promise<Seen> {
  return await new World(options).play();
}

class World {
  readonly #options: Options;
  readonly #clock = new runtime.FakeClock();
  readonly #random: runtime.Random;
  readonly #network: networks.Network;
  readonly #endpoints: Endpoint[];
  readonly #cores: Core[];
  readonly #entries: Entry[];
  /** Observations that entry hosts have made, by incarnation. */
  readonly #observed = new Map<string, number>();

  constructor(options: Options) {
    this.#options = options;
    const random = runtime.createMixedRandom(options.seed);
    this.#random = random;
    this.#network = new networks.Network(this.#clock, random);
    this.#endpoints = Array.from({ length: 3 + random.below(2) }, (_, pos) => ({
      name: `e${pos}`,
      born: 1,
      slowness: this.#drawSlowness(),
    }));
    this.#cores = Array.from({ length: 3 + random.below(3) }, (_, pos) => ({
      name: `core-${pos}`,
      isPrevious: pos > 0 && random.next() < 0.2,
      epoch: 0,
      table: performance.SlownessTable.create(),
    }));
    const count = options.entries ?? ENTRIES[random.below(ENTRIES.length)];
    this.#entries = Array.from({ length: count }, (_, pos) => ({
      name: `entry-${pos}`,
      isPrevious: random.next() < 0.2,
      ...this.#createEntry(),
    }));
  }

  async play(): Promise<Seen> {
    this.#cores.forEach((core) => this.#joinCore(core));
    this.#entries.forEach((entry) => this.#joinEntry(entry));
    this.#cores.forEach((core) => this.#greet(core));
    this.#entries.forEach((entry) =>
      this.#clock.after(
        this.#random.next() * SYNC_MS,
        () => void this.#sync(entry),
      )
    );
    const end = DISTURBED_MS + CALM_MS;
    const interval = 1000 / (30 + this.#random.below(100));
    for (let at = 0; at < end; at += interval) {
      this.#clock.after(at, () => this.#call());
    }
    for (let count = this.#random.below(8); count > 0; count--) {
      const at = this.#random.next() * (DISTURBED_MS - 3300);
      this.#clock.after(at, () => this.#disturb());
    }
    while (this.#clock.now() < end && this.#clock.step()) {
      await new Promise((resolve) => setImmediate(resolve));
      this.#checkCounts();
    }
    return this.#judge();
  }

  #drawSlowness(): number {
    return 1 / [0.6, 1, 1.6][this.#random.below(3)];
  }

  #createEntry(): Pick<Entry, "pool" | "exchange" | "epoch"> {
    const pool = gateway.EndpointPool.create();
    this.#update(pool);
    const exchange = performance.SlownessExchange.create({
      clock: this.#clock,
      logger: telemetry.noLogger,
      metrics: telemetry.noMetrics,
      performances: () => pool.performances,
      identityOf: (endpoint) => pool.get(endpoint)?.identity,
      isShared: () => true,
    });
    return { pool, exchange, epoch: "" };
  }

  #update(pool: gateway.EndpointPool): void {
    const entries = this.#endpoints.map(({ name, born }): roster.RosterEntry =>
      fixture.entry({ id: name, address: name, born, service: SERVICE })
    );
    pool.update(entries, () => undefined);
  }

  #joinCore(core: Core): void {
    this.#network.join(core.name, {
      answer: (question) => this.#answer(core, question),
      hear: (notice) => {
        if (core.isPrevious || notice.type !== "hello") return;
        const { slowness = [] } = notice;
        if (this.#options.breakage === "forwards-all") {
          core.table.record(slowness, this.#clock.now());
        } else core.table.merge(slowness, this.#clock.now());
      },
    });
  }

  #joinEntry({ name }: Entry): void {
    this.#network.join(name, {
      answer: () => ({ type: "failed", reason: "not-served" }),
      hear() {},
    });
  }

  #answer(core: Core, question: schema.Question): schema.Reply {
    if (question.type !== "sync") {
      return { type: "failed", reason: "not-served" };
    }
    const now = this.#clock.now();
    const epoch = `${core.epoch}`;
    const reply = {
      type: "synced" as const,
      confirmed: true,
      version: 1,
      epoch,
      revision: 0,
      sightings: [],
      mark: "",
      cores: [],
    };
    if (core.isPrevious) return reply;
    core.table.record(question.slowness ?? [], now);
    const isAll = question.epoch !== epoch;
    const slowness = core.table.read({ now, isAll });
    return slowness.length > 0 ? { ...reply, slowness } : reply;
  }

  #greet(core: Core): void {
    core.table.expire(this.#clock.now());
    const slowness = core.table.takeForwards();
    const hello = {
      type: "hello" as const,
      dataCentre: "",
      cores: [],
      hosts: [],
      ...(slowness.length > 0 && { slowness }),
    };
    for (const { name } of this.#cores) {
      if (name !== core.name) {
        this.#network.callsOf(core.name).cast(name, hello);
      }
    }
    this.#clock.after(HELLO_MS, () => this.#greet(core));
  }

  async #sync(entry: Entry): Promise<void> {
    this.#clock.after(SYNC_MS, () => void this.#sync(entry));
    const { exchange } = entry;
    this.#update(entry.pool);
    const core = entry.source ??
      this.#cores[this.#random.below(this.#cores.length)];
    const slowness = entry.isPrevious ? [] : exchange.takeReports();
    const question: schema.SyncQuestion = {
      type: "sync",
      version: 1,
      epoch: entry.source === undefined ? "" : entry.epoch,
      revision: 0,
      mark: "",
      host: { host: entry.name, dataCentre: "", ready: true, age: 0 },
      ...(slowness.length > 0 && { slowness }),
    };
    try {
      const reply = await this.#network.callsOf(entry.name)
        .ask(core.name, question, { timeout: TIMEOUT_MS });
      if (reply.type !== "synced" || entry.exchange !== exchange) return;
      entry.source = core;
      entry.epoch = reply.epoch;
      const isAdopted = this.#options.breakage !== "adopts-nothing" &&
        !entry.isPrevious;
      if (isAdopted) exchange.adopt(reply.slowness ?? []);
    } catch {
      entry.source = undefined;
    }
  }

  /** Lets a host call an endpoint and observe how long that takes. */
  #call(): void {
    const random = this.#random;
    const entry = this.#entries[random.below(this.#entries.length)];
    const { pool } = entry;
    const endpoints = pool.endpointsOf(SERVICE);
    const target = endpoints[random.below(endpoints.length)];
    const { id, name } = target.identity;
    const called = this.#endpointNamed(name);
    const { born, slowness } = called;
    const duration = WORK_MS * slowness * (0.5 + random.next());
    this.#clock.after(duration, () => {
      // Calls to an endpoint that has started again fail.
      const isAnswered = called.born === born && id === `${name}~${born}`;
      const isSame = entry.pool === pool && pool.get(id) === target;
      if (!isAnswered || !isSame || entry.isPrevious) return;
      this.#observed.set(id, (this.#observed.get(id) ?? 0) + 1);
      target.recordCallSlowness(duration, {
        wait: 0,
        now: this.#clock.now(),
      });
    });
  }

  #endpointNamed(name: string): Endpoint {
    return this.#endpoints.find((each) => each.name === name)!;
  }

  #disturb(): void {
    const kind = this.#random.below(4);
    if (kind === 0) this.#restartEndpoint();
    else if (kind === 1) this.#restartEntry();
    else if (kind === 2) this.#restartCore();
    else this.#cut();
  }

  #restartEndpoint(): void {
    const endpoint = this.#draw(this.#endpoints);
    endpoint.born = Math.ceil(this.#clock.now()) + 1;
    endpoint.slowness = this.#drawSlowness();
  }

  #restartEntry(): void {
    const entry = this.#draw(this.#entries);
    Object.assign(entry, { ...this.#createEntry(), source: undefined });
    this.#joinEntry(entry);
  }

  #restartCore(): void {
    const core = this.#draw(this.#cores);
    core.epoch++;
    core.table = performance.SlownessTable.create();
    this.#joinCore(core);
  }

  #cut(): void {
    const hosts: readonly { readonly name: string }[] =
      this.#random.next() < 0.4 ? this.#cores : this.#entries;
    const { name } = this.#draw(hosts);
    this.#network.setCut(name, true);
    this.#clock.after(300 + this.#random.next() * 3000, () => {
      this.#network.setCut(name, false);
    });
  }

  #draw<T>(items: readonly T[]): T {
    return items[this.#random.below(items.length)];
  }

  #checkCounts(): void {
    const now = this.#clock.now();
    for (const { name, table } of this.#cores) {
      for (const { endpoint, count } of table.read({ now, isAll: true })) {
        const observed = this.#observed.get(endpoint) ?? 0;
        if (count <= observed) continue;
        throw new Violation(
          `seed ${this.#options.seed}: ${name} counts ${count} of ` +
            `${observed} observations of ${endpoint} at ${now}`,
        );
      }
    }
  }

  #judge(): Seen {
    const judged = this.#entries.filter(({ isPrevious, source }) =>
      !isPrevious && source !== undefined && !source.isPrevious
    );
    const errors = judged.map((entry) => this.#errorOf(entry));
    return {
      checked: judged.length,
      worst: Math.max(1, ...errors),
      messages: this.#network.sent,
    };
  }

  /** Greatest factor by which two endpoints' estimates differ from their
   * speeds. */
  #errorOf({ name, pool }: Entry): number {
    const now = this.#clock.now();
    const service = pool.performances.get(SERVICE)!;
    const speeds = this.#endpoints.map(({ slowness }) => slowness);
    // In between, both are right: the bound is 1.5, and estimates scatter.
    const factor = Math.max(...speeds) / Math.min(...speeds);
    const isWrong = service.isUneven(now) ? factor === 1 : factor > 2;
    if (isWrong) {
      throw new Violation(
        `seed ${this.#options.seed}: ${name} takes ${speeds} for ` +
          `${service.isUneven(now) ? "uneven" : "even"}`,
      );
    }
    if (!service.isUneven(now)) return 1;
    const deviations = pool.endpointsOf(SERVICE).map((each) => {
      const { slowness } = this.#endpointNamed(each.identity.name);
      return each.lastingSlowness(now) / slowness;
    });
    const error = Math.max(...deviations) / Math.min(...deviations);
    if (error > MAX_ERROR) {
      throw new Violation(
        `seed ${this.#options.seed}: ${name} is wrong by ${error}`,
      );
    }
    return error;
  }
}
