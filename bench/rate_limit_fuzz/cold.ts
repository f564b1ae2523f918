/** Drawn crashes and returns of endpoints that bear few requests while they are
 * cold, before hosts that start again and are cut off, in virtual time, against
 * the modules that grant requests, as they are. Checked is what a cold endpoint
 * gets in any second, from all hosts, in touch or not.
 * @module */

import * as runtime from "../../src/runtime/mod.ts";
import * as rateLimits from "../../src/rate_limits/mod.ts";
import * as telemetry from "../../src/telemetry/mod.ts";
import * as networks from "../fuzz_world/network.ts";
import * as violations from "./violation.ts";

/** What is played. */
export interface Options {
  readonly seed: number;
  /** Entry hosts; 60 when absent. */
  readonly entries?: number;
  /** A way to break the rule, to show that it is noticed. */
  readonly breakage?: "asks-nobody";
}

/** What endpoints have seen. */
export interface Seen {
  /** Greatest part of what a second allows that a cold endpoint got. */
  readonly most: number;
  /** Requests a second that cold endpoints got on average. */
  readonly used: number;
  readonly refused: number;
  readonly messages: number;
}

/** Milliseconds in which requests come. */
const LENGTH = 20_000;
const COLD = 3000;
const WINDOW = 1000;
const SYNC = 600;
/** What the rule allows beyond the rate that an endpoint bears. */
const OVERAGE = 1.5;
const SLACK = 5;

interface Endpoint {
  readonly id: string;
  /** When it is back after a crash, cold. */
  readonly returns: readonly number[];
  readonly got: number[];
}

interface Entry {
  readonly name: string;
  client: rateLimits.QuotaClient;
  /** Returns of endpoints that it has heard of. */
  knownAt: number;
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
  readonly #cores: string[];
  readonly #entries: Entry[];
  readonly #endpoints: Endpoint[];
  /** Requests a second that a cold endpoint bears, and that come in all. */
  readonly #borne: number;
  readonly #rate: number;
  #refused = 0;

