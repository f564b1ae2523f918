/** A Raft replica as an immutable value without I/O.
 * @module */

import type * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/log_types.ts";
import * as drafts from "./draft.ts";
import * as election from "./election.ts";
import * as entries from "./entries.ts";
import * as follower from "./follower.ts";
import * as lease from "./lease.ts";
import * as membershipChange from "./membership_change.ts";
import * as replicaId from "./replica_id.ts";
import * as replication from "./replication.ts";
import * as snapshots from "./snapshots.ts";
import * as states from "./state.ts";
import * as transfer from "./transfer.ts";

/** Options of a replica. */
export interface ReplicaOptions {
  readonly id: schema.ReplicaId;
  /** Hosts that the settings configure as voters. */
  readonly hosts: readonly string[];
  readonly random: runtime.Random;
  readonly now: number;
  /** Whether it may bootstrap a new log on an empty disk; defaults to true. */
  readonly isBootstrap?: boolean;
  /** Minimum first term of a log that it bootstraps; defaults to 0. */
  readonly minBootstrapTerm?: number;
  /** State recovered from the disk; absent for an empty data folder. */
  readonly durable?: states.Durable;
  readonly timing?: Partial<states.Timing>;
  readonly sizes?: Partial<states.Sizes>;
}

/** Result of a step: the next value of the replica, and the effects to carry
 * out. */
export interface Step {
  readonly replica: Replica;
  readonly effects: readonly states.Effect[];
}

/** A replica of the log. `step` returns the next value and leaves this one
 * unchanged. */
export class Replica {
  readonly state: states.State;

  private constructor(state: states.State) {
    this.state = state;
  }

  /** Creates a replica at its start. It takes part in no election until the
   * minimum election timeout has passed, because it may have acknowledged a
   * leader's lease just before its restart. */
  static create(options: ReplicaOptions): Replica {
    const draft = drafts.create(initial(options), options.now);
    replication.recordMembers(draft, options.durable?.entries ?? []);
    drafts.resetElectionTimer(draft);
    return new Replica(Object.freeze(draft.state));
  }

  /** Handles one event. */
  step(event: states.Event, now: number): Step {
    const draft = drafts.create(this.state, now);
    const handler = handlers[event.type] as Handler<states.Event>;
    handler(draft, event);
    while (draft.selfMessages.length > 0) {
      receive(draft, this.id, draft.selfMessages.shift()!);
    }
    const replica = new Replica(Object.freeze(draft.state));
    return { replica, effects: draft.effects };
  }

  get id(): schema.ReplicaId {
    return this.state.id;
  }

  /** Time at which the next `tick` is due. */
  get wakeAt(): number {
    const { role, heartbeatAt, electionAt } = this.state;
    return role === "leader" ? heartbeatAt : electionAt;
  }

  /** Current members. */
  get members(): schema.Members {
    return drafts.currentMembers(this.state);
  }

  /** Hosts that this replica probes to be added while it is no member. */
  get probeTargets(): string[] {
    return election.probeTargets(this.state);
  }

  /** Whether this replica holds the leader lease. `now` must be a fresh reading
   * of the clock. */
  leaseHeld(now: number): boolean {
    return lease.isHeld(this.state, now);
  }

  /** Whether the local state machine can serve linearizable reads at `now`: the
   * lease is held and an entry of the leader's term is committed. */
  isReadable(now: number): boolean {
    const { commit, termStart } = this.state;
    return this.leaseHeld(now) && commit >= termStart;
  }

  /** Whether a majority has answered messages that this leader sent at `time` or
   * later, so that no other leader had been elected by then. */
  isConfirmed(time: number): boolean {
    const { role, commit, termStart } = this.state;
    return role === "leader" && commit >= termStart &&
      lease.lastMajorityContact(this.state) >= time;
  }

  /** Expiry time of the lease; `-Infinity` without one. */
  get leaseUntil(): number {
    return lease.expiry(this.state);
  }
}

type Handler<E> = (draft: drafts.Draft, event: E) => void;
type EventOf<T> = Extract<states.Event, { type: T }>;
type MessageOf<T> = Extract<schema.LogMessage, { type: T }>;

