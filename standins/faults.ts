/** Faults of a stand-in: which call is hit by what.
 * @module */

import type * as runtime from "../src/runtime/mod.ts";

/** Kinds of faults; see docs/design/standins.md. */
export type FaultName =
  | "slow"
  | "hang"
  | "crossed"
  | "late"
  | "drop"
  | "refuse"
  | "silent";

/** A fault to switch on. */
export interface Fault {
  type: FaultName;
  /** How many times as long work takes, for `slow`; 10 when absent. */
  factor?: number;
  /** Share of calls that it hits, 0 to 1; 1 when absent. */
  share?: number;
  /** Calls that it hits at most. */
  count?: number;
  /** Milliseconds that it lasts. */
  for?: number;
}

/** What hits one call. */
export interface Hit {
  /** How many times as long work takes. */
  factor: number;
  hang: boolean;
  crossed: boolean;
  late: boolean;
  drop: boolean;
  refuse: boolean;
}

interface Active {
  fault: Fault;
  left: number;
  ends: number;
}

const NAMES: ReadonlySet<string> = new Set([
  "slow",
  "hang",
  "crossed",
  "late",
  "drop",
  "refuse",
  "silent",
]);
const SLOW_FACTOR = 10;

/** Whether a value read from outside is a fault. */
export function isFault(value: unknown): value is Fault {
  if (typeof value !== "object" || value === null) return false;
  const { type, ...numbers } = value as Record<string, unknown>;
  return typeof type === "string" && NAMES.has(type) &&
    Object.values(numbers).every((number) => typeof number === "number");
}

/** Faults that are switched on. */
export class Faults {
  #active: Active[] = [];
  readonly #random: runtime.Random;

  constructor(random: runtime.Random) {
    this.#random = random;
  }

  /** Switches a fault on, in place of one of the same type. */
  set(fault: Fault, now: number): void {
    this.clear(fault.type);
    const left = fault.count ?? Infinity;
    const ends = now + (fault.for ?? Infinity);
    this.#active.push({ fault, left, ends });
  }

  /** Switches one fault off, or all. */
  clear(type?: FaultName): void {
    this.#active = type === undefined
      ? []
      : this.#active.filter(({ fault }) => fault.type !== type);
  }

  /** Draws what hits a call that arrives now. */
  hit(now: number): Hit {
    this.#active = this.#active.filter(({ left, ends }) =>
      left > 0 && now < ends
    );
    const hits = this.#active.filter(({ fault }) => this.#draw(fault));
    for (const active of hits) active.left--;
    const is = (type: FaultName) =>
      hits.some(({ fault }) => fault.type === type);
    const slow = hits.find(({ fault }) => fault.type === "slow")?.fault;
    return {
      factor: slow === undefined ? 1 : slow.factor ?? SLOW_FACTOR,
      hang: is("hang"),
      crossed: is("crossed"),
      late: is("late"),
      drop: is("drop"),
      refuse: is("refuse"),
    };
  }

  #draw({ share }: Fault): boolean {
    return share === undefined || this.#random.next() < share;
  }
}
