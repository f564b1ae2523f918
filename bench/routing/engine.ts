/** A small fake of an engine in virtual time: slots, a queue, a cache of
 * prefixes, reports and cache events that come late.
 * @module */

import * as runtime from "../../src/runtime/mod.ts";

/** A call as the fake takes it. */
export interface Job {
  /** Milliseconds at an idle engine without a cached prefix. */
  work: number;
  /** Milliseconds of that for the prefill. */
  prefill: number;
  prefix: readonly string[];
  /** Runs at the end with whether the prefix was cached. */
  done(cached: boolean): void;
}

/** Prompts whose prefix an engine keeps. */
const CACHED = 12;
/** Added time of a call in a full batch. */
const BATCHING = 0.5;

/** One engine. */
export class Engine {
  readonly id: string;
  readonly slots: number;
  readonly #clock: runtime.FakeClock;
  readonly #slowness: number;
  readonly #cache = new Map<string, readonly string[]>();
  readonly #queue: Job[] = [];
  #running = 0;
  #stored: string[] = [];
  #removed: string[] = [];
  #sequence = 0;

  constructor(
    id: string,
    options: { slots: number; clock: runtime.FakeClock; slowness: number },
  ) {
    this.id = id;
    this.slots = options.slots;
    this.#clock = options.clock;
    this.#slowness = options.slowness;
  }

  /** Load as a report states it. */
  get load(): { running: number; waiting: number } {
    return { running: this.#running, waiting: this.#queue.length };
  }

  /** Takes a call, to run it now or when a slot is free. */
  take(job: Job): void {
    this.#queue.push(job);
    this.#start();
  }

  /** What the cache changed since the last event. */
  changes(): { sequence: number; stored: string[]; removed: string[] } {
    const found = { stored: this.#stored, removed: this.#removed };
    this.#stored = [];
    this.#removed = [];
    return { sequence: ++this.#sequence, ...found };
  }

  #start(): void {
    if (this.#running >= this.slots) return;
    const job = this.#queue.shift();
    if (job === undefined) return;
    this.#running++;
    const cached = this.#touch(job.prefix);
    const work = job.work - (cached ? job.prefill : 0);
    const batch = 1 + BATCHING * this.#running / this.slots;
    this.#clock.after(work * batch * this.#slowness, () => {
      this.#running--;
      job.done(cached);
      this.#start();
    });
  }

  /** Whether a prefix was cached; it is from now on. */
  #touch(prefix: readonly string[]): boolean {
    const name = prefix[prefix.length - 1];
    const cached = this.#cache.delete(name);
    this.#cache.set(name, prefix);
    if (!cached) this.#stored.push(...prefix);
    if (this.#cache.size > CACHED) this.#evict();
    return cached;
  }

  #evict(): void {
    for (const [name, prefix] of this.#cache) {
      this.#cache.delete(name);
      this.#removed.push(...prefix);
      return;
    }
  }
}
