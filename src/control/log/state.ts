/** State of a Raft replica, the events it handles and the effects it returns.
 * @module */

import type * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/log_types.ts";
import type * as entries from "./entries.ts";
import type * as members from "./members.ts";

/** Time-outs in milliseconds. `lease` must be shorter than `minElectionTimeout`:
 * their ratio is the largest difference between the rates of two hosts' clocks
 * under which no other leader is elected while a lease is held. */
export interface Timing {
  /** Interval between heartbeats. */
  readonly heartbeat: number;
  readonly minElectionTimeout: number;
  readonly maxElectionTimeout: number;
  readonly lease: number;
  /** Time without an answer after which a learner is removed, and a voter
   * whose host is no longer in the settings. */
  readonly inactivityTimeout: number;
}

/** Default time-outs for network delays of a few milliseconds and clocks whose
 * rates differ by up to a quarter. */
export const DEFAULT_TIMING: Timing = {
  heartbeat: 200,
  minElectionTimeout: 600,
  maxElectionTimeout: 900,
  lease: 480,
  inactivityTimeout: 10_000,
};

/** Limits on batches, snapshots and the log, in entries unless the name says
 * characters. */
export interface Sizes {
  /** Maximum number of entries in one message. */
  readonly maxBatchEntries: number;
  /** Maximum size of the entries in one message. A larger single entry is sent
   * alone. */
  readonly maxBatchCharacters: number;
  /** Maximum number of unacknowledged entries per follower. */
  readonly maxInFlightEntries: number;
  /** Minimum number of entries applied between two snapshots. */
  readonly snapshotInterval: number;
  /** The next snapshot is due only after one entry for each so many characters
   * of the last snapshot, so that large snapshots are taken less often. */
  readonly charactersPerEntry: number;
  /** Number of entries before a snapshot that are kept for lagging
   * followers. */
  readonly trailingEntries: number;
  /** Maximum size of a snapshot chunk in one message. */
  readonly chunkCharacters: number;
}

/** Default limits. */
export const DEFAULT_SIZES: Sizes = {
  maxBatchEntries: 256,
  maxBatchCharacters: 256 * 1024,
  maxInFlightEntries: 1024,
  snapshotInterval: 2000,
  charactersPerEntry: 200,
  trailingEntries: 500,
  chunkCharacters: 64 * 1024,
};

/** State of the state machine at a log position, with the members at that
 * position. */
export interface Snapshot {
  readonly position: entries.Position;
  readonly members: schema.Members;
  /** State as JSON text. */
  readonly data: string;
}

/** State that a replica recovers from its disk. */
export interface Durable {
  readonly term: number;
  readonly vote?: string;
  readonly snapshot?: Snapshot;
  /** Entries after the snapshot's position. */
  readonly entries: readonly schema.Entry[];
}

/** Leader's view of another replica. */
export interface Progress {
  /** Last index known to be durable on the replica. */
  readonly match: number;
  /** Index of the next entry to send. */
  readonly next: number;
  /** Whether `match` is confirmed, so that appends are pipelined without
   * waiting for answers. */
  readonly isMatchKnown: boolean;
  /** Time on the leader's clock at which the last acknowledged message was
   * sent. */
  readonly lastAcknowledged: number;
  /** Time at which entries or a snapshot chunk were last sent. */
  readonly lastSent: number;
  /** Time at which the leader began to track the replica. */
  readonly trackedSince: number;
  /** Number of characters received of the snapshot at `index`. */
  readonly snapshot?: { readonly index: number; readonly offset: number };
}

/** A partially received snapshot. */
export interface IncomingSnapshot {
  readonly leader: string;
  readonly term: number;
  readonly index: number;
  readonly parts: readonly string[];
  readonly offset: number;
}

/** A message that is sent once a write is durable. */
export interface DeferredMessage {
  readonly write: number;
  readonly to: string;
  readonly body: schema.LogMessage;
}

/** Raft role of a replica. */
export type Role = "follower" | "pre-candidate" | "candidate" | "leader";

/** Complete state of a replica. */
export interface State {
  readonly id: schema.ReplicaId;
  /** Hosts that the settings configure as voters. */
  readonly desiredVoters: readonly string[];
  /** Other hosts that may run a replica. */
  readonly knownHosts: readonly string[];
  readonly timing: Timing;
  readonly sizes: Sizes;
  readonly random: runtime.Random;

  readonly term: number;
  readonly vote?: string;
  readonly log: entries.Entries;
  readonly snapshot?: Snapshot;
  readonly configurations: readonly members.Configuration[];
  readonly commit: number;
  readonly applied: number;

