/** A simulated endpoint that makes pieces: one call at a time, some that wait,
 * and room for results that somebody must give up.
 * @module */

import type * as configurations from "../../src/configuration/mod.ts";
import type * as gateway from "../../src/gateway/mod.ts";
import type * as runtime from "../../src/runtime/mod.ts";
import * as chance from "./chance.ts";

/** A piece that is asked for, and what it costs. */
export interface Item {
  readonly bytes: number;
  readonly effort: number;
  readonly remaining: number;
  readonly inputs: readonly string[];
}

/** What is needed of the rest of the world. */
export interface Surroundings {
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  /** Whether a result is still there. */
  isHeld(handle: string): boolean;
}

/** Spread of the sizes of results, and of the times of calls. */
const SIZE_SPREAD = 0.3;
const TIME_SPREAD = 0.1;

interface Call {
  readonly items: readonly Item[];
  readonly arrived: number;
  resolve(results: gateway.ItemResult[]): void;
}

/** One endpoint; changed in place. */
export class MakerEndpoint {
  readonly #address: string;
  readonly #traits: configurations.BatchTraits;
  readonly #world: Surroundings;
  readonly #held = new Map<string, number>();
  #queue: Call[] = [];
  #isBusy = false;
  #number = 0;
  /** Times the usual time that a call takes. */
  slowness = 1;
  /** Milliseconds in calls, results that found no room, and pieces whose
   * inputs were gone. */
  busy = 0;
  rejected = 0;
  starved = 0;

  constructor(
    address: string,
    traits: configurations.BatchTraits,
    world: Surroundings,
  ) {
    this.#address = address;
    this.#traits = traits;
    this.#world = world;
  }

  /** Results of a call in order; undefined where it is full. */
  call(items: readonly Item[]): Promise<gateway.ItemResult[]> | undefined {
    if (this.#queue.length >= this.#traits.queue) return undefined;
    return new Promise((resolve) => {
      const arrived = this.#world.clock.now();
      this.#queue.push({ items, arrived, resolve });
      this.#next();
    });
  }

  holds(handle: string): boolean {
    return this.#held.has(handle);
  }

  /** Bytes of a result that it holds. */
  bytesOf(handle: string): number {
    return this.#held.get(handle) ?? 0;
  }

  release(handle: string): void {
    this.#held.delete(handle);
  }

  #next(): void {
    if (this.#isBusy) return;
    const call = this.#queue.shift();
    if (call === undefined) return;
    this.#isBusy = true;
    const results = call.items.map((item) => this.#begin(item, call));
    const { callTime, itemTime: pieceTime, keepTime } = this.#traits;
    const { clock, random } = this.#world;
    const made = call.items.filter((_, pos) => results[pos].type === "made");
    const effort = made.reduce((sum, each) => sum + each.effort, 0);
    const factor = 1 + TIME_SPREAD * chance.normal(random);
    const usual = made.length === 0 ? 1 : callTime + effort * pieceTime;
    const time = usual * Math.max(0.5, factor) * this.slowness;
    this.busy += time;
    clock.after(time, () => {
      this.#isBusy = false;
      call.resolve(results);
      clock.after(keepTime, () => {
        for (const result of results) {
          if (result.type === "made") this.#held.delete(result.handle);
        }
      });
      this.#next();
    });
  }

  #begin(item: Item, { arrived }: Call): gateway.ItemResult {
    const { clock, random, isHeld } = this.#world;
    if (clock.now() - arrived > item.remaining) {
      return { type: "failed", failure: "late" };
    }
    if (!item.inputs.every(isHeld)) {
      this.starved++;
      return { type: "failed", failure: "gone" };
    }
    const factor = Math.max(0.2, 1 + SIZE_SPREAD * chance.normal(random));
    const bytes = item.bytes * factor;
    const held = [...this.#held.values()].reduce((sum, each) => sum + each, 0);
    if (held + bytes > this.#traits.room) {
      this.rejected++;
      return { type: "failed", failure: "room" };
    }
    const handle = `${this.#address}/${this.#number++}`;
    this.#held.set(handle, bytes);
    return { type: "made", handle };
  }
}
