/** State of membership at one host, its events, effects and intervals.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/membership_types.ts";
import type * as member from "./member.ts";
import type * as outboxes from "./gossip_queue.ts";

/** A ping every so many milliseconds. */
export const PROBE_INTERVAL_MS = 1000;
/** Silence after which other hosts are asked to ping the subject. */
export const ACK_TIMEOUT_MS = 400;
/** Silence after which the subject is suspected. */
export const PROBE_TIMEOUT_MS = 1000;
/** Time that a suspect has to refute. */
export const SUSPICION_TIMEOUT_MS = 3000;
/** News waits so long for more news before it is sent on. */
export const UPDATE_DELAY_MS = 100;
/** Most members in one message. */
export const MAX_UPDATES_PER_MESSAGE = 32;
/** Hosts asked to ping a silent subject. */
export const INDIRECT_PROBE_COUNT = 3;
/** Between tries to reach a host that counts as dead. */
export const RECONNECT_INTERVAL_MS = 10_000;
/** Between tries to reach a seed while no other host is known to live. */
export const JOIN_INTERVAL_MS = 500;
/** A copy that has not changed for so long should equal that of others. */
export const SETTLE_TIME_MS = 1000;
/** Copies are compared at most this often, unless they are quiet. */
export const SYNC_INTERVAL_MS = 10_000;
/** A dead host is remembered, and tried, for so long. */
export const DEAD_RETENTION_MS = 7_200_000;
/** Most dead hosts remembered; the oldest are forgotten first. */
export const MAX_DEAD_MEMBERS = 1024;
/** A wake that comes so late shows that this process was paused. */
export const PAUSE_THRESHOLD_MS = 1000;

/** What a host needs to take part. */
export interface Options {
  /** This host; `incarnation` must grow with each start where it can. */
  self: Omit<schema.Member, "status" | "sequence" | "drain">;
  /** Ids of the hosts that the settings name. */
  seeds: readonly string[];
  random: runtime.Random;
}

/** What happens to membership at a host. */
export type Event =
  | { type: "wake" }
  | { type: "message"; from: string; body: schema.MembershipMessage }
  | { type: "drain"; reason: string }
  | { type: "resume" }
  | { type: "leave" };

/** What the shell does for membership. A `wake` replaces the last one. */
export type Effect =
  | { type: "send"; to: string; body: schema.MembershipMessage }
  | { type: "notify"; change: Change }
  | { type: "wake"; at: number };

/** A change of the hosts that live, for the other parts of a host. */
export type Change =
  | { type: "joined"; member: member.Member }
  | { type: "changed"; member: member.Member }
  | { type: "died"; member: member.Member }
  | { type: "left"; member: member.Member };

/** A ping that waits for its ack. */
export interface Probe {
  number: number;
  subject: string;
  sentAt: number;
  relayed: boolean;
}

/** A ping sent for another host. */
export interface Relay {
  origin: string;
  /** Number of the probe at its origin. */
  probe: number;
  sentAt: number;
}

/** All of membership at one host; never changed in place. */
export interface State {
  readonly options: Options;
  readonly members: member.Members;
  /** Ids of live members, sorted. */
  readonly live: readonly string[];
  /** Hosts that this one pings in turn. */
  readonly subjects: readonly string[];
  /** Hosts that this one passes news to. */
  readonly neighbours: readonly string[];
  readonly probe: Probe | undefined;
  readonly relays: ReadonlyMap<number, Relay>;
  /** Number of the last ping. */
  readonly lastPing: number;
  readonly nextProbe: number;
  readonly nextReconnect: number;
  readonly nextSync: number;
  /** When a live member was last added, changed or lost. */
  readonly changedAt: number;
  /** When each suspect is declared dead. */
  readonly suspicionEnds: ReadonlyMap<string, number>;
  /** When each dead host was declared so. */
  readonly deadSince: ReadonlyMap<string, number>;
  readonly gossipQueue: outboxes.GossipQueue<Update>;
  readonly nextGossip: number;
  /** The wake that was asked for last. */
  readonly wakeAt: number;
}

/** A change on its way to the neighbours. */
export interface Update {
  id: string;
  member: member.Member;
  /** Whether hosts that know the member need the short form only. */
  isCompact: boolean;
}

/** One step under way: the state may be replaced until it is done. */
export interface Step {
  state: State;
  effects: Effect[];
  now: number;
}
