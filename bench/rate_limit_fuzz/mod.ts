/** Drawn limits of endpoints, hosts that come, are cut off and start again, in
 * virtual time, against the modules that keep rate limits, as they are. Checked
 * is what endpoints get in any four seconds.
 * @module */

import * as runtime from "../../src/runtime/mod.ts";
import * as rateLimits from "../../src/rate_limits/mod.ts";
import type * as schema from "../../src/schema/fleet_types.ts";
import * as telemetry from "../../src/telemetry/mod.ts";
import * as networks from "../fuzz_world/network.ts";
import * as violations from "./violation.ts";

/** What is played. */
export interface Options {
  readonly seed: number;
  /** Entry hosts; drawn when absent. */
  readonly entries?: number;
  /** A way to break the rule, to show that it is noticed. */
  readonly breakage?: "asks-nobody";
}

/** What endpoints have seen. */
export interface Seen {
  /** Greatest part of what a window allows that an endpoint got. */
  readonly most: number;
  /** Part of what limits allow that was used while they stood. */
  readonly used: number;
  readonly refused: number;
  readonly messages: number;
}

/** Milliseconds in which requests come. */
const LENGTH = 30_000;
const WINDOW = 4000;
const CONTACT = 3000;
/** Milliseconds after which a host knows by its own answers. */
const KNOWN = 500;
/** Allowed beyond one and a half times the limit. */
const SLACK = 5;
const SYNC = 600;
const GREETING = 400;
const ENTRIES = [2, 6, 8, 40];

/** An endpoint that names limits at times. */
interface Endpoint {
  readonly id: string;
  /** What its answers name, from when on; undefined for none. */
  readonly limits: readonly { at: number; limit?: number }[];
  readonly got: { at: number; isCounted: boolean }[];
}

interface Core {
  readonly name: string;
  server: rateLimits.QuotaServer;
}

interface Entry {
  readonly name: string;
  client: rateLimits.QuotaClient;
  /** When it first heard each endpoint name a limit. */
  readonly heard: Map<string, number>;
  /** Core host that it asked last. */
  source?: Core;
  disturbedAt: number;
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
  readonly #cores: Core[];
  readonly #entries: Entry[];
  readonly #endpoints: Endpoint[];
  readonly #rate: number;
  #refused = 0;

