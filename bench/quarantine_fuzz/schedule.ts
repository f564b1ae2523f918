/** What happens in a run, drawn from a seed. Times are in milliseconds.
 * @module */

import * as runtime from "../../src/runtime/mod.ts";

/** A request that ends endpoints, or a part of many that does. */
export interface Poison {
  readonly name: string;
  /** Whether requests that differ have it as a part of their prompts. */
  readonly isPart: boolean;
  readonly from: number;
  /** Between two times that it comes. */
  readonly pause: number;
  /** From the start of a run until its endpoint ends. */
  readonly fuse: number;
}

/** Something that goes wrong. */
export type Trouble =
  | { type: "crash"; at: number }
  | { type: "reset"; at: number }
  | { type: "start"; at: number }
  | { type: "cut"; at: number; length: number; role: Role }
  | { type: "restart"; at: number; length: number; role: Role };

/** Kind of a host. */
export type Role = "core" | "entry";

/** What is played. */
export interface Schedule {
  readonly cores: number;
  readonly entries: number;
  readonly endpoints: number;
  readonly poisons: readonly Poison[];
  readonly troubles: readonly Trouble[];
  /** Other requests a second. */
  readonly rate: number;
  /** A part that others share and that ends endpoints from some time on. */
  readonly turning?: TurningPart;
}

/** A part that turns bad. */
export interface TurningPart {
  readonly part: "popular" | "rare";
  readonly at: number;
  /** From the start of a run until its endpoint ends. */
  readonly fuse: number;
}

/** Milliseconds in which requests come. */
export const LENGTH = 30_000;

const ENTRIES = [2, 8, 8, 40];
const TYPES = ["crash", "crash", "reset", "cut", "restart", "start"] as const;

/** Draws a schedule. */
export function draw(seed: number, entries?: number): Schedule {
  const random = runtime.createMixedRandom(seed);
  const between = (least: number, most: number) =>
    least + Math.floor(random.next() * (most - least + 1));
  const drawn = {
    cores: between(3, 5),
    entries: entries ?? ENTRIES[random.below(ENTRIES.length)],
    endpoints: between(6, 16),
    rate: between(10, 30),
    poisons: Array.from({ length: between(1, 2) }, (_, number) => ({
      name: `poison-${number}`,
      isPart: false,
      from: between(0, 8000),
      pause: between(200, 1500),
      fuse: between(10, 600),
    })),
    troubles: Array.from({ length: between(0, 6) }, () => {
      const type = TYPES[random.below(TYPES.length)];
      const at = between(0, LENGTH);
      const role = random.next() < 0.5 ? "core" as const : "entry" as const;
      const length = between(300, 4000);
      if (type === "cut" || type === "restart") {
        return { type, at, role, length };
      }
      return { type, at };
    }),
  };
  const parts = Array.from({ length: between(0, 2) }, (_, number) => ({
    name: `poison-part-${number}`,
    isPart: true,
    from: between(0, 8000),
    pause: between(150, 1500),
    fuse: between(10, 600),
  }));
  const turning: TurningPart = {
    part: random.next() < 0.5 ? "popular" : "rare",
    at: between(0, LENGTH / 2),
    fuse: between(10, 600),
  };
  const isTurning = random.next() < 0.25;
  return {
    ...drawn,
    poisons: [...drawn.poisons, ...parts],
    ...(isTurning && { turning }),
  };
}
