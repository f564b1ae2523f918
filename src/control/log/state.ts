/** State of a replica, with the events it takes and the effects it gives.
 * @module */

import type * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/log_types.ts";
import type * as entries from "./entries.ts";
import type * as members from "./members.ts";

/** Times in milliseconds. `lease` must end before `electionLeast` even on a
 * clock that runs slow against another's by the quotient of the two. */
export interface Timing {
  readonly heartbeat: number;
  readonly minElectionTimeout: number;
  readonly maxElectionTimeout: number;
  readonly lease: number;
  /** A learner that is silent for so long is dropped, and a voter whose host
   * the settings no longer name. */
  readonly inactivityTimeout: number;
}

/** Defaults: links of a few milliseconds, clocks that differ by up to a
 * quarter of their rate. */
export const DEFAULT_TIMING: Timing = {
  heartbeat: 200,
  minElectionTimeout: 600,
  maxElectionTimeout: 900,
  lease: 480,
  inactivityTimeout: 10_000,
};

/** Sizes in entries, but for `characters` and `chunk` in characters. */
export interface Sizes {
  /** Most entries in one message. */
  readonly maxBatchEntries: number;
  /** Most of the entries in one message, unless one alone is larger. */
  readonly maxBatchCharacters: number;
  /** Most entries on their way to one follower. */
  readonly maxInFlightEntries: number;
  /** Entries applied since the last snapshot that call for another. */
  readonly snapshotInterval: number;
  /** Characters of the last snapshot that put the next one off by an entry, so
   * that large ones are taken less often. */
  readonly charactersPerEntry: number;
  /** Entries kept behind a snapshot for followers that lag. */
  readonly trailingEntries: number;
  /** Most of a snapshot in one message. */
  readonly chunkCharacters: number;
}

/** Default sizes. */
export const DEFAULT_SIZES: Sizes = {
  maxBatchEntries: 256,
  maxBatchCharacters: 256 * 1024,
  maxInFlightEntries: 1024,
  snapshotInterval: 2000,
  charactersPerEntry: 200,
  trailingEntries: 500,
  chunkCharacters: 64 * 1024,
};

/** State machine's state at a position, with the members there. */
export interface Snapshot {
  readonly position: entries.Position;
  readonly members: schema.Members;
  /** JSON text. */
  readonly data: string;
}

/** What a replica finds on its disk. */
export interface Durable {
  readonly term: number;
  readonly vote?: string;
  readonly snapshot?: Snapshot;
  /** Entries that follow on the snapshot. */
  readonly entries: readonly schema.Entry[];
}

/** What the part of a leader knows of one other replica. */
export interface Progress {
  /** Last index known to be durable there. */
  readonly match: number;
  readonly next: number;
  /** Whether `match` is known, so that appends may run ahead of answers. */
  readonly isMatchKnown: boolean;
  /** Leader's clock in the last message that it has answered. */
  readonly lastAcknowledged: number;
  /** When entries or a chunk were last sent. */
  readonly lastSent: number;
  /** When the leader first heard of it. */
  readonly trackedSince: number;
  /** Characters of the snapshot at `index` that it has. */
  readonly snapshot?: { readonly index: number; readonly offset: number };
}

/** A snapshot that arrives in chunks. */
export interface IncomingSnapshot {
  readonly leader: string;
  readonly term: number;
  readonly index: number;
  readonly parts: readonly string[];
  readonly offset: number;
}

/** A message that waits until a write is durable. */
export interface DeferredMessage {
  readonly write: number;
  readonly to: string;
  readonly body: schema.LogMessage;
}

/** Part that a replica plays now. */
export type Role = "follower" | "pre-candidate" | "candidate" | "leader";

/** Whole state of a replica. */
export interface State {
  readonly id: schema.ReplicaId;
  /** Hosts that the settings name as voters. */
  readonly desiredVoters: readonly string[];
  /** Other hosts that may hold a replica. */
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
  /** When a leader was last heard, or the replica started. */
  readonly lastLeaderContact: number;
  readonly electionAt: number;
  readonly votes: readonly string[];
  /** Whether this replica may found a log on an empty disk. */
  readonly isBootstrap: boolean;
  /** Least term of a log that this replica founds. */
  readonly minBootstrapTerm: number;
  /** First members while they are being agreed on; all must vote. */
  readonly initialVoters?: readonly string[];
  /** Empty folders found by probing, by host. */
  readonly emptyReplicas: Readonly<Record<string, string>>;
  readonly incomingSnapshot?: IncomingSnapshot;

  readonly progress: Readonly<Record<string, Progress>>;
  readonly heartbeatAt: number;
  /** Index of the entry that opened the leader's term. */
  readonly termStart: number;
  readonly electedAt: number;
  /** No answer to a message from before this time counts for the lease. */
  readonly leaseNotBefore: number;
  /** When the leader gives up waiting for the one it hands over to. */
  readonly transferDeadline?: number;
  /** The one that was asked to take over. */
  readonly transferTarget?: string;
  /** Folders that have asked the leader to be added, by host. */
  readonly joining: Readonly<Record<string, string>>;

  /** Writes asked for, and how many of them are durable. */
  readonly written: number;
  readonly synced: number;
  readonly deferred: readonly DeferredMessage[];
  readonly requestedSnapshot: number;
}

/** What happens to a replica. */
export type Event =
  | { type: "tick" }
  | { type: "message"; host: string; body: schema.LogMessage }
  | { type: "propose"; commands: readonly schema.Command[] }
  /** All writes up to and including number `write` are durable. */
  | { type: "synced"; write: number }
  /** The state machine's state at `index`, as asked for. */
  | { type: "snapshot"; index: number; data: string }
  /** Time has passed that the clock did not count. */
  | { type: "resumed" }
  | { type: "hosts"; hosts: readonly string[] }
  | { type: "contacts"; hosts: readonly string[] }
  /** Takes a replica out that will not come back. */
  | { type: "remove"; id: schema.ReplicaId }
  /** Asks a majority whether this replica still leads. */
  | { type: "confirm" }
  /** Hands leadership over before a stop. */
  | { type: "transfer" };

/** Something to be made durable. Entries replace all from the first's index
 * on. */
export type LogRecord =
  | { type: "vote"; term: number; vote?: string }
  | { type: "entries"; entries: readonly schema.Entry[] }
  | {
    type: "snapshot";
    snapshot: Snapshot;
    /** Entries that are kept behind it. */
    entries: readonly schema.Entry[];
    term: number;
    vote?: string;
  };

/** What the shell must do. */
export type Effect =
  | { type: "send"; to: string; body: schema.LogMessage }
  | { type: "persist"; write: number; record: LogRecord }
  | { type: "apply"; entries: readonly schema.Entry[] }
  /** Replaces the state machine's state. */
  | { type: "restore"; snapshot: Snapshot }
  /** The commands of the event stand from `index` on. */
  | { type: "appended"; index: number; term: number }
  /** The commands of the event were not taken. */
  | { type: "reject"; reason: "not-leader" | "no-quorum"; leader?: string }
  | { type: "role"; role: Role; term: number; leader?: string }
  /** The shell answers with a `snapshot` event. */
  | { type: "need-snapshot"; index: number };