  readonly role: Role;
  readonly leader?: string;
  /** Time of the last message from a leader, initially the replica's start. */
  readonly lastLeaderContact: number;
  readonly electionAt: number;
  readonly votes: readonly string[];
  /** Whether a voter has denied this candidate its vote in the current term. */
  readonly isDenied: boolean;
  /** Whether this candidate or pre-candidate has asked for votes in vain
   * before. */
  readonly hasRetried: boolean;
  /** Whether this replica may bootstrap a new log on an empty disk. */
  readonly isBootstrap: boolean;
  /** Minimum first term of a log that this replica bootstraps. */
  readonly minBootstrapTerm: number;
  /** Voters of a new log during its bootstrap election, which needs the votes
   * of all of them. */
  readonly initialVoters?: readonly string[];
  /** Ids of replicas that reported an empty log when probed, by host. */
  readonly emptyReplicas: Readonly<Record<string, string>>;
  readonly incomingSnapshot?: IncomingSnapshot;

  readonly progress: Readonly<Record<string, Progress>>;
  readonly heartbeatAt: number;
  /** Index of the first entry of the leader's term. */
  readonly termStart: number;
  readonly electedAt: number;
  /** Answers to messages sent before this time don't extend the lease. */
  readonly leaseNotBefore: number;
  /** Time at which the leader steps down if a leadership transfer has not
   * completed; absent without a transfer. */
  readonly transferDeadline?: number;
  /** Replica that was asked to take over leadership. */
  readonly transferTarget?: string;
  /** Ids of replicas that have asked the leader to be added, by host. */
  readonly joining: Readonly<Record<string, string>>;

  /** Number of the last requested write. */
  readonly written: number;
  /** Number of the last durable write. */
  readonly synced: number;
  readonly deferred: readonly DeferredMessage[];
  /** Index of the last requested snapshot. */
  readonly requestedSnapshot: number;
}

/** Input of a replica. */
export type Event =
  | { type: "tick" }
  | { type: "message"; host: string; body: schema.LogMessage }
  | { type: "propose"; commands: readonly schema.Command[] }
  /** Writes up to and including number `write` are durable. */
  | { type: "synced"; write: number }
  /** State of the state machine at `index`, in answer to `need-snapshot`. */
  | { type: "snapshot"; index: number; data: string }
  /** The host resumed after a pause that the monotonic clock did not count. */
  | { type: "resumed" }
  /** The configured voters have changed. */
  | { type: "hosts"; hosts: readonly string[] }
  /** Other hosts that may run a replica have changed. */
  | { type: "contacts"; hosts: readonly string[] }
  /** Removes a replica that will not return. */
  | { type: "remove"; id: schema.ReplicaId }
  /** Starts a round of heartbeats that confirms leadership for reads. */
  | { type: "confirm" }
  /** Transfers leadership before a shutdown. */
  | { type: "transfer" };

/** How a voter answered a vote request. It ignores requests when it has heard a
 * leader within the minimum election timeout, and pre-votes while it is a
 * candidate that may still win, or before a rival in the same position. */
export type VoteOutcome =
  | "granted"
  | "leader-heard"
  | "candidate"
  | "rival"
  | "term-outdated"
  | "voted-for-another"
  | "log-behind";

/** Answer to a vote request. */
export interface VoteDecision {
  /** Host that asks for the vote. */
  readonly candidate: string;
  /** Term that the candidate asks for. */
  readonly term: number;
  readonly isPreVote: boolean;
  readonly outcome: VoteOutcome;
  /** Milliseconds since a leader was last heard. */
  readonly leaderHeardMs: number;
}

/** What a voter does when its election timeout passes: it starts a pre-vote, or
 * asks once more for votes that no voter has denied. */
export type ElectionAction = "pre-vote" | "repeat";

/** An election timeout of a voter. */
export interface ElectionTimeout {
  readonly action: ElectionAction;
  /** Current term; that of the votes when they are asked for again. */
  readonly term: number;
  /** Hosts whose votes this host had received before. */
  readonly votes: readonly string[];
  /** Milliseconds since a leader was last heard. */
  readonly leaderHeardMs: number;
}

/** A record to persist. Entries replace all stored entries from the index of
 * their first one on. */
export type LogRecord =
  | { type: "vote"; term: number; vote?: string }
  | { type: "entries"; entries: readonly schema.Entry[] }
  | {
    type: "snapshot";
    snapshot: Snapshot;
    /** Entries after the snapshot. */
    entries: readonly schema.Entry[];
    term: number;
    vote?: string;
  };

/** Output of a replica that the runner carries out. */
export type Effect =
  | { type: "send"; to: string; body: schema.LogMessage }
  | { type: "persist"; write: number; record: LogRecord }
  | { type: "apply"; entries: readonly schema.Entry[] }
  /** Replaces the state of the state machine by a snapshot. */
  | { type: "restore"; snapshot: Snapshot }
  /** The proposed commands were appended to the log from `index` on. */
  | { type: "appended"; index: number; term: number }
  /** The proposed commands were rejected. */
  | { type: "reject"; reason: "not-leader" | "no-quorum"; leader?: string }
  | { type: "role"; role: Role; term: number; leader?: string }
  | { type: "vote-decision"; decision: VoteDecision }
  | { type: "election-timeout"; timeout: ElectionTimeout }
  /** Requests a `snapshot` event with the state at `index`. */
  | { type: "need-snapshot"; index: number };
