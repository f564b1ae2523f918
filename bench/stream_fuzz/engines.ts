/** Engines of drawn schedules of streams: they start, send heartbeats and end.
 * @module */

import type * as runtime from "../../src/runtime/mod.ts";
import * as hosts from "./hosts.ts";

/** Longest time of a heartbeat's way. */
const HEARTBEAT_DELAY_MS = 5;

/** What engines are made with. */
export interface EnginesOptions {
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  readonly controls: readonly hosts.ControlHost[];
  /** Versions of engines that start without a given one. */
  readonly versions: readonly string[];
}

/** All engines that ever were. */
export class Engines {
  readonly #options: EnginesOptions;
  readonly #all: hosts.Engine[] = [];

  constructor(options: EnginesOptions) {
    this.#options = options;
  }

  /** Engines that are up. */
  get running(): readonly hosts.Engine[] {
    return this.#all.filter(({ endedAt }) => endedAt === Infinity);
  }

  find(id: string): hosts.Engine {
    return this.#all.find((engine) => engine.id === id)!;
  }

  start(address: string, version = this.#drawVersion()): hosts.Engine {
    const engine = {
      id: `${address}/${this.#all.length}`,
      address,
      version,
      startedAt: this.#options.clock.now(),
      endedAt: Infinity,
      sequence: 0,
    };
    this.#all.push(engine);
    this.#beat(engine);
    return engine;
  }

  /** Ends an engine; one of any usual version starts at its address. */
  replace(engine: hosts.Engine): void {
    const { clock, random } = this.#options;
    engine.endedAt = clock.now();
    const pause = 200 + random.below(2000);
    clock.after(pause, () => void this.start(engine.address));
  }

  /** Ends an engine for good; some say so. */
  end(engine: hosts.Engine): void {
    const { clock, random } = this.#options;
    engine.endedAt = clock.now();
    if (random.next() < 0.5) this.#report(engine, "gone");
  }

  #beat(engine: hosts.Engine): void {
    if (engine.endedAt !== Infinity) return;
    engine.sequence++;
    this.#report(engine, "ready");
    this.#options.clock.after(hosts.HEARTBEAT_MS, () => this.#beat(engine));
  }

  /** Reports to one of the control hosts that can be reached. */
  #report(engine: hosts.Engine, state: "ready" | "gone"): void {
    const { clock, random, controls } = this.#options;
    const reachable = controls.filter(({ isReachable }) => isReachable);
    if (reachable.length === 0) return;
    const control = reachable[random.below(reachable.length)];
    clock.after(
      random.next() * HEARTBEAT_DELAY_MS,
      () => void control.report(engine, state),
    );
  }

  #drawVersion(): string {
    const { random, versions } = this.#options;
    return versions[random.below(versions.length)];
  }
}
