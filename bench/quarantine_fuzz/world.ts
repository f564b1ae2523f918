/** Plays a schedule and checks what endpoints and callers have seen.
 * @module */

import * as quarantineFixture from "../../src/quarantine/fixture.ts";
import * as quarantine from "../../src/quarantine/mod.ts";
import * as runtime from "../../src/runtime/mod.ts";
import type * as schema from "../../src/schema/fleet_types.ts";
import * as telemetry from "../../src/telemetry/mod.ts";
import * as endpoints from "./endpoint.ts";
import * as networks from "../fuzz_world/network.ts";
import * as schedules from "./schedule.ts";

/** Something that must always hold does not. */
export class Violation extends Error {
  override readonly name = "Violation";
}

/** What is played, and how. */
export interface Options {
  readonly seed: number;
  /** Entry hosts; drawn when absent. */
  readonly entries?: number;
  /** Whether a poison request comes no more once it has ended three endpoints:
   * what others are served then is the most that can be asked. */
  readonly isIdeal?: boolean;
  /** A way to break the rule, to show that it is noticed. */
  readonly breakage?:
    | "remembers-nothing"
    | "forgets-answers"
    | "believes-breaks";
}

/** What endpoints and callers have seen. */
export interface Seen {
  /** Endpoints that each poison request has ended. */
  readonly crashes: readonly number[];
  /** Times that one was sent once it should be known everywhere. */
  readonly late: readonly number[];
  /** Part of the other requests that were served. */
  readonly served: number;
  /** Most times that a request of another was kept back. */
  readonly refused: number;
  readonly messages: number;
}

/** Milliseconds within which all that are in touch know a poison request. */
const CONTACT = 3000;
/** Times that endpoints may get one after that. */
const MOST_LATE = 3;
/** Ends after which all are to know a poison request, and a poison part. */
const KNOWN_FROM = { request: 3, part: 5 };
/** Times that a request of another may be kept back. */
const MOST_REFUSED = 3;
/** Part of the other requests that may be served less, in the mean of many runs,
 * than if poison requests came no more after their third crash. */
const LESS_SERVED = 0.01;
/** Endpoints that may run a request. */
const ATTEMPTS = 2;
const HEARTBEAT = 1200;
const SYNC = 600;
const TICK = 400;
/** Milliseconds of a run, a request waits for an answer, an endpoint is away. */
const RUN = [100, 1200];
const PATIENCE = 3000;
const AWAY = [1000, 4000];
/** Times that a caller comes again after it was kept back. */
const RETURNS = 4;
/** Part of the other requests that have one content. */
const ALIKE = 0.3;
/** Parts that other requests share: all of them the first, which poison parts
 * come with too, and each with its probability the others. */
const SHARED_PARTS = [["common", 1], ["popular", 0.5], ["rare", 0.05]] as const;
/** Milliseconds after which what was sent has ended. */
const REST = 8000;

/** Plays a schedule; throws a `Violation`. */
export async function runSchedule(options: Options): Promise<Seen> {
  return await new World(options).play();
}

/** Plays schedules, each also as if its poison requests came no more after
 * their third crash; throws a `Violation` where others were served less. */
export async function runAll(all: readonly Options[]): Promise<Seen[]> {
  const runs: Seen[] = [];
  let lost = 0;
  for (const options of all) {
    const { seed, entries } = options;
    const ideal = await new World({ seed, entries, isIdeal: true }).play();
    const seen = await new World(options).play();
    lost += ideal.served - seen.served;
    runs.push(seen);
  }
  const mean = lost / all.length;
  if (mean > LESS_SERVED) throw new Violation(`${mean} of others not served`);
  return runs;
}

interface Core {
  readonly name: string;
  coordinator?: quarantine.Coordinator;
  followers: Map<string, number>;
  epoch: number;
}

interface Entry {
  readonly name: string;
  guard?: quarantine.Guard;
  source?: Core;
  epoch: number;
  revision: number;
}

