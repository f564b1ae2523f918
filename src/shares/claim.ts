/** What a host claims of limits, and how a report tells what changed.
 * @module */

import type * as schema from "../schema/shares_types.ts";
import type * as holders from "./holder.ts";
import * as limits from "./limit.ts";

/** Significant digits of a demand. */
const DEMAND_DIGITS = 2;
/** A demand is reported anew once it has risen or fallen by these factors: a
 * few requests a second differ that much by chance. */
const RISE = 1.5;
const FALL = 2;

/** Claims of a host by key of the limit. */
export type Claims = ReadonlyMap<string, schema.Claim>;

/** What the claims of a host follow from. */
export interface Basis {
  hosts: number;
  demands: readonly holders.Demand[];
  /** Claims that the allocator has. */
  reported: Claims;
  /** What the host holds of a limit over its base. */
  held(key: string): number;
}

/** Claims on limits of which the base may not be enough. */
export function create(
  all: readonly limits.Limit[],
  { hosts, demands, reported: said, held: heldOf }: Basis,
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
    const steady = steadyOf(demand, said.get(key)?.demand);
    const claim: schema.Claim = { row, column, demand: steady, held };
    claims.set(key, used > 0 ? { ...claim, used } : claim);
  }
  return claims;
}

/** Rows that turn `base` into `claims`. What is held needs no row: the
 * allocator knows its own grants. */
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

/** Claims after the rows of a report. */
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

function steadyOf(demand: number, said = 0): number {
  if (demand <= RISE * said && demand >= said / FALL) return said;
  return Number(demand.toPrecision(DEMAND_DIGITS));
}
