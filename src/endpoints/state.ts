/** State, events, effects and time constants of the registry of one host.
 * @module */

import type * as membership from "../membership/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as announcements from "../schema/endpoint_types.ts";
import type * as schema from "../schema/registry_types.ts";
import type * as entries from "./entry.ts";
import type * as leaseHolder from "./lease_holder.ts";

/** Delay before updates are sent, so that several share a message. */
export const UPDATE_DELAY_MS = 100;
/** Maximum number of entries in one message. */
export const MAX_UPDATES_PER_MESSAGE = 32;
/** Delay before renewals are forwarded, so that those for the same lease holder
 * share a message. */
export const RENEWAL_DELAY_MS = 100;
/** Added to each lease for the time a renewal takes to reach the holder. */
export const FORWARD_SLACK_MS = 2 * RENEWAL_DELAY_MS;
/** Mean interval at which the root hash is sent to a neighbour. */
export const ROOT_HASH_INTERVAL_MS = 2000;
/** Time without changes after which replicas are expected to be equal. */
export const SETTLE_TIME_MS = 1000;
/** Interval after which replicas are compared even while they change. */
export const SYNC_INTERVAL_MS = 10_000;
/** Maximum rate of renewals that a host forwards. Leases are lengthened when a
 * fleet has too many endpoints per host to stay below it. */
export const MAX_FORWARDS_PER_SECOND = 6;
/** Number of renewals that an endpoint sends per lease. */
export const RENEWALS_PER_LEASE = 3;
/** Added to the first lease granted by a new holder, since other hosts may
 * still send renewals to the previous one. */
export const TAKEOVER_GRACE_MS = 2000;
/** Time after which an endpoint that states no incarnation may go back from
 * draining to ready, or rejoin after it left. */
export const REVERT_DELAY_MS = 5000;
/** Time after which an endpoint that left may rejoin with the same incarnation;
 * longer than a renewal sent before the leave can be in transit. */
export const REJOIN_DELAY_MS = 30_000;
/** How long the tombstone of an endpoint that left or expired is kept. */
export const TOMBSTONE_RETENTION_MS = 600_000;
/** Maximum number of tombstones; the oldest are discarded first. */
export const MAX_TOMBSTONES = 4096;

/** Options of a registry. */
export interface Options {
  host: string;
  /** Minimum lease in milliseconds. */
  lease: number;
  random: runtime.Random;
}

/** Input of the registry's state machine. */
export type Event =
  /** The timer has fired. */
  | { type: "wake" }
  | { type: "message"; from: string; body: schema.RegistryMessage }
  /** The live hosts, and the neighbours to which this one sends updates. */
  | {
    type: "hosts";
    hosts: readonly leaseHolder.Host[];
    neighbours: readonly string[];
  }
  /** An endpoint registers, changes or renews its lease. */
  | { type: "announce"; id: string; announcement: announcements.Announcement }
  /** An endpoint leaves. */
  | { type: "depart"; id: string; incarnation?: number };

/** Output of the registry's state machine, carried out by the caller. A `wake`
 * sets the timer and replaces the previous one. */
export type Effect =
  | { type: "send"; to: string; body: schema.RegistryMessage }
  | { type: "notify"; change: Change }
  /** An announcement is accepted; `lease` in milliseconds. */
  | { type: "accept"; id: string; lease: number }
  /** An announcement is refused since it was sent before the endpoint left or
   * restarted. */
  | { type: "refuse"; id: string; reason: Refusal }
  | { type: "wake"; at: number };

/** Why an announcement is refused: the endpoint has left, or a later
 * incarnation is known. */
export type Refusal = "left" | "stale";

/** A change of the set of serving endpoints. */
export type Change =
  | { type: "joined"; entry: entries.ServingEntry }
  | { type: "changed"; entry: entries.ServingEntry }
  | { type: "left"; id: string }
  | { type: "expired"; id: string };

/** An update to be sent to the neighbours. */
export interface Update {
  id: string;
  entry: entries.Entry;
}

/** State of the registry of one host; immutable. */
export interface State {
  readonly options: Options;
  readonly entries: entries.Entries;
  readonly leaseHolders: leaseHolder.LeaseHolders;
  readonly neighbours: readonly string[];
  /** When each lease held by this host expires, by endpoint. */
  readonly leases: ReadonlyMap<string, number>;
  /** Lower bound on the earliest expiry of a lease. */
  readonly nextExpiry: number;
  /** When each endpoint that is not ready began to drain, left or expired. */
  readonly notReadySince: ReadonlyMap<string, number>;
  /** Generations of endpoints whose renewals are to be forwarded, by lease
   * holder, then by endpoint. */
  readonly renewals: ReadonlyMap<string, ReadonlyMap<string, number>>;
  readonly nextRenewal: number;
  readonly gossipQueue: membership.gossipQueue.GossipQueue<Update>;
  readonly nextGossip: number;
  readonly nextRootHash: number;
  readonly nextSync: number;
  readonly changedAt: number;
  /** Whether this replica has been equal to that of another host once. */
  readonly hasSynced: boolean;
  readonly wakeAt: number;
}

/** A step in progress; its functions replace `state` and add effects. */
export interface Step {
  state: State;
  effects: Effect[];
  now: number;
}

/** Returns the lease granted to endpoints. It grows with the number of
 * endpoints per host, which bounds the rate of renewals per host. */
export function leaseDuration(
  { options, entries, leaseHolders }: State,
): number {
  const perHost = entries.size / Math.max(1, leaseHolders.size);
  const renewals = RENEWALS_PER_LEASE * perHost;
  const minimum = Math.ceil(renewals * 1000 / MAX_FORWARDS_PER_SECOND);
  return Math.max(options.lease, minimum);
}
