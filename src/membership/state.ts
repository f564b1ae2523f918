/** State, events, effects and time constants of membership at one host.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/membership_types.ts";
import type * as member from "./member.ts";
import type * as gossipQueues from "./gossip_queue.ts";

/** Interval between pings. */
export const PROBE_INTERVAL_MS = 1000;
/** Time without an ack after which other hosts are asked to ping the subject. */
export const ACK_TIMEOUT_MS = 400;
/** Time without an ack after which the subject is suspected. */
export const PROBE_TIMEOUT_MS = 1000;
/** Time that a suspect has to refute the suspicion before it is declared
 * dead. */
export const SUSPICION_TIMEOUT_MS = 3000;
/** Delay before updates are sent, so that several share a message. */
export const UPDATE_DELAY_MS = 100;
/** Maximum number of members in one message. */
export const MAX_UPDATES_PER_MESSAGE = 32;
/** Number of hosts asked to ping a subject that does not answer. */
export const INDIRECT_PROBE_COUNT = 3;
/** Interval between attempts to reach a dead host. */
export const RECONNECT_INTERVAL_MS = 10_000;
/** Interval between attempts to reach a seed while no other host is known to
 * be alive. */
export const JOIN_INTERVAL_MS = 500;
/** Time without changes after which replicas are expected to be equal. */
export const SETTLE_TIME_MS = 1000;
/** Minimum interval between replica comparisons while the replica changes. */
export const SYNC_INTERVAL_MS = 10_000;
/** How long a dead host is kept and reconnection attempts continue. */
export const DEAD_RETENTION_MS = 7_200_000;
/** Maximum number of dead hosts kept; the oldest are discarded first. */
export const MAX_DEAD_MEMBERS = 1024;
/** Lateness of a timer from which this process is assumed to have been
 * paused. */
export const PAUSE_THRESHOLD_MS = 1000;

/** Options of membership. */
export interface Options {
  /** This host. `incarnation` should grow with each start; a value that does
   * not is corrected when the host rejoins. */
  self: Omit<schema.Member, "status" | "sequence" | "drain">;
  /** Ids of the seed hosts in the settings. */
  seeds: readonly string[];
  random: runtime.Random;
}

/** Input of the state machine; `wake` when its timer has fired. */
export type Event =
  | { type: "wake" }
  | { type: "message"; from: string; body: schema.MembershipMessage }
  | { type: "drain"; reason: string }
  | { type: "resume" }
  | { type: "leave" };

/** Output of the state machine, carried out by the caller. A `wake` sets the
 * timer and replaces the previous one. */
export type Effect =
  | { type: "send"; to: string; body: schema.MembershipMessage }
  | { type: "notify"; change: Change }
  | { type: "wake"; at: number };

/** A change of the set of live hosts, reported to the rest of the process. */
export type Change =
  | { type: "joined"; member: member.Member }
  | { type: "changed"; member: member.Member }
  | { type: "died"; member: member.Member }
  | { type: "left"; member: member.Member };

/** A ping that awaits its ack. */
export interface Probe {
  number: number;
  subject: string;
  sentAt: number;
  relayed: boolean;
}

/** A ping sent on behalf of another host. */
export interface Relay {
  origin: string;
  /** Probe number at the origin. */
  probe: number;
  sentAt: number;
}

/** State of membership at one host; immutable. */
export interface State {
  readonly options: Options;
  readonly members: member.Members;
  /** Ids of live members, sorted. */
  readonly live: readonly string[];
  /** Hosts that this one probes in turn. */
  readonly subjects: readonly string[];
  /** Hosts that this one sends updates to. */
  readonly neighbours: readonly string[];
  readonly probe: Probe | undefined;
  /** Pings sent on behalf of other hosts, by ping number. */
  readonly relays: ReadonlyMap<number, Relay>;
  /** Number of the last ping. */
  readonly lastPing: number;
  readonly nextProbe: number;
  readonly nextReconnect: number;
  readonly nextSync: number;
  /** When a live member was last added, changed or lost. */
  readonly changedAt: number;
  /** When each suspect will be declared dead. */
  readonly suspicionEnds: ReadonlyMap<string, number>;
  /** When each host that is dead or left was recorded as such. */
  readonly deadSince: ReadonlyMap<string, number>;
  readonly gossipQueue: gossipQueues.GossipQueue<Update>;
  readonly nextGossip: number;
  /** Time that the timer is set to. */
  readonly wakeAt: number;
}

/** An update to be sent to the neighbours. */
export interface Update {
  id: string;
  member: member.Member;
  /** Whether the compact form is enough for hosts that know the member. */
  isCompact: boolean;
}

/** A step in progress; its functions replace `state` and add effects. */
export interface Step {
  state: State;
  effects: Effect[];
  now: number;
}