const handlers: { [T in states.Event["type"]]: Handler<EventOf<T>> } = {
  tick,
  message(draft, { host, body }) {
    const own = replicaId.incarnation(draft.state.id);
    if (body.to !== "" && body.to !== own) return;
    receive(draft, replicaId.create(host, body.from), body);
  },
  propose: (draft, { commands }) => replication.propose(draft, commands),
  synced: (draft, { write }) => drafts.handleSynced(draft, write),
  snapshot: (draft, { index, data }) => snapshots.take(draft, index, data),
  resumed(draft) {
    draft.state.leaseNotBefore = draft.now;
  },
  hosts(draft, { hosts }) {
    draft.state.desiredVoters = hosts;
  },
  contacts(draft, { hosts }) {
    draft.state.knownHosts = hosts;
  },
  remove: (draft, { id }) => membershipChange.remove(draft, id),
  confirm(draft) {
    if (draft.state.role === "leader") runLeaderDuties(draft);
  },
  transfer: (draft) => transfer.start(draft),
};

type Receiver<T> = (
  draft: drafts.Draft,
  from: string,
  body: MessageOf<T>,
) => void;

const receivers: { [T in schema.LogMessage["type"]]: Receiver<T> } = {
  probe: election.handleProbe,
  probed: election.handleProbed,
  "vote-request": election.handleVoteRequest,
  vote: election.handleVote,
  "timeout-now": election.handleTimeoutNow,
  heartbeat: follower.handleHeartbeat,
  append: follower.handleAppend,
  snapshot: follower.handleChunk,
  "heartbeat-reply": forLeader(replication.handleHeartbeatReply),
  appended: forLeader(replication.handleAppended),
  "snapshot-reply": forLeader(snapshots.handleReply),
};

function receive(
  draft: drafts.Draft,
  from: string,
  body: schema.LogMessage,
): void {
  const receiver = receivers[body.type] as Receiver<schema.LogMessage["type"]>;
  receiver(draft, from, body);
}

/** Wraps a handler of answers to a leader: it runs only on the leader of the
 * answer's term, and a later term makes the replica a follower. */
function forLeader<M extends schema.LogMessage & { term: number }>(
  receiver: (draft: drafts.Draft, from: string, body: M) => void,
): (draft: drafts.Draft, from: string, body: M) => void {
  return (draft, from, body) => {
    const { role, term } = draft.state;
    if (body.term > term) drafts.becomeFollower(draft, body.term);
    else if (role === "leader" && body.term === term) {
      receiver(draft, from, body);
    }
  };
}

function tick(draft: drafts.Draft): void {
  const { state, now } = draft;
  if (state.role !== "leader") {
    if (now >= state.electionAt) election.handleElectionTimeout(draft);
    return;
  }
  if (now >= state.heartbeatAt) runLeaderDuties(draft);
}

/** Steps down if the leader has lost its majority or a transfer has expired;
 * otherwise changes the membership and sends heartbeats. All of this runs on every round of heartbeats, because each round postpones the
 * next tick: rounds caused by reads would otherwise keep the duties of the tick
 * from ever running. */
function runLeaderDuties(draft: drafts.Draft): void {
  const { state, now } = draft;
  const lastContact = Math.max(
    lease.lastMajorityContact(state),
    state.electedAt,
  );
  const hasLostMajority = lastContact + state.timing.maxElectionTimeout <= now;
  const hasTransferExpired = now >= (state.transferDeadline ?? Infinity);
  if (hasLostMajority || hasTransferExpired) {
    return drafts.becomeFollower(draft, state.term);
  }
  membershipChange.reconcile(draft);
  if (state.role === "leader") replication.sendHeartbeats(draft);
}

function initial(options: ReplicaOptions): states.State {
  const { id, hosts, random, now, durable } = options;
  const { isBootstrap = true, minBootstrapTerm = 0 } = options;
  const snapshot = durable?.snapshot;
  const index = snapshot?.position.index ?? 0;
  const log = entries.Entries.create(snapshot?.position)
    .append(durable?.entries ?? []);
  return {
    id,
    desiredVoters: hosts,
    knownHosts: [],
    random,
    timing: { ...states.DEFAULT_TIMING, ...options.timing },
    sizes: { ...states.DEFAULT_SIZES, ...options.sizes },
    term: durable?.term ?? 0,
    vote: durable?.vote,
    log,
    snapshot,
    configurations: snapshot ? [{ index, members: snapshot.members }] : [],
    commit: index,
    applied: index,
    role: "follower",
    lastLeaderContact: now,
    electionAt: now,
    votes: [],
    isDenied: false,
    hasRetried: false,
    isBootstrap,
    minBootstrapTerm,
    emptyReplicas: {},
    progress: {},
    heartbeatAt: now,
    termStart: 0,
    electedAt: now,
    leaseNotBefore: -Infinity,
    joining: {},
    written: 0,
    synced: 0,
    deferred: [],
    requestedSnapshot: index,
  };
}
