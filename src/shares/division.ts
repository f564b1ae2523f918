/** Divides a limit among the hosts that claim a share of it. A share that a host
 * may still hold is not granted to another one.
 * @module */

import type * as schema from "../schema/shares_types.ts";
import type * as claims from "./claim.ts";
import * as maxMinFairness from "./max_min_fairness.ts";
import * as limits from "./limit.ts";

/** Shares beyond the base, by key of the limit. */
export type Extras = ReadonlyMap<string, number>;

/** A grant whose lease may not have expired at its host. */
export interface Outstanding {
  number: number;
  extras: Extras;
  /** Time at which its lease has expired by any clock. */
  until: number;
}

/** State of one host at the allocator. */
export interface Client {
  /** Number of the last report. */
  report: number;
  /** Number of the grant that the host had applied when it sent the report. */
  applied: number;
  claims: claims.Claims;
  /** Claims of answered reports, which later reports may be deltas of. */
  bases: ReadonlyMap<number, claims.Claims>;
  reportedAt: number;
  /** Whether a round has answered the report. */
  answered: boolean;
  outstanding: readonly Outstanding[];
}

/** Inputs of a division, and the map that receives its result. */
export interface Division {
  clients: ReadonlyMap<string, Client>;
  /** New shares by host and key; the division adds to it. */
  granted: Map<string, Map<string, number>>;
  /** Number of hosts that may be running. */
  hosts: number;
  /** Whether leases of the previous allocator may be valid; no share grows
   * then. */
  waiting: boolean;
}

interface Claimant {
  host: string;
  want: number;
  held: number;
  committed: number;
  answered: boolean;
}

/** Divides one limit among the hosts whose reports are not answered yet. */
export function divide(
  limit: limits.Limit,
  { clients, granted, hosts, waiting }: Division,
): void {
  const key = limits.keyOf(limit);
  const claimants = findClaimants(clients, limit, hosts);
  if (claimants.length === 0) return;
  const pool = limits.pool(limit, hosts);
  const targets = targetShares(claimants, pool, limit.column);
  const committed = claimants.reduce(
    (sum, claimant) => sum + claimant.committed,
    0,
  );
  let available = Math.max(0, pool - committed);
  for (const [pos, claimant] of claimants.entries()) {
    if (claimant.answered) continue;
    const max = waiting ? claimant.held : claimant.committed + available;
    const extra = limits.roundShare(limit.column, Math.min(targets[pos], max));
    available -= Math.max(0, extra - claimant.committed);
    const extras = granted.get(claimant.host) ?? new Map<string, number>();
    granted.set(claimant.host, extras.set(key, extra));
  }
}

/** Returns the hosts that claim a share of the limit or may still hold one. */
function findClaimants(
  clients: ReadonlyMap<string, Client>,
  limit: limits.Limit,
  hosts: number,
): Claimant[] {
  const key = limits.keyOf(limit);
  const base = limits.base(limit, hosts);
  const claimants: Claimant[] = [];
  for (const [host, client] of clients) {
    const { claims, answered, outstanding } = client;
    const claim = claims.get(key);
    const committed = Math.max(
      claim?.used ?? 0,
      ...outstanding.map(({ extras }) => extras.get(key) ?? 0),
    );
    if (claim === undefined && committed === 0) continue;
    const want = Math.max(0, (claim?.demand ?? 0) - base);
    const held = heldShare(client, key);
    claimants.push({ host, want, held, committed, answered });
  }
  return claimants;
}

/** Returns the share that a host holds: by the grant of this term that it has
 * applied, or else as reported by the host. */
function heldShare(
  { claims, applied, outstanding }: Client,
  key: string,
): number {
  const grant = outstanding.find(({ number }) => number === applied);
  if (grant !== undefined) return grant.extras.get(key) ?? 0;
  return claims.get(key)?.held ?? 0;
}

/** Returns max-min fair shares. Capacity beyond all demand is divided evenly
 * among the hosts with demand, for bursts; a host without demand gets none of
 * it, so that its claim ends. */
function targetShares(
  claimants: readonly Claimant[],
  pool: number,
  column: schema.LimitColumn,
): number[] {
  const claims = claimants.map(({ want }) => ({ want, weight: 1 }));
  const shares = maxMinFairness.divideMaxMin(pool, claims);
  const used = shares.reduce((sum, share) => sum + share, 0);
  const wanting = claimants.filter(({ want }) => want > 0).length;
  const spare = Math.max(0, pool - used) / Math.max(1, wanting);
  const targets = shares.map((share, pos) => {
    return claimants[pos].want > 0 ? share + spare : share;
  });
  return column === "concurrency" ? roundToWhole(targets, claimants) : targets;
}

/** Rounds targets to whole numbers with the same sum, by the largest remainder
 * method; among equal remainders, hosts that hold more come first. */
function roundToWhole(
  targets: readonly number[],
  claimants: readonly Claimant[],
): number[] {
  // The sum of fractions may be below a whole number by a rounding error.
  const total = targets.reduce((sum, target) => sum + target, 1e-6);
  const rounded = targets.map(Math.floor);
  const rest = Math.floor(total) - rounded.reduce((sum, n) => sum + n, 0);
  const remainder = (pos: number) => targets[pos] - rounded[pos];
  const order = targets.map((_, pos) => pos).sort((left, right) => {
    const difference = remainder(right) - remainder(left);
    if (Math.abs(difference) > 1e-6) return difference;
    return claimants[right].held - claimants[left].held || left - right;
  });
  for (const pos of order.slice(0, Math.max(0, rest))) rounded[pos]++;
  return rounded;
}