interface Request {
  readonly name: string;
  readonly identity: quarantine.Identity;
  readonly poison?: schedules.Poison;
}

/** Identity of a request that has a poison part, or is the poison itself. */
function identityOf(
  { name, isPart }: schedules.Poison,
  at: number,
): quarantine.Identity {
  return isPart
    ? quarantineFixture.identity(`${name} at ${at}`, ["common", name])
    : quarantineFixture.identity(name, ["common"]);
}

/** Name of the part that turns bad. */
const TURNED = "turned";

function turnedPoison(
  { at, fuse }: schedules.TurningPart,
): schedules.Poison {
  return { name: TURNED, isPart: true, from: at, pause: 0, fuse };
}

class World {
  readonly #options: Options;
  readonly #schedule: schedules.Schedule;
  readonly #clock = new runtime.FakeClock();
  readonly #random: runtime.Random;
  /** Draws parts of prompts. */
  readonly #partRandom: runtime.Random;
  readonly #network: networks.Network;
  readonly #endpoints: endpoints.Endpoint[];
  readonly #cores: Core[];
  readonly #entries: Entry[] = [];
  /** When each host, or any core host, was last disturbed. */
  readonly #disturbed = new Map<string, number>();
  readonly #crashes = new Map<string, number[]>();
  readonly #sent = new Map<string, { at: number; isInTouch: boolean }[]>();
  readonly #refused = new Map<string, number>();
  #others = 0;
  #served = 0;

