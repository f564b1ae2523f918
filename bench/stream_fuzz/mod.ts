/** Drawn schedules of streams in virtual time: engines of several versions come
 * and go, hosts end, are cut off and stand still, and callers resume streams at
 * any host. Callers count streams that hold events of two versions, and resumed
 * streams that do not continue.
 * @module */

import type * as configurations from "../../src/configuration/mod.ts";
import * as fixture from "../../src/configuration/fixture.ts";
import * as streamBindings from "../../src/gateway/stream_binding.ts";
import * as runtime from "../../src/runtime/mod.ts";
import * as networks from "../fuzz_world/network.ts";
import * as engines from "./engines.ts";
import * as hosts from "./hosts.ts";

const SPAN_MS = 30_000;
/** Time before the first disturbance, in which hosts learn of the engines. */
const START_MS = 2000;
const EVENT_MS = 60;
const DEADLINE_MS = 4000;
/** Pause of a caller after an attempt at a host that does not serve. */
const REFUSAL_PAUSE_MS = 300;
/** Engines that join briefly, and the bounds of their stay. */
const JOINING_COUNT = 8;
const MIN_STAY_MS = 400;
const MAX_STAY_MS = 1600;
/** Time from which on they may join: by then the other version has been alone
 * for longer than streams may be resumed. */
const MIN_JOIN_MS = 9000;
/** Calls of one attempt. */
const MAX_CALLS = 3;
/** Streams resumed from which their share counts, and the least part of the
 * share of new streams that it may be. */
const MIN_RESUMED_COUNT = 12;
const MIN_SHARE_RATIO = 1 / 2;
const ROUTE: configurations.Route = fixture.route({
  kind: "streaming",
  resumable: true,
  targets: [{ service: hosts.SERVICE, weight: 1 }],
  timeout: DEADLINE_MS,
});

/** Parameters of a schedule. */
export interface Options {
  readonly seed: number;
  /** Entry hosts; drawn when absent. */
  readonly entries?: number;
  /** A way to break a rule, to show that it is noticed: hosts take any version
   * where they know none, ask nobody, or take the engines that they know for
   * all that there are. */
  readonly breakage?: "guesses" | "asks-nobody" | "trusts-own-view";
}

/** What a schedule has shown. */
export interface Seen {
  readonly streams: number;
  readonly begun: number;
  /** Streams resumed while an engine of their version was up. */
  readonly resumed: number;
  readonly continued: number;
}

interface Stream {
  readonly length: number;
  readonly deadline: number;
  readonly versions: Set<string>;
  received: number;
  firstAttempt?: string;
  isResumed: boolean;
  continued: boolean;
}

/** Plays a schedule; rejects if a stream holds events of two versions, or if
 * too few of those resumed continue. */
export async function runSchedule(options: Options): Promise<Seen> {
  return await new World(options).play();
}

class World {
  readonly #options: Options;
  readonly #clock = new runtime.FakeClock();
  readonly #random: runtime.Random;
  readonly #host: hosts.HostOptions;
  readonly #controls: hosts.ControlHost[];
  readonly #entryNames: string[];
  readonly #entries = new Map<string, hosts.EntryHost>();
  readonly #engines: engines.Engines;
  readonly #versions: string[];
  /** Versions of engines that start, but for those that join briefly. */
  readonly #usualVersions: string[];
  /** Whether callers name the attempt that began their stream. */
  readonly #isNamed: boolean;
  readonly #streams: Stream[] = [];
  #attempts = 0;

