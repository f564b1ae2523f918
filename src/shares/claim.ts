/** Claims of a host on limits, and their encoding as deltas in reports.
 * @module */

import type * as schema from "../schema/shares_types.ts";
import type * as holders from "./holder.ts";
import * as limits from "./limit.ts";

/** Significant digits of a reported demand. */
const DEMAND_DIGITS = 2;
/** A demand is reported again once it has risen or fallen by these factors: at
 * a few requests per second it varies by less at random. */
const RISE_FACTOR = 1.5;
const FALL_FACTOR = 2;

/** Claims of a host by key of the limit. */
export type Claims = ReadonlyMap<string, schema.Claim>;

/** Inputs to the claims of a host. */
export interface ClaimInputs {
  hosts: number;
  demands: readonly holders.Demand[];
  /** Claims in the last answered report, which the allocator knows. */
  reported: Claims;
  /** Returns the share of a limit that the host holds beyond its base. */
  held(key: string): number;
}

/** Creates the claims on the limits whose base may not suffice. */
export function create(
  all: readonly limits.Limit[],
  { hosts, demands, reported: said, held: heldOf }: ClaimInputs,
): Claims {
  const byKey = new Map(demands.map((item) => [limits.keyOf(item), item]));
  const claims = new Map<string, schema.Claim>();
  for (const limit of all) {
    const key = limits.keyOf(limit);
    const { demand = 0, inFlight = 0 } = byKey.get(key) ?? {};
    const base = limits.base(limit, hosts);
    const used = Math.max(0, inFlight - base);
    const held = heldOf(key);
    if (demand <= base / 2 && held === 0 && used === 0) continue;
    const { row, column } = limit;
    const steady = smoothDemand(demand, said.get(key)?.demand);
    const claim: schema.Claim = { row, column, demand: steady, held };
    claims.set(key, used > 0 ? { ...claim, used } : claim);
  }
  return claims;
}

/** Returns the rows of a report that change `base` to `claims`. A change of the
 * held share needs no row: the allocator knows its own grants. */
export function changes(claims: Claims, base: Claims): schema.Claim[] {
  const rows = [...claims].filter(([key, { demand, used }]) => {
    const known = base.get(key);
    return known === undefined || known.demand !== demand ||
      known.used !== used;
  });
  const ended = [...base].filter(([key]) => !claims.has(key));
  return [
    ...rows.map(([, claim]) => claim),
    ...ended.map(([, { row, column }]) => {
      return { row, column, demand: 0, held: 0 };
    }),
  ];
}

/** Returns the claims after applying the rows of a report to `base`. */
export function applyRows(base: Claims, rows: readonly schema.Claim[]): Claims {
  const claims = new Map(base);
  for (const row of rows) {
    const key = limits.keyOf(row);
    const ends = row.demand === 0 && row.held === 0 && row.used === undefined;
    if (ends) claims.delete(key);
    else claims.set(key, row);
  }
  return claims;
}

function smoothDemand(demand: number, reported = 0): number {
  if (demand <= RISE_FACTOR * reported && demand >= reported / FALL_FACTOR) {
    return reported;
  }
  return Number(demand.toPrecision(DEMAND_DIGITS));
}
