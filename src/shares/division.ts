/** Divides a limit among the hosts that claim a part of it, without granting
 * what a host may still hold.
 * @module */

import type * as schema from "../schema/shares_types.ts";
import type * as claims from "./claim.ts";
import * as fills from "./max_min_fairness.ts";
import * as limits from "./limit.ts";

/** Shares over the base by key of the limit. */
export type Extras = ReadonlyMap<string, number>;

/** A grant that may still be in force at its host. */
export interface Outstanding {
  number: number;
  extras: Extras;
  /** When the host cannot hold it any more. */
  until: number;
}

/** What the allocator knows of one host. */
export interface Client {
  /** Number of the last report. */
  report: number;
  /** Number of the grant that was in force when it was sent. */
  applied: number;
  claims: claims.Claims;
  /** Claims of answered reports, on which later ones build. */
  bases: ReadonlyMap<number, claims.Claims>;
  reportedAt: number;
  /** Whether a round has answered the report. */
  answered: boolean;
  outstanding: readonly Outstanding[];
}

/** All that a division depends on, and where its outcome goes. */
export interface Division {
  clients: ReadonlyMap<string, Client>;
  /** New shares by host and key; filled in. */
  granted: Map<string, Map<string, number>>;
  /** Hosts that may be running. */
  hosts: number;
  /** Whether leases of the last allocator may run: then no share grows. */
  waiting: boolean;
}

interface Party {
  host: string;
  want: number;
  held: number;
  committed: number;
  answered: boolean;
}

/** Divides one limit; what others may still hold is not granted. */
export function divide(
  limit: limits.Limit,
  { clients, granted, hosts, waiting }: Division,
): void {
  const key = limits.keyOf(limit);
  const parties = partiesOf(clients, limit, hosts);
  if (parties.length === 0) return;
  const pool = limits.pool(limit, hosts);
  const targets = targetsOf(parties, pool, limit.column);
  const committed = parties.reduce((sum, party) => sum + party.committed, 0);
  let free = Math.max(0, pool - committed);
  for (const [pos, party] of parties.entries()) {
    if (party.answered) continue;
    const most = waiting ? party.held : party.committed + free;
    const extra = limits.roundShare(limit.column, Math.min(targets[pos], most));
    free -= Math.max(0, extra - party.committed);
    const extras = granted.get(party.host) ?? new Map<string, number>();
    granted.set(party.host, extras.set(key, extra));
  }
}

/** Hosts that claim a part of the limit, or may still hold one. */
function partiesOf(
  clients: ReadonlyMap<string, Client>,
  limit: limits.Limit,
  hosts: number,
): Party[] {
  const key = limits.keyOf(limit);
  const base = limits.base(limit, hosts);
  const parties: Party[] = [];
  for (const [host, client] of clients) {
    const { claims, answered, outstanding } = client;
    const claim = claims.get(key);
    const committed = Math.max(
      claim?.used ?? 0,
      ...outstanding.map(({ extras }) => extras.get(key) ?? 0),
    );
    if (claim === undefined && committed === 0) continue;
    const want = Math.max(0, (claim?.demand ?? 0) - base);
    const held = heldOf(client, key);
    parties.push({ host, want, held, committed, answered });
  }
  return parties;
}

/** What the host holds: by a grant of this term, or as it said itself. */
function heldOf({ claims, applied, outstanding }: Client, key: string): number {
  const grant = outstanding.find(({ number }) => number === applied);
  if (grant !== undefined) return grant.extras.get(key) ?? 0;
  return claims.get(key)?.held ?? 0;
}

/** Max-min fair shares; what nobody wants is spread for bursts among those
 * that want any, so that a claim without demand ends. */
function targetsOf(
  parties: readonly Party[],
  pool: number,
  column: schema.LimitColumn,
): number[] {
  const claims = parties.map(({ want }) => ({ want, weight: 1 }));
  const shares = fills.divideMaxMin(pool, claims);
  const used = shares.reduce((sum, share) => sum + share, 0);
  const wanting = parties.filter(({ want }) => want > 0).length;
  const spare = Math.max(0, pool - used) / Math.max(1, wanting);
  const targets = shares.map((share, pos) => {
    return parties[pos].want > 0 ? share + spare : share;
  });
  return column === "concurrency" ? whole(targets, parties) : targets;
}

/** Whole numbers with the same sum: what rounding leaves over goes to the
 * largest remainders, and among equal ones to hosts that hold more. */
function whole(
  targets: readonly number[],
  parties: readonly Party[],
): number[] {
  // A sum of fractions may fall short of a whole number by a rounding error.
  const total = targets.reduce((sum, target) => sum + target, 1e-6);
  const rounded = targets.map(Math.floor);
  const rest = Math.floor(total) - rounded.reduce((sum, n) => sum + n, 0);
  const remainder = (pos: number) => targets[pos] - rounded[pos];
  const order = targets.map((_, pos) => pos).sort((left, right) => {
    const difference = remainder(right) - remainder(left);
    if (Math.abs(difference) > 1e-6) return difference;
    return parties[right].held - parties[left].held || left - right;
  });
  for (const pos of order.slice(0, Math.max(0, rest))) rounded[pos]++;
  return rounded;
}