  constructor(options: Options) {
    this.#options = options;
    const random = runtime.createMixedRandom(options.seed);
    this.#random = random;
    const controlHosts = namesOf("control", 3 + random.below(4));
    this.#host = {
      clock: this.#clock,
      random,
      network: new networks.Network(this.#clock, random, { isOrdered: true }),
      controlHosts,
    };
    this.#controls = controlHosts.map((name) =>
      new hosts.ControlHost(name, this.#host)
    );
    this.#entryNames = namesOf("entry", options.entries ?? 4 + random.below(9));
    this.#versions = namesOf("v", 1 + random.below(3));
    // In a release one version serves alone but for engines that join.
    this.#usualVersions = random.next() < 0.5
      ? this.#versions
      : [this.#versions[0]];
    this.#engines = new engines.Engines({
      clock: this.#clock,
      random,
      controls: this.#controls,
      versions: this.#usualVersions,
    });
    this.#isNamed = random.next() < 0.7;
  }

  async play(): Promise<Seen> {
    this.#controls.forEach((control) => control.start());
    for (let count = 3 + this.#random.below(9); count > 0; count--) {
      this.#engines.start(`engine-${count}`);
    }
    this.#entryNames.forEach((name) => this.#startEntry(name));
    const pause = 30 + this.#random.below(100);
    for (let at = START_MS; at < SPAN_MS; at += pause) {
      this.#clock.after(at, () => void this.#begin());
    }
    for (let count = 2 + this.#random.below(14); count > 0; count--) {
      const at = START_MS + this.#random.next() * (SPAN_MS - START_MS);
      this.#clock.after(at, () => this.#disturb());
    }
    if (this.#versions.length > this.#usualVersions.length) {
      const at = MIN_JOIN_MS + this.#random.below(SPAN_MS - 2 * MIN_JOIN_MS);
      this.#clock.after(at, () => this.#leaveBehind());
    }
    const end = SPAN_MS + DEADLINE_MS;
    while (this.#clock.now() < end && this.#clock.step()) {
      for (let turn = 0; turn < 12; turn++) await Promise.resolve();
    }
    return this.#judge();
  }

  #judge(): Seen {
    const { seed } = this.#options;
    const mixed = this.#streams.filter(({ versions }) => versions.size > 1);
    if (mixed.length > 0) {
      throw new Error(`seed ${seed}: ${mixed.length} streams of two versions`);
    }
    const all = this.#streams;
    const begun = all.filter(({ received }) => received > 0).length;
    const resumed = all.filter(({ isResumed }) => isResumed).length;
    const continued =
      all.filter((each) => each.isResumed && each.continued).length;
    const least = MIN_SHARE_RATIO * resumed * begun / all.length;
    // Without a name a stream continues only while there is one version.
    const isBound = this.#isNamed && resumed >= MIN_RESUMED_COUNT;
    if (isBound && continued < least) {
      throw new Error(
        `seed ${seed}: ${continued} of ${resumed} resumed continue`,
      );
    }
    return { streams: all.length, begun, resumed, continued };
  }

  #startEntry(name: string): void {
    const { breakage } = this.#options;
    const entry = new hosts.EntryHost(name, this.#host, {
      asks: breakage !== "asks-nobody",
      trustsOwnView: breakage === "trusts-own-view",
    });
    this.#entries.set(name, entry);
  }

  /** A caller's stream, over all of its attempts. */
  async #begin(): Promise<void> {
    const stream: Stream = {
      length: 10 + this.#random.below(60),
      deadline: this.#clock.now() + DEADLINE_MS,
      versions: new Set(),
      received: 0,
      isResumed: false,
      continued: false,
    };
    this.#streams.push(stream);
    while (
      stream.received < stream.length && this.#clock.now() < stream.deadline
    ) {
      const pause = await this.#attempt(stream);
      await this.#wait(pause);
    }
  }

  /** One attempt at any host; resolves with the pause before the next. */
  async #attempt(stream: Stream): Promise<number> {
    const entry = this.#entries.get(this.#pick(this.#entryNames))!;
    if (!entry.isUp) return 30;
    await entry.clock.running();
    if (!entry.isServing) return REFUSAL_PAUSE_MS;
    const id = `a-${++this.#attempts}`;
    const { received: before, firstAttempt } = stream;
    const binding = this.#createBinding(entry, { id, before, firstAttempt });
    const [version] = stream.versions;
    const hasEngine = this.#engines.running.some((each) =>
      each.version === version
    );
    if (before > 0 && hasEngine) stream.isResumed = true;
    const choice = await binding.chooseService();
    if (!entry.isUp) return 30;
    const isGuess = this.#options.breakage === "guesses";
    if (choice.type === "none" && !isGuess) {
      const { retryAfter } = choice.details;
      return typeof retryAfter === "number"
        ? 1000 * retryAfter
        : REFUSAL_PAUSE_MS;
    }
    const calls = { binding, id, breaksOff: this.#random.next() < 0.2 };
    await this.#call(stream, entry, calls);
    if (before > 0 && stream.received > before) stream.continued = true;
    return 20 + this.#random.below(200);
  }

  #createBinding(
    entry: hosts.EntryHost,
    { id, before, firstAttempt }: {
      id: string;
      before: number;
      firstAttempt?: string;
    },
  ): streamBindings.StreamBinding {
    return streamBindings.StreamBinding.create({
      clock: entry.clock,
      random: this.#random,
      pool: entry.pool,
      origins: entry.client,
    }, {
      incoming: {
        id,
        method: "POST",
        host: "host.example",
        target: "/a/x",
        headers: {},
        ...(firstAttempt !== undefined && {
          resumeAfter: `${before}`,
          ...(this.#isNamed && { firstAttempt: { id: firstAttempt } }),
        }),
      },
      route: ROUTE,
    });
  }

  /** Calls engines until the stream is whole, or no further one continues
   * it. */
  async #call(
    stream: Stream,
    entry: hosts.EntryHost,
    { binding, id, breaksOff }: {
      binding: streamBindings.StreamBinding;
      id: string;
      breaksOff: boolean;
    },
  ): Promise<void> {
    const called: string[] = [];
    const last = breaksOff
      ? stream.received + 1 + this.#random.below(20)
      : stream.length;
    for (let count = 0; count < MAX_CALLS; count++) {
      const { version } = binding;
      const usable = entry.pool
        .usable(hosts.SERVICE, this.#clock.now(), version)
        .filter(({ identity }) => !called.includes(identity.id));
      if (usable.length === 0) return;
      const target = this.#pick(usable);
      called.push(target.identity.id);
      const engine = this.#engines.find(target.identity.id);
      await this.#wait(20 + this.#random.below(150));
      await entry.clock.running();
      while (engine.endedAt === Infinity && stream.received < last) {
        await this.#wait(EVENT_MS);
        await entry.clock.running();
        if (!entry.isUp || this.#clock.now() > stream.deadline) return;
        if (engine.endedAt !== Infinity) break;
        binding.bind(target);
        stream.firstAttempt ??= id;
        stream.versions.add(engine.version);
        stream.received++;
      }
      if (!entry.isUp || stream.received >= last) return;
    }
  }

  #disturb(): void {
    const control = this.#pick(this.#controls);
    const entry = this.#pick(this.#entryNames);
    this.#pick([
      () => this.#replaceEngine(),
      () => this.#replaceEngine(),
      () => this.#replaceAllOf(this.#pick(this.#versions)),
      () => this.#restartEntry(entry),
      () => this.#restartEntry(entry),
      () => this.#restartControl(control),
      () => {
        control.wipe();
        this.#restartControl(control);
      },
      () => this.#cut(control.name),
      () => this.#cut(entry),
      () => this.#freeze(control),
      () => this.#freeze(this.#entries.get(entry)!.clock),
      () => this.#restartAll(),
    ])();
  }

  /** Engines of another version join and end soon after. */
  #joinBriefly(): void {
    const version = this.#pick(this.#versions.slice(1));
    for (let count = 0; count < JOINING_COUNT; count++) {
      const engine = this.#engines.start(`joining-${count}`, version);
      const stay = MIN_STAY_MS +
        this.#random.next() * (MAX_STAY_MS - MIN_STAY_MS);
      this.#clock.after(stay, () => this.#engines.end(engine));
    }
  }

  /** Entry hosts miss engines that join, and a control host stands still or is
   * cut off soon after. */
  #leaveBehind(): void {
    const control = this.#pick(this.#controls);
    for (const [name, entry] of this.#entries) {
      const how = this.#random.below(3);
      if (how === 0) this.#cut(name);
      if (how === 1) this.#freeze(entry.clock);
    }
    this.#clock.after(this.#random.below(300), () => this.#joinBriefly());
    this.#clock.after(this.#random.below(1500), () => {
      if (this.#random.next() < 0.5) this.#cut(control.name);
      else this.#freeze(control);
    });
  }

  #freeze(host: { freeze(): void; thaw(): void }): void {
    host.freeze();
    this.#clock.after(200 + this.#random.below(3000), () => host.thaw());
  }

  #replaceEngine(): void {
    const { running } = this.#engines;
    if (running.length > 0) this.#engines.replace(this.#pick(running));
  }

  #replaceAllOf(version: string): void {
    this.#engines.running
      .filter((each) => each.version === version)
      .forEach((each) => this.#engines.replace(each));
  }

  #restartEntry(name: string): void {
    this.#entries.get(name)!.end();
    this.#clock.after(
      300 + this.#random.below(1000),
      () => this.#startEntry(name),
    );
  }

  #restartControl(control: hosts.ControlHost): void {
    control.end();
    const pause = 300 + this.#random.below(3000);
    this.#clock.after(pause, () => control.start());
  }

  #restartAll(): void {
    this.#controls.forEach((control) => this.#restartControl(control));
    this.#entryNames.forEach((name) => this.#restartEntry(name));
  }

  #cut(name: string): void {
    const { network } = this.#host;
    network.setCut(name, true);
    const span = 300 + this.#random.below(4000);
    this.#clock.after(span, () => network.setCut(name, false));
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

function namesOf(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, number) => `${prefix}-${number}`);
}
