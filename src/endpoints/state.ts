/** State of the registry at one host, its events, effects and intervals.
 * @module */

import type * as membership from "../membership/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as announcements from "../schema/endpoint_types.ts";
import type * as schema from "../schema/registry_types.ts";
import type * as entries from "./entry.ts";
import type * as holders from "./lease_holder.ts";

/** News waits so long for more news before it is sent on. */
export const UPDATE_DELAY_MS = 100;
/** Most entries in one message. */
export const MAX_UPDATES_PER_MESSAGE = 32;
/** Renewals for one holder are gathered for so long. */
export const RENEWAL_DELAY_MS = 100;
/** Time that a renewal may take on its way to the holder. */
export const FORWARD_SLACK_MS = 2 * RENEWAL_DELAY_MS;
/** Between two comparisons of roots with a neighbour. */
export const ROOT_HASH_INTERVAL_MS = 2000;
/** A copy that has not changed for so long should equal that of others. */
export const SETTLE_TIME_MS = 1000;
/** Copies are compared after so long even while they change. */
export const SYNC_INTERVAL_MS = 10_000;
/** Renewals that a host forwards in a second, at most; leases of a fleet with
 * more endpoints per host are longer. */
export const MAX_FORWARDS_PER_SECOND = 6;
/** Renewals that an endpoint sends within one lease. */
export const RENEWALS_PER_LEASE = 3;
/** Added to the first lease of a new holder: others may not know it yet. */
export const TAKEOVER_GRACE_MS = 2000;
/** An endpoint that gives no incarnation may turn back from draining, or come
 * back after it left, this long after it did. */
export const REVERT_DELAY_MS = 5000;
/** As above for one that gives its incarnation: longer than any renewal that
 * was sent before it left is under way. */
export const REJOIN_DELAY_MS = 30_000;
/** An endpoint that left or expired is remembered for so long. */
export const TOMBSTONE_RETENTION_MS = 600_000;
/** Most of these remembered; the oldest are forgotten first. */
export const MAX_TOMBSTONES = 4096;

/** What the registry of a host needs. */
export interface Options {
  host: string;
  /** Shortest lease, milliseconds. */
  lease: number;
  random: runtime.Random;
}

/** What happens to the registry at a host. */
export type Event =
  | { type: "wake" }
  | { type: "message"; from: string; body: schema.RegistryMessage }
  /** The hosts that live, and those to which this one passes news. */
  | {
    type: "hosts";
    hosts: readonly holders.Host[];
    neighbours: readonly string[];
  }
  /** An endpoint announces itself or renews. */
  | { type: "announce"; id: string; announcement: announcements.Announcement }
  /** An endpoint says that it leaves. */
  | { type: "depart"; id: string; incarnation?: number };

/** What the shell does for the registry. A `wake` replaces the last one. */
export type Effect =
  | { type: "send"; to: string; body: schema.RegistryMessage }
  | { type: "notify"; change: Change }
  /** Answer to an announcement; `lease` in milliseconds. */
  | { type: "accept"; id: string; lease: number }
  /** The announcement is from before the endpoint left or started again. */
  | { type: "refuse"; id: string; reason: Refusal }
  | { type: "wake"; at: number };

/** Why an announcement is not taken. */
export type Refusal = "left" | "stale";

/** A change of the endpoints that serve. */
export type Change =
  | { type: "joined"; entry: entries.ServingEntry }
  | { type: "changed"; entry: entries.ServingEntry }
  | { type: "left"; id: string }
  | { type: "expired"; id: string };

/** A change on its way to the neighbours. */
export interface Update {
  id: string;
  entry: entries.Entry;
}

/** The registry at one host; never changed in place. */
export interface State {
  readonly options: Options;
  readonly entries: entries.Entries;
  readonly leaseHolders: holders.LeaseHolders;
  readonly neighbours: readonly string[];
  /** Ends of the leases that this host holds. */
  readonly leases: ReadonlyMap<string, number>;
  /** No lease ends before. */
  readonly nextExpiry: number;
  /** When each endpoint that drains, left or expired turned so. */
  readonly notReadySince: ReadonlyMap<string, number>;
  /** Renewals to be forwarded, by holder, then by endpoint. */
  readonly renewals: ReadonlyMap<string, ReadonlyMap<string, number>>;
  readonly nextRenewal: number;
  readonly gossipQueue: membership.outbox.GossipQueue<Update>;
  readonly nextGossip: number;
  readonly nextRootHash: number;
  readonly nextSync: number;
  readonly changedAt: number;
  /** Whether this copy has once equalled that of another host. */
  readonly hasSynced: boolean;
  readonly wakeAt: number;
}

/** One step under way: the state may be replaced until it is done. */
export interface Step {
  state: State;
  effects: Effect[];
  now: number;
}

/** Lease given to endpoints: longer where hosts have many of them, so that
 * the cost of renewals per host stays bounded. */
export function leaseDuration(
  { options, entries, leaseHolders: holders }: State,
): number {
  const perHost = entries.size / Math.max(1, holders.size);
  const renewals = RENEWALS_PER_LEASE * perHost;
  const least = Math.ceil(renewals * 1000 / MAX_FORWARDS_PER_SECOND);
  return Math.max(options.lease, least);
}