  constructor(options: Options) {
    this.#options = options;
    const { seed, entries } = options;
    this.#schedule = schedules.draw(seed, entries);
    this.#random = runtime.createMixedRandom(seed + 1_000_003);
    this.#partRandom = runtime.createMixedRandom(seed + 2_000_003);
    this.#network = new networks.Network(this.#clock, this.#random);
    this.#endpoints = Array.from(
      { length: this.#schedule.endpoints },
      (_, number) => new endpoints.Endpoint(`e-${number}`, this.#clock),
    );
    this.#cores = Array.from({ length: this.#schedule.cores }, (_, number) => ({
      name: `core-${number}`,
      followers: new Map(),
      epoch: 0,
    }));
  }

  async play(): Promise<Seen> {
    this.#cores.forEach((core) => this.#startCore(core));
    for (let count = 0; count < this.#schedule.entries; count++) {
      this.#addEntry();
    }
    this.#endpoints.forEach((each) => this.#beat(each));
    this.#poisons.forEach(({ name }) => {
      this.#crashes.set(name, []);
      this.#sent.set(name, []);
    });
    this.#schedule.poisons.forEach((poison) => this.#come(poison));
    this.#schedule.troubles.forEach((trouble) => this.#plan(trouble));
    this.#sendOthers();
    const end = schedules.LENGTH + REST;
    while (this.#clock.now() < end && this.#clock.step()) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    return this.#judge();
  }

  get #poisons(): readonly schedules.Poison[] {
    const { poisons, turning } = this.#schedule;
    return turning === undefined
      ? poisons
      : [...poisons, turnedPoison(turning)];
  }

  #startCore(core: Core): void {
    core.epoch++;
    const life = core.epoch;
    core.followers = new Map();
    const coordinator = quarantine.Coordinator.create({
      clock: this.#clock,
      logger: telemetry.noLogger,
      metrics: telemetry.noMetrics,
      calls: this.#network.callsOf(core.name),
      heartbeat: HEARTBEAT,
      controlHosts: () =>
        this.#cores.filter((each) => each !== core && each.coordinator)
          .map(({ name }) => name),
      entryHosts: () => [...core.followers.keys()],
      lastHeartbeatAt: (key) =>
        this.#options.breakage === "believes-breaks"
          ? undefined
          : this.#endpoints.find((each) => each.key === key)?.heardAt,
    });
    core.coordinator = coordinator;
    this.#network.join(core.name, {
      answer: (question, from) => this.#answer(core, { question, from }),
      hear: (notice, from) => {
        if (notice.type === "suspects") coordinator.merge(notice.suspects);
        else if (notice.type === "lease-over") {
          coordinator.endLease(notice, from);
        }
      },
    });
    this.#cores.forEach((other) => {
      if (other !== core) other.coordinator?.sendAll(core.name);
    });
    const tick = () => {
      if (core.epoch !== life || core.coordinator === undefined) return;
      for (const [name, at] of core.followers) {
        if (this.#clock.now() - at > 3000) core.followers.delete(name);
      }
      coordinator.tick();
      this.#clock.after(TICK, tick);
    };
    this.#clock.after(this.#random.next() * TICK, tick);
  }

  #answer(
    { coordinator }: Core,
    { question, from }: { question: schema.Question; from: string },
  ): schema.Reply {
    if (question.type === "lease") {
      return coordinator!.requestLease(question, from);
    }
    if (question.type !== "suspects") {
      return { type: "failed", reason: "not-served" };
    }
    coordinator!.merge(question.suspects);
    return { type: "noted" };
  }

  #addEntry(): void {
    const name = `entry-${this.#entries.length}`;
    const entry: Entry = { name, epoch: 0, revision: 0 };
    this.#entries.push(entry);
    this.#startEntry(entry);
    const sync = () => {
      this.#sync(entry);
      this.#clock.after(SYNC, sync);
    };
    this.#clock.after(this.#random.next() * SYNC, sync);
  }

  #startEntry(entry: Entry): void {
    entry.source = undefined;
    entry.guard = quarantine.Guard.create({
      clock: this.#clock,
      logger: telemetry.noLogger,
      metrics: telemetry.noMetrics,
      calls: this.#network.callsOf(entry.name),
      controlHosts: () => {
        const running = this.#cores.filter((core) => core.coordinator)
          .map(({ name }) => name);
        const first = entry.source?.name;
        return first === undefined
          ? running
          : [first, ...running.filter((name) => name !== first)];
      },
    });
    const { guard } = entry;
    this.#network.join(entry.name, {
      answer: () => ({ type: "failed", reason: "not-served" }),
      hear: (notice) => {
        if (notice.type === "suspects") guard.merge(notice.suspects);
      },
    });
    this.#sync(entry);
  }

  /** Follows a core host as a host does that asks for what is new. */
  #sync(entry: Entry): void {
    const { guard } = entry;
    if (guard === undefined || this.#network.isCut(entry.name)) return;
    const reached = this.#cores.filter(({ name, coordinator }) =>
      coordinator !== undefined && !this.#network.isCut(name)
    );
    const isKept = entry.source !== undefined &&
      reached.includes(entry.source) && entry.source.epoch === entry.epoch;
    if (!isKept) {
      if (reached.length === 0) return;
      entry.source = reached[this.#random.below(reached.length)];
      entry.epoch = entry.source.epoch;
      entry.revision = 0;
    }
    const source = entry.source!;
    source.followers.set(entry.name, this.#clock.now());
    const { suspectRevision, suspects } = source.coordinator!.changesSince(
      entry.revision,
    );
    entry.revision = suspectRevision;
    guard.merge(suspects);
    if (!isKept) void guard.sendAll(source.name);
  }

  #beat(endpoint: endpoints.Endpoint): void {
    if (endpoint.isUp) endpoint.heardAt = this.#clock.now();
    this.#clock.after(HEARTBEAT, () => this.#beat(endpoint));
  }

  #come(poison: schedules.Poison): void {
    const { from, pause, name } = poison;
    for (let at = from; at < schedules.LENGTH; at += pause) {
      this.#clock.after(at, () => {
        if (this.#isKnownToIdeal(name)) return;
        void this.#serve({ name, identity: identityOf(poison, at), poison });
      });
    }
  }

  #sendOthers(): void {
    const { rate } = this.#schedule;
    for (let at = 0; at < schedules.LENGTH; at += 1000 / rate) {
      const isAlike = this.#random.next() < ALIKE;
      const name = isAlike ? "alike" : `other-${at}`;
      const parts = SHARED_PARTS.filter(([, probability]) =>
        this.#partRandom.next() < probability
      ).map(([part]) => part);
      const identity = quarantineFixture.identity(name, parts);
      this.#clock.after(at, () => void this.#serveOther({ name, identity }));
    }
  }

  async #serveOther(request: Request): Promise<void> {
    this.#others++;
    for (let turn = 0; turn <= RETURNS; turn++) {
      if (this.#hasTurned(request)) return await this.#serveTurned(request);
      const outcome = await this.#serve(request);
      if (outcome === "served") this.#served++;
      if (typeof outcome === "string") return;
      const { name } = request;
      if (name !== "alike") {
        const count = this.#refused.get(name) ?? 0;
        this.#refused.set(name, count + 1);
      }
      await this.#pause(Math.min(outcome.wait, PATIENCE));
    }
  }

  /** Serves a request with a part that has turned bad: it is no longer one that
   * is to be served. */
  async #serveTurned(request: Request): Promise<void> {
    this.#others--;
    if (this.#isKnownToIdeal(TURNED)) return;
    const poison = turnedPoison(this.#schedule.turning!);
    await this.#serve({ ...request, name: TURNED, poison });
  }

  #hasTurned({ identity }: Request): boolean {
    const { turning } = this.#schedule;
    return turning !== undefined && this.#clock.now() >= turning.at &&
      identity.parts.includes(quarantine.fingerprints.ofPart(turning.part));
  }

  /** Whether a poison comes no more in an ideal run. */
  #isKnownToIdeal(name: string): boolean {
    const ended = this.#crashes.get(name)!.length;
    return this.#options.isIdeal === true &&
      ended >= quarantine.QUARANTINE_CRASH_COUNT;
  }

  /** Serves a request at any host, as a host does. */
  async #serve(
    request: Request,
  ): Promise<"served" | "failed" | { wait: number }> {
    const running = this.#entries.filter(({ guard }) => guard !== undefined);
    const entry = running[this.#random.below(running.length)];
    if (entry === undefined) return "failed";
    const guard = entry.guard!;
    const { identity } = request;
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      const refusal = guard.refusal(identity);
      if (refusal !== undefined) return refusal;
      const up = this.#endpoints.filter(({ isUp }) => isUp);
      if (up.length === 0) return "failed";
      const endpoint = up[this.#random.below(up.length)];
      const { key } = endpoint;
      const admission = await guard.admit({
        identity,
        endpoint: key,
        remaining: PATIENCE,
      });
      if (admission.type === "refused") {
        return attempt === 0 ? admission : "failed";
      }
      if (admission.type === "taken") {
        attempt--;
        continue;
      }
      const startedAt = this.#clock.now();
      const end = await this.#run(request, { entry, endpoint });
      if (end === "broken") {
        if (this.#options.breakage !== "remembers-nothing") {
          guard.recordCrash(identity, key);
        }
      } else if (end === "unreachable") {
        guard.endRun(identity, { isUnused: true });
      } else {
        if (this.#options.breakage !== "forgets-answers") {
          guard.recordSuccess(identity, { isWhole: true, startedAt });
        }
        return "served";
      }
    }
    return "failed";
  }

  async #run(
    { name, poison }: Request,
    { entry, endpoint }: { entry: Entry; endpoint: endpoints.Endpoint },
  ): Promise<endpoints.RunEnd> {
    const length = RUN[0] + this.#random.next() * (RUN[1] - RUN[0]);
    if (poison === undefined) return await endpoint.run(length);
    const at = this.#clock.now();
    const isInTouch = this.#isInTouch(entry);
    this.#sent.get(name)!.push({ at, isInTouch });
    const { key } = endpoint;
    this.#clock.after(poison.fuse, () => {
      if (endpoint.key !== key || !endpoint.isUp) return;
      this.#crashes.get(name)!.push(this.#clock.now());
      this.#crash(endpoint);
    });
    return await endpoint.run(Infinity);
  }

  #crash(endpoint: endpoints.Endpoint): void {
    endpoint.crash(AWAY[0] + this.#random.next() * (AWAY[1] - AWAY[0]));
  }

  #plan(trouble: schedules.Trouble): void {
    this.#clock.after(trouble.at, () => {
      if (trouble.type === "start") return this.#addEntry();
      if (trouble.type === "crash" || trouble.type === "reset") {
        return this.#disturbEndpoint(trouble.type);
      }
      const { type, role, length } = trouble;
      const hosts = role === "core" ? this.#cores : this.#entries;
      const host = hosts[this.#random.below(hosts.length)];
      if (type === "cut") this.#cutOff(host.name, length);
      else if (role === "core") this.#restartCore(host as Core, length);
      else this.#restartEntry(host as Entry, length);
    });
  }

  #disturbEndpoint(type: "crash" | "reset"): void {
    const place = this.#random.below(this.#endpoints.length);
    const endpoint = this.#endpoints[place];
    if (type === "crash") this.#crash(endpoint);
    else endpoint.reset();
  }

  #cutOff(name: string, length: number): void {
    this.#disturb(name);
    this.#network.setCut(name, true);
    this.#clock.after(length, () => {
      this.#disturb(name);
      this.#network.setCut(name, false);
    });
  }

  #restartCore(core: Core, length: number): void {
    // A majority runs, as everywhere else that is promised something.
    const running = this.#cores.filter(({ coordinator }) => coordinator);
    if (core.coordinator === undefined || running.length < 3) return;
    this.#disturb(core.name);
    core.coordinator = undefined;
    this.#network.leave(core.name);
    this.#clock.after(length, () => {
      this.#disturb(core.name);
      this.#startCore(core);
    });
  }

  #restartEntry(entry: Entry, length: number): void {
    if (entry.guard === undefined) return;
    this.#disturb(entry.name);
    entry.guard = undefined;
    this.#network.leave(entry.name);
    this.#clock.after(length, () => {
      this.#disturb(entry.name);
      this.#startEntry(entry);
    });
  }

  /** Notes that something happened to a host; what befalls a core host befalls
   * all. */
  #disturb(name: string): void {
    const isCore = this.#cores.some((core) => core.name === name);
    this.#disturbed.set(isCore ? "core" : name, this.#clock.now());
  }

  #isInTouch({ name }: Entry): boolean {
    const isCut = [name, ...this.#cores.map((core) => core.name)]
      .some((each) => this.#network.isCut(each));
    const last = Math.max(
      this.#disturbed.get(name) ?? -Infinity,
      this.#disturbed.get("core") ?? -Infinity,
    );
    return !isCut && this.#clock.now() - last > CONTACT;
  }

  #told(seen: Seen): string {
    return `seed ${this.#options.seed}: ${JSON.stringify(seen)}`;
  }

  #pause(ms: number): Promise<void> {
    return new Promise((resolve) =>
      void this.#clock.after(ms, () => resolve())
    );
  }

  #judge(): Seen {
    const poisons = this.#poisons;
    const late = poisons.map(({ name, isPart }) => {
      const known = KNOWN_FROM[isPart ? "part" : "request"];
      const knownAt = this.#crashes.get(name)![known - 1] ?? Infinity;
      return this.#sent.get(name)!
        .filter(({ at, isInTouch }) => isInTouch && at > knownAt + CONTACT)
        .length;
    });
    const refused = Math.max(0, ...this.#refused.values());
    const seen = {
      crashes: poisons.map(({ name }) => this.#crashes.get(name)!.length),
      late,
      served: this.#served / this.#others,
      refused,
      messages: this.#network.sent,
    };
    if (late.some((count) => count > MOST_LATE)) {
      throw new Violation(`sent too often: ${this.#told(seen)}`);
    }
    if (refused > MOST_REFUSED) {
      throw new Violation(`kept back too often: ${this.#told(seen)}`);
    }
    return seen;
  }
}
