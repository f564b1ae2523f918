/** Drawn schedules of brittle endpoints before hosts that are cut off or start
 * again, in virtual time, with the modules that grant slots. Counted is how often
 * endpoints fall: each falls when it has to reject too many calls in a second.
 * @module */

import * as concurrency from "../../src/concurrency/mod.ts";
import * as runtime from "../../src/runtime/mod.ts";
import * as telemetry from "../../src/telemetry/mod.ts";
import * as networks from "../fuzz_world/network.ts";

const SPAN_MS = 20_000;
/** Time from the start from which falls count. */
const PROPAGATION_MS = 3000;
const MAX_REJECTIONS = 2;
/** Calls that wait at an endpoint beside those that run. */
const QUEUE_LENGTH = 1;
const DOWN_MS = 1500;
/** Times that a request looks for a slot. */
const MAX_TRIES = 4;
const RETRY_MS = 60;

/** Parameters of a schedule. */
export interface Options {
  readonly seed: number;
  /** Entry hosts; drawn when absent. */
  readonly entries?: number;
  /** A way to break the rule, to show that it is noticed. */
  readonly breakage?: "asks-nobody";
}

/** What a schedule has shown. */
export interface Seen {
  readonly falls: number;
  readonly allowed: number;
  /** Part of the calls that the endpoints could run that they ran. */
  readonly used: number;
}

interface Endpoint {
  readonly id: string;
  running: number;
  readonly rejections: number[];
  readonly falls: number[];
  incarnation: number;
  upAt: number;
}

interface Entry {
  readonly name: string;
  client: concurrency.SlotClient;
}

/** Plays a schedule; rejects if endpoints fall too often. */
export async function runSchedule(options: Options): Promise<Seen> {
  return await new World(options).play();
}

class World {
  readonly #options: Options;
  readonly #clock = new runtime.FakeClock();
  readonly #random: runtime.Random;
  readonly #network: networks.Network;
  readonly #controlHosts: string[];
  readonly #entries: Entry[];
  readonly #endpoints: Endpoint[];
  readonly #slots: number;
  readonly #workMs: number;
  readonly #load: number;
  #ran = 0;