  constructor(options: Options) {
    this.#options = options;
    const random = runtime.createMixedRandom(options.seed);
    this.#random = random;
    this.#network = new networks.Network(this.#clock, random);
    this.#borne = 1 + random.next() * 9;
    this.#rate = 50 + random.below(250);
    const herd = 1000 + random.next() * 8000;
    this.#endpoints = Array.from(
      { length: 6 + random.below(60) },
      (_, number) => ({
        id: `e-${number}`,
        returns: random.next() < 0.4 ? this.#drawReturns(herd) : [],
        got: [],
      }),
    );
    this.#cores = Array.from(
      { length: 3 + random.below(7) },
      (_, number) => `core-${number}`,
    );
    this.#entries = Array.from(
      { length: options.entries ?? 60 },
      (_, number) => ({
        name: `entry-${number}`,
        client: undefined!,
        knownAt: 0,
      }),
    );
  }

  async play(): Promise<Seen> {
    this.#cores.forEach((name) => this.#startCore(name));
    this.#entries.forEach((entry) => {
      this.#startEntry(entry);
      this.#clock.after(this.#random.next() * SYNC, () => this.#sync(entry));
    });
    for (let at = 0; at < LENGTH; at += 1000 / this.#rate) {
      this.#clock.after(at, () => void this.#send());
    }
    for (let count = this.#random.below(8); count > 0; count--) {
      const at = this.#random.next() * LENGTH;
      this.#clock.after(at, () => this.#disturb());
    }
    while (this.#clock.now() < LENGTH && this.#clock.step()) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    return this.#judge();
  }

  /** Many come back with a herd, some by themselves, some time and again. */
  #drawReturns(herd: number): number[] {
    const first = this.#random.next() < 0.6
      ? herd + this.#random.next() * 200
      : this.#random.next() * LENGTH;
    const again = first + 2000 + this.#random.next() * 4000;
    return this.#random.next() < 0.3 ? [first, again] : [first];
  }

  #startCore(name: string): void {
    const server = rateLimits.QuotaServer.create({
      ...this.#common(name),
      recipients: () => [],
    });
    this.#network.join(name, {
      answer: (question) =>
        question.type === "warmup"
          ? server.requestCold(question)
          : { type: "failed", reason: "not-served" },
      hear() {},
    });
  }

  #startEntry(entry: Entry): void {
    entry.knownAt = this.#clock.now();
    entry.client = rateLimits.QuotaClient.create({
      ...this.#common(entry.name),
      controlHosts: () => this.#cores,
      entryHostCount: () => this.#entries.length,
      coldRate: (id) => this.#coldRate(entry, id),
    });
    this.#network.join(entry.name, {
      answer: () => ({ type: "failed", reason: "not-served" }),
      hear() {},
    });
  }

  #common(name: string) {
    return {
      clock: this.#clock,
      logger: telemetry.noLogger,
      metrics: telemetry.noMetrics,
      calls: this.#network.callsOf(name),
    };
  }

  #sync(entry: Entry): void {
    if (!this.#network.isCut(entry.name)) {
      entry.knownAt = this.#clock.now();
      entry.client.mergeLimits([]);
    }
    this.#clock.after(SYNC, () => this.#sync(entry));
  }

  #disturb(): void {
    const isCore = this.#random.next() < 0.5;
    const names = isCore ? this.#cores : this.#entries.map(({ name }) => name);
    const name = names[this.#random.below(names.length)];
    if (this.#random.next() < 0.5) {
      this.#network.setCut(name, true);
      const length = 300 + this.#random.next() * 3000;
      this.#clock.after(length, () => this.#network.setCut(name, false));
    } else if (isCore) this.#startCore(name);
    else this.#startEntry(this.#entries.find((each) => each.name === name)!);
  }

  /** The incarnation of an endpoint that a host knows: it hears of one and that
   * it is cold at the same time. */
  #returnKnown({ knownAt }: Entry, { returns }: Endpoint): number | undefined {
    return returns.findLast((at) => at <= knownAt);
  }

  #coldRate(entry: Entry, id: string): number | undefined {
    const endpoint = this.#endpoints.find((each) => each.id === id)!;
    const at = this.#returnKnown(entry, endpoint);
    const isCold = at !== undefined && this.#clock.now() < at + COLD;
    return isCold ? this.#borne : undefined;
  }

  async #send(): Promise<void> {
    const entry = this.#entries[this.#random.below(this.#entries.length)];
    const { client } = entry;
    const avoided: string[] = [];
    while (avoided.length < this.#endpoints.length) {
      const withheld = new Set([...client.blockedEndpoints, ...avoided]);
      const free = this.#endpoints.filter(({ id }) => !withheld.has(id));
      if (free.length === 0) break;
      const endpoint = this.#pick(entry, free);
      const isAsked = this.#options.breakage !== "asks-nobody";
      const wait = isAsked ? await client.acquire(endpoint.id) : 0;
      if (wait === 0) return this.#call(entry, endpoint);
      avoided.push(endpoint.id);
    }
    this.#refused++;
  }

  /** One that has just come back has nothing to do, and is chosen first. */
  #pick(entry: Entry, free: readonly Endpoint[]): Endpoint {
    const now = this.#clock.now();
    const idle = free.find((each) => {
      const at = this.#returnKnown(entry, each);
      return at !== undefined && now < at + 2 * COLD;
    });
    return idle ?? free[this.#random.below(free.length)];
  }

  /** What is meant for an earlier incarnation is turned away there. */
  #call(entry: Entry, endpoint: Endpoint): void {
    const now = this.#clock.now();
    const current = endpoint.returns.findLast((at) => at <= now);
    if (this.#returnKnown(entry, endpoint) === current) endpoint.got.push(now);
  }

  #judge(): Seen {
    const allowed = this.#borne * OVERAGE + SLACK;
    let most = 0;
    let got = 0;
    let seconds = 0;
    for (const endpoint of this.#endpoints) {
      for (const from of endpoint.returns) {
        const cold = endpoint.got.filter((at) =>
          at >= from && at < from + COLD
        );
        got += cold.length;
        seconds += COLD / 1000;
        for (const first of cold) {
          const count = cold.filter((at) =>
            at >= first && at < first + WINDOW
          ).length;
          most = Math.max(most, count / allowed);
          if (count > allowed) {
            throw new violations.Violation(
              `seed ${this.#options.seed}: ${endpoint.id} got ${count} of ` +
                `${allowed} from ${first}, cold since ${from}`,
            );
          }
        }
      }
    }
    return {
      most,
      used: seconds === 0 ? 0 : got / seconds,
      refused: this.#refused,
      messages: this.#network.sent,
    };
  }
}
