/** Scenarios: load over time and faults of endpoints.
 * @module */

import type * as deployment from "./deployment.ts";

/** What is wrong with an endpoint. */
export type Fault =
  | { type: "none" }
  /** Calls take `factor` times as long. */
  | { type: "straggler"; factor: number }
  /** Calls fail: half at once and not run, half midway. */
  | { type: "failing" }
  /** Its connection goes silent every `every` milliseconds; a new one works. */
  | { type: "silent"; every: number };

/** One run. */
export interface Scenario {
  name: string;
  /** Milliseconds during which requests arrive. */
  length: number;
  /** Load at a time, as a share of capacity. */
  loadAt(now: number): number;
  /** Window whose goodput is measured. */
  window: readonly [number, number];
  /** Fault of the endpoint with this number in its pool, from `FAULT_AT` on. */
  faultOf(index: number): Fault;
  /** Changes the mix of kinds. */
  mix?(kind: deployment.Kind): number;
}

/** When faults begin, milliseconds. */
export const FAULT_AT = 20_000;

const LENGTH = 120_000;
const BURST: readonly [number, number] = [30_000, 60_000];
const NONE: Fault = { type: "none" };
const none = () => NONE;

function isIn([start, end]: readonly [number, number], now: number): boolean {
  return now >= start && now < end;
}

/** All scenarios, in the order of the issue that asks for them. */
export const SCENARIOS: readonly Scenario[] = [
  {
    name: "steady",
    length: LENGTH,
    loadAt: () => 0.7,
    window: [FAULT_AT, LENGTH],
    faultOf: none,
  },
  {
    name: "burst",
    length: LENGTH,
    loadAt: (now) => isIn(BURST, now) ? 3 : 0.7,
    window: BURST,
    faultOf: none,
  },
  {
    name: "straggler",
    length: LENGTH,
    loadAt: () => 0.6,
    window: [FAULT_AT, LENGTH],
    faultOf: (index) => index === 0 ? { type: "straggler", factor: 10 } : NONE,
  },
  {
    name: "failing",
    length: LENGTH,
    loadAt: () => 0.6,
    window: [FAULT_AT, LENGTH],
    faultOf: (index) => index % 3 === 0 ? { type: "failing" } : NONE,
  },
  {
    name: "silent",
    length: LENGTH,
    loadAt: () => 0.6,
    window: [FAULT_AT, LENGTH],
    faultOf: (index) => index < 2 ? { type: "silent", every: 12_000 } : NONE,
  },
  {
    name: "long-history",
    length: LENGTH,
    loadAt: () => 0.7,
    window: [FAULT_AT, LENGTH],
    faultOf: none,
    mix: (kind) => kind.size > 1000 ? 4 * kind.share : kind.share,
  },
];