  constructor(options: Options) {
    this.#options = options;
    const random = runtime.createMixedRandom(options.seed);
    this.#random = random;
    this.#network = new networks.Network(this.#clock, random, {
      isOrdered: true,
    });
    this.#slots = 1 + random.below(8);
    this.#workMs = 200 + random.below(500);
    this.#load = 0.6 + random.next() * 1.4;
    this.#endpoints = Array.from(
      { length: 3 + random.below(15) },
      (_, number) => ({
        id: `e-${number}`,
        running: 0,
        rejections: [],
        falls: [],
        incarnation: 0,
        upAt: 0,
      }),
    );
    this.#controlHosts = Array.from(
      { length: 3 + random.below(5) },
      (_, number) => `control-${number}`,
    );
    this.#entries = Array.from(
      { length: options.entries ?? 5 + random.below(12) },
      (_, number) => ({ name: `entry-${number}`, client: undefined! }),
    );
  }

  async play(): Promise<Seen> {
    this.#controlHosts.forEach((name) => this.#startControl(name));
    this.#entries.forEach((entry) => this.#startEntry(entry));
    const perSecond = this.#load * this.#capacity;
    for (let at = 0; at < SPAN_MS; at += 1000 / perSecond) {
      this.#clock.after(at, () => void this.#request());
    }
    for (let count = this.#random.below(6); count > 0; count--) {
      const at = this.#random.next() * SPAN_MS;
      this.#clock.after(at, () => this.#disturb());
    }
    while (this.#clock.now() < SPAN_MS && this.#clock.step()) {
      for (let turn = 0; turn < 8; turn++) await Promise.resolve();
    }
    return this.#judge();
  }

  /** Calls a second that all endpoints run. */
  get #capacity(): number {
    return this.#endpoints.length * this.#slots * 1000 / this.#workMs;
  }

  #judge(): Seen {
    const falls = this.#endpoints.flatMap((each) => each.falls)
      .filter((at) => at > PROPAGATION_MS).length;
    const allowed = 2 + this.#endpoints.length / 10;
    const could = Math.min(1, this.#load) * this.#capacity * SPAN_MS / 1000;
    const used = this.#ran / could;
    if (falls > allowed) {
      throw new Error(`seed ${this.#options.seed}: ${falls} of ${allowed}`);
    }
    return { falls, allowed, used };
  }

  #startControl(name: string): void {
    const server = concurrency.SlotServer.create({
      clock: this.#clock,
      metrics: telemetry.noMetrics,
    });
    this.#network.join(name, {
      answer: (question, from) =>
        question.type === "slot"
          ? server.request(question, from)
          : { type: "failed", reason: "not-served" },
      hear(notice, from) {
        if (notice.type === "slots") server.record(notice, from);
      },
    });
  }

  #startEntry(entry: Entry): void {
    const isBroken = this.#options.breakage === "asks-nobody";
    entry.client = concurrency.SlotClient.create({
      self: entry.name,
      clock: this.#clock,
      logger: telemetry.noLogger,
      metrics: telemetry.noMetrics,
      calls: this.#network.callsOf(entry.name),
      controlHosts: () => this.#controlHosts,
      entryHosts: () => this.#entries.map(({ name }) => name),
      slots: () => isBroken ? undefined : this.#slots,
    });
    this.#network.join(entry.name, {
      answer: () => ({ type: "failed", reason: "not-served" }),
      hear() {},
    });
  }

  /** A request at some host: it tries endpoints until one has a slot for it. */
  async #request(): Promise<void> {
    const entry = this.#pick(this.#entries);
    const { client } = entry;
    for (let turn = 0; turn < MAX_TRIES; turn++) {
      const blocked = client.blockedEndpoints;
      const free = this.#endpoints.filter(({ id, upAt }) =>
        upAt <= this.#clock.now() && !blocked.includes(id)
      );
      const endpoint = free.length > 0 ? this.#pick(free) : undefined;
      if (endpoint !== undefined && await client.acquire(endpoint.id) === 0) {
        return this.#call(client, endpoint);
      }
      await this.#wait(RETRY_MS);
    }
  }

  async #call(
    client: concurrency.SlotClient,
    endpoint: Endpoint,
  ): Promise<void> {
    client.begin(endpoint.id);
    const { incarnation } = endpoint;
    if (endpoint.upAt > this.#clock.now()) return client.end(endpoint.id);
    if (endpoint.running >= this.#slots + QUEUE_LENGTH) {
      this.#reject(endpoint);
      return client.end(endpoint.id);
    }
    endpoint.running++;
    const work = this.#workMs * (0.5 + this.#random.next());
    await this.#wait(work);
    if (incarnation === endpoint.incarnation) {
      endpoint.running--;
      this.#ran++;
    }
    client.end(endpoint.id);
  }

  #reject(endpoint: Endpoint): void {
    const now = this.#clock.now();
    endpoint.rejections.push(now);
    const recent = endpoint.rejections.filter((at) => at > now - 1000);
    if (recent.length <= MAX_REJECTIONS) return;
    endpoint.falls.push(now);
    endpoint.running = 0;
    endpoint.incarnation++;
    endpoint.rejections.length = 0;
    endpoint.upAt = now + DOWN_MS;
  }

  /** Cuts a host off for a while, or starts one again. */
  #disturb(): void {
    const control = this.#pick(this.#controlHosts);
    const entry = this.#pick(this.#entries);
    const kinds = [
      () => this.#cut(control),
      () => this.#cut(entry.name),
      () => this.#startControl(control),
    ];
    this.#pick(kinds)();
  }

  #cut(name: string): void {
    this.#network.setCut(name, true);
    const length = 500 + this.#random.next() * 4000;
    this.#clock.after(length, () => this.#network.setCut(name, false));
  }

  #pick<T>(values: readonly T[]): T {
    return values[this.#random.below(values.length)];
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) =>
      void this.#clock.after(ms, () => resolve())
    );
  }
}
