/** One replica of the log as an immutable value.
 * @module */

import type * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/log_types.ts";
import * as change from "./membership_change.ts";
import * as drafts from "./draft.ts";
import * as election from "./election.ts";
import * as entries from "./entries.ts";
import * as follower from "./follower.ts";
import * as lease from "./lease.ts";
import * as replicaId from "./replica_id.ts";
import * as replication from "./replication.ts";
import * as snapshots from "./snapshots.ts";
import * as states from "./state.ts";
import * as transfer from "./transfer.ts";

/** What a replica starts from. */
export interface ReplicaOptions {
  readonly id: schema.ReplicaId;
  /** Hosts that the settings name as voters. */
  readonly hosts: readonly string[];
  readonly random: runtime.Random;
  readonly now: number;
  /** Whether it may found a log on an empty disk; it may when absent. */
  readonly isBootstrap?: boolean;
  /** Least term of a log that this replica founds; 0 when absent. */
  readonly minBootstrapTerm?: number;
  /** What the disk holds; nothing on a new folder. */
  readonly durable?: states.Durable;
  readonly timing?: Partial<states.Timing>;
  readonly sizes?: Partial<states.Sizes>;
}

/** The next value of a replica, and what the shell must do. */
export interface Step {
  readonly replica: Replica;
  readonly effects: readonly states.Effect[];
}

/** A replica of the log. `step` leaves it as it is and gives the next one. */
export class Replica {
  readonly state: states.State;

  private constructor(state: states.State) {
    this.state = state;
  }

  /** A replica that has just started. Until an election timeout has passed it
   * takes part in no election: it may have heard a leader before. */
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

  /** When `tick` is due. */
  get wakeAt(): number {
    const { role, heartbeatAt, electionAt } = this.state;
    return role === "leader" ? heartbeatAt : electionAt;
  }

  /** The members that count now. */
  get members(): schema.Members {
    return drafts.currentMembers(this.state);
  }

  /** Hosts that it asks to be taken in while it is no member. */
  get probeTargets(): string[] {
    return election.probeTargets(this.state);
  }

  /** Whether this replica may order and serve reads; `now` is read afresh. */
  leaseHeld(now: number): boolean {
    return lease.isHeld(this.state, now);
  }

  /** Whether the state machine has all that was accepted before `now`. */
  isReadable(now: number): boolean {
    const { commit, termStart: opened } = this.state;
    return this.leaseHeld(now) && commit >= opened;
  }

  /** Whether a majority has answered what this leader sent at `time` or later,
   * so that no other had been elected by then. */
  isConfirmed(time: number): boolean {
    const { role, commit, termStart: opened } = this.state;
    return role === "leader" && commit >= opened &&
      lease.lastMajorityContact(this.state) >= time;
  }

  /** When the lease ends; `-Infinity` without one. */
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
  remove: (draft, { id }) => change.remove(draft, id),
  confirm(draft) {
    if (draft.state.role === "leader") lead(draft);
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
  "heartbeat-reply": ofTerm(replication.handleHeartbeatReply),
  appended: ofTerm(replication.handleAppended),
  "snapshot-reply": ofTerm(snapshots.handleReply),
};

function receive(
  draft: drafts.Draft,
  from: string,
  body: schema.LogMessage,
): void {
  const receiver = receivers[body.type] as Receiver<schema.LogMessage["type"]>;
  receiver(draft, from, body);
}

/** Passes on answers to a leader of their term; steps down for a later one. */
function ofTerm<M extends schema.LogMessage & { term: number }>(
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
  if (now >= state.heartbeatAt) lead(draft);
}

/** What a leader owes whenever it sends signs of life: each sending puts the
 * next one off, so that duties done at other times might never come. */
function lead(draft: drafts.Draft): void {
  const { state, now } = draft;
  const heard = Math.max(lease.lastMajorityContact(state), state.electedAt);
  const isAlone = heard + state.timing.maxElectionTimeout <= now;
  const hasHandedOver = now >= (state.transferDeadline ?? Infinity);
  if (isAlone || hasHandedOver) return drafts.becomeFollower(draft, state.term);
  change.reconcile(draft);
  if (state.role === "leader") replication.sendHeartbeats(draft);
}

function initial(options: ReplicaOptions): states.State {
  const { id, hosts, random, now, durable } = options;
  const { isBootstrap: founds = true, minBootstrapTerm: foundingTerm = 0 } =
    options;
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
    isBootstrap: founds,
    minBootstrapTerm: foundingTerm,
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
