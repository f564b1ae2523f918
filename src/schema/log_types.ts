/** Types generated from schema/log.yaml.
 * @module */

/**
 * Messages between replicas of the log. `from` and `to` are the incarnations of
 * the two data folders; the hosts stand in the envelope. An empty `to` means
 * whichever folder the host has now.
 *
 */
export type LogMessage =
  | Probe
  | Probed
  | VoteRequest
  | Vote
  | Heartbeat
  | HeartbeatReply
  | Append
  | Appended
  | SnapshotChunk
  | SnapshotReply
  | TimeoutNow;
export type Incarnation = string;
export type Count = number;
/**
 * Host and incarnation of its data folder, joined by a tilde.
 */
export type ReplicaId = string;
/**
 * Last index known to match; when refused, where to try next.
 */
export type Count1 = number;

/**
 * Asks a host whether its log is empty; asks a leader to be added.
 */
export interface Probe {
  type: "probe";
  from: Incarnation;
  to: Incarnation;
}
export interface Probed {
  type: "probed";
  from: Incarnation;
  to: Incarnation;
  empty: boolean;
}
export interface VoteRequest {
  type: "vote-request";
  from: Incarnation;
  to: Incarnation;
  term: Count;
  lastIndex: Count;
  lastTerm: Count;
  /**
   * Asks without raising the term.
   */
  pre?: boolean;
  /**
   * The leader has asked for it.
   */
  transfer?: boolean;
}
export interface Vote {
  type: "vote";
  from: Incarnation;
  to: Incarnation;
  term: Count;
  granted: boolean;
  pre?: boolean;
}
export interface Heartbeat {
  type: "heartbeat";
  from: Incarnation;
  to: Incarnation;
  term: Count;
  commit: Count;
  /**
   * Leader's clock; echoed by the reply.
   */
  at: number;
}
export interface HeartbeatReply {
  type: "heartbeat-reply";
  from: Incarnation;
  to: Incarnation;
  term: Count;
  at: number;
}
export interface Append {
  type: "append";
  from: Incarnation;
  to: Incarnation;
  term: Count;
  previous: Count;
  previousTerm: Count;
  entries: Entry[];
  commit: Count;
  at: number;
}
/**
 * An entry without command or members opens a term.
 */
export interface Entry {
  index: Count;
  term: Count;
  command?: Command;
  members?: Members;
}
/**
 * Opaque to the log but for its id and type.
 */
export interface Command {
  id: string;
  type: string;
  [k: string]: unknown;
}
export interface Members {
  voters: ReplicaId[];
  learners: ReplicaId[];
}
export interface Appended {
  type: "appended";
  from: Incarnation;
  to: Incarnation;
  term: Count;
  ok: boolean;
  previous: Count;
  match: Count1;
  at: number;
}
export interface SnapshotChunk {
  type: "snapshot";
  from: Incarnation;
  to: Incarnation;
  term: Count;
  index: Count;
  indexTerm: Count;
  members: Members;
  offset: Count;
  length: Count;
  data: string;
  at: number;
}
export interface SnapshotReply {
  type: "snapshot-reply";
  from: Incarnation;
  to: Incarnation;
  term: Count;
  index: Count;
  offset: Count;
  at: number;
}
/**
 * Asks a follower to stand for election at once.
 */
export interface TimeoutNow {
  type: "timeout-now";
  from: Incarnation;
  to: Incarnation;
  term: Count;
}