  constructor(options: Options) {
    this.#options = options;
    const random = runtime.createMixedRandom(options.seed);
    this.#random = random;
    this.#network = new networks.Network(this.#clock, random);
    const entries = options.entries ?? ENTRIES[random.below(ENTRIES.length)];
    this.#endpoints = Array.from(
      { length: 4 + random.below(8) },
      (_, number) => ({
        id: `e-${number}`,
        limits: random.next() < 0.4 ? this.#drawLimits() : [],
        got: [],
      }),
    );
    this.#rate = 20 + random.below(180);
    this.#cores = Array.from({ length: 3 + random.below(3) }, (_, number) => ({
      name: `core-${number}`,
      server: undefined!,
    }));
    this.#entries = Array.from({ length: entries }, (_, number) => ({
      name: `entry-${number}`,
      client: undefined!,
      heard: new Map(),
      disturbedAt: -Infinity,
    }));
  }

  async play(): Promise<Seen> {
    this.#cores.forEach((core) => this.#startCore(core));
    this.#entries.forEach((entry) => this.#startEntry(entry));
    this.#cores.forEach((core) => this.#greet(core));
    this.#entries.forEach((entry) => this.#sync(entry));
    for (let at = 0; at < LENGTH; at += 1000 / this.#rate) {
      this.#clock.after(at, () => void this.#send());
    }
    for (let count = this.#random.below(6); count > 0; count--) {
      const at = this.#random.next() * LENGTH;
      this.#clock.after(at, () => this.#disturb());
    }
    while (this.#clock.now() < LENGTH + WINDOW && this.#clock.step()) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    return this.#judge();
  }

  #drawLimits(): { at: number; limit?: number }[] {
    const limits: { at: number; limit?: number }[] = [];
    let at = this.#random.next() * 8000;
    while (at < LENGTH) {
      const isNeedy = this.#random.next() < 0.8;
      const limit = [0, 0.5, 1, 1.5, 4, 10][this.#random.below(6)];
      limits.push(isNeedy ? { at, limit } : { at });
      at += 1000 + this.#random.next() * 9000;
    }
    return limits;
  }

  #common(name: string) {
    return {
      clock: this.#clock,
      logger: telemetry.noLogger,
      metrics: telemetry.noMetrics,
      calls: this.#network.callsOf(name),
    };
  }

  #startCore(core: Core): void {
    const server = rateLimits.QuotaServer.create({
      ...this.#common(core.name),
      recipients: () => [
        ...this.#cores.filter((each) => each !== core).map(({ name }) => name),
        ...this.#entries.filter(({ source }) => source === core)
          .map(({ name }) => name),
      ],
    });
    core.server = server;
    this.#network.join(core.name, {
      answer: (question) =>
        question.type === "quota"
          ? server.request(question)
          : { type: "failed", reason: "not-served" },
      hear: (notice) => {
        if (notice.type === "limits") server.mergeLimits(notice.limits);
        else if (notice.type === "hello") {
          server.mergeLimits(notice.limits ?? []);
        }
      },
    });
  }

  #greet(core: Core): void {
    const limits = core.server.limits;
    core.server.tick();
    const calls = this.#network.callsOf(core.name);
    const hello = {
      type: "hello" as const,
      dataCentre: "",
      cores: [],
      hosts: [],
    };
    for (const { name } of this.#cores) {
      if (name !== core.name && limits.length > 0) {
        calls.cast(name, { ...hello, limits });
      }
    }
    this.#clock.after(GREETING, () => this.#greet(core));
  }

  #startEntry(entry: Entry): void {
    entry.heard.clear();
    entry.client = rateLimits.QuotaClient.create({
      ...this.#common(entry.name),
      controlHosts: () => this.#cores.map(({ name }) => name),
      entryHostCount: () => this.#entries.length,
      coldRate: () => undefined,
    });
    this.#network.join(entry.name, {
      answer: (): schema.Reply => ({ type: "failed", reason: "not-served" }),
      hear: (notice) => {
        if (notice.type === "limits") entry.client.mergeLimits(notice.limits);
      },
    });
  }

  #sync(entry: Entry): void {
    const core = this.#cores[this.#random.below(this.#cores.length)];
    const isCut = [entry.name, core.name].some((name) =>
      this.#network.isCut(name)
    );
    if (!isCut) {
      entry.source = core;
      entry.client.mergeLimits(core.server.limits);
    }
    this.#clock.after(SYNC, () => this.#sync(entry));
  }

  #disturb(): void {
    const now = this.#clock.now();
    const isCore = this.#random.next() < 0.4;
    const hosts = isCore ? this.#cores : this.#entries;
    const host = hosts[this.#random.below(hosts.length)];
    const length = 300 + this.#random.next() * 3000;
    const touched = isCore ? this.#entries : [host as Entry];
    const note = () =>
      touched.forEach((each) => each.disturbedAt = this.#clock.now());
    touched.forEach((each) => each.disturbedAt = now + length);
    if (this.#random.next() < 0.5) {
      this.#network.setCut(host.name, true);
      this.#clock.after(length, () => {
        this.#network.setCut(host.name, false);
        note();
      });
    } else if (isCore) this.#startCore(host as Core);
    else this.#startEntry(host as Entry);
  }

  async #send(): Promise<void> {
    const entry = this.#entries[this.#random.below(this.#entries.length)];
    const { client } = entry;
    const avoided: string[] = [];
    while (avoided.length < this.#endpoints.length) {
      const withheld = new Set([...client.blockedEndpoints, ...avoided]);
      const free = this.#endpoints.filter(({ id }) => !withheld.has(id));
      if (free.length === 0) break;
      const endpoint = free.find(({ id }) => client.needsProbe(id)) ??
        free[this.#random.below(free.length)];
      const isAsked = this.#options.breakage !== "asks-nobody";
      const wait = isAsked ? await client.acquire(endpoint.id) : 0;
      if (wait === 0) return this.#call(entry, endpoint);
      avoided.push(endpoint.id);
    }
    this.#refused++;
  }

  #call(entry: Entry, endpoint: Endpoint): void {
    const now = this.#clock.now();
    const heard = entry.heard.get(endpoint.id) ?? Infinity;
    const isInTouch = now - entry.disturbedAt > CONTACT;
    const isCounted = isInTouch && now - heard >= KNOWN;
    endpoint.got.push({ at: now, isCounted });
    const { client } = entry;
    this.#clock.after(5 + this.#random.next() * 300, () => {
      const limit = limitAt(endpoint, this.#clock.now());
      if (limit !== undefined && !entry.heard.has(endpoint.id)) {
        entry.heard.set(endpoint.id, this.#clock.now());
      }
      if (entry.client === client) client.recordLimit(endpoint.id, limit);
    });
  }

  #judge(): Seen {
    let most = 0;
    let allowedInAll = 0;
    let got = 0;
    for (const endpoint of this.#endpoints) {
      const first = endpoint.limits.find(({ limit }) => limit !== undefined);
      if (first === undefined) continue;
      const times = endpoint.got.filter(({ isCounted }) => isCounted)
        .map(({ at }) => at);
      for (const from of times) {
        if (from < first.at + CONTACT) continue;
        const to = from + WINDOW;
        // It counts once hosts can have heard it: also one that is named again,
        // before any answer has said so.
        const named = namedWithin(endpoint, from - KNOWN, to);
        if (named.includes(undefined)) continue;
        const limit = Math.max(...named as number[]);
        const allowed = 1.5 * limit * WINDOW / 1000 + SLACK;
        const count = times.filter((at) => at >= from && at < from + WINDOW)
          .length;
        most = Math.max(most, count / allowed);
        if (count > allowed) {
          throw new violations.Violation(
            `seed ${this.#options.seed}: ${endpoint.id} got ${count} of ` +
              `${allowed} from ${from}`,
          );
        }
      }
      for (let at = first.at + CONTACT; at + 1000 < LENGTH; at += 1000) {
        const named = namedWithin(endpoint, at, at + 1000);
        if (named.includes(undefined)) continue;
        allowedInAll += Math.min(...named as number[]);
        got += endpoint.got.filter((each) =>
          each.at >= at && each.at < at + 1000
        ).length;
      }
    }
    return {
      most,
      used: allowedInAll === 0 ? 1 : got / allowedInAll,
      refused: this.#refused,
      messages: this.#network.sent,
    };
  }
}

function limitAt({ limits }: Endpoint, now: number): number | undefined {
  return limits.findLast(({ at }) => at <= now)?.limit;
}

/** What an endpoint's answers name from one time to another. */
function namedWithin(
  endpoint: Endpoint,
  from: number,
  to: number,
): (number | undefined)[] {
  const changed = endpoint.limits.filter(({ at }) => at > from && at < to);
  return [limitAt(endpoint, from), ...changed.map(({ limit }) => limit)];
}
