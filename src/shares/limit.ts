/** Fleet-wide limits and the part of each that every host always has.
 * @module */

import type * as schema from "../schema/shares_types.ts";

/** A limit that the whole fleet shares, from one cell of the table. */
export interface Limit {
  row: string;
  column: schema.LimitColumn;
  /** Requests a second, or requests in flight. */
  limit: number;
}

/** Part of a limit that is divided evenly and needs no lease. */
export const BASE_FRACTION = 0.25;

/** Identity of a limit. */
export function keyOf({ row, column }: Pick<Limit, "row" | "column">): string {
  return `${row} ${column}`;
}

/** Number of hosts that a limit is divided by: rounded up to a power of two,
 * so that hosts whose views differ a little still divide alike. */
export function divisor(hosts: number): number {
  return 2 ** Math.ceil(Math.log2(Math.max(1, hosts)));
}

/** What each host may use at any time, also when it is cut off. */
export function base({ limit, column }: Limit, hosts: number): number {
  return roundShare(column, limit * BASE_FRACTION / divisor(hosts));
}

/** What the allocator leases out. */
export function pool(limit: Limit, hosts: number): number {
  return limit.limit - divisor(hosts) * base(limit, hosts);
}

/** Parts of a request a second in which rates are divided. */
const RATE_PARTS = 1000;

/** A share in the unit of its column, never more than before. */
export function roundShare(column: schema.LimitColumn, share: number): number {
  if (column === "concurrency") return Math.floor(share);
  // A share that is rounded again must not lose another part.
  return Math.floor(share * RATE_PARTS + 1e-6) / RATE_PARTS;
}
