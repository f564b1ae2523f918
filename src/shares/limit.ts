/** Fleet-wide limits, and the base share of them that every host always has.
 * @module */

import type * as schema from "../schema/shares_types.ts";

/** A fleet-wide limit, from one cell of the table. */
export interface Limit {
  row: string;
  column: schema.LimitColumn;
  /** Requests per second, or requests in flight. */
  limit: number;
}

/** Fraction of a limit that is divided evenly and needs no lease. */
export const BASE_FRACTION = 0.25;

/** Returns the key that identifies a limit. */
export function keyOf({ row, column }: Pick<Limit, "row" | "column">): string {
  return `${row} ${column}`;
}

/** Returns the number that a limit is divided by: the number of hosts rounded up
 * to a power of two, so that hosts with slightly different views of the fleet
 * mostly agree. */
export function divisor(hosts: number): number {
  return 2 ** Math.ceil(Math.log2(Math.max(1, hosts)));
}

/** Returns the share that each host may use at any time, also during a network
 * partition. */
export function base({ limit, column }: Limit, hosts: number): number {
  return roundShare(column, limit * BASE_FRACTION / divisor(hosts));
}

/** Returns the amount that the allocator leases out. */
export function pool(limit: Limit, hosts: number): number {
  return limit.limit - divisor(hosts) * base(limit, hosts);
}

/** Number of units into which one request per second is divided. */
const RATE_STEPS_PER_REQUEST = 1000;

/** Rounds a share down to a multiple of the unit of its column. */
export function roundShare(column: schema.LimitColumn, share: number): number {
  if (column === "concurrency") return Math.floor(share);
  // Rounding a rounded share again must not lower it by another unit.
  return Math.floor(share * RATE_STEPS_PER_REQUEST + 1e-6) /
    RATE_STEPS_PER_REQUEST;
}
