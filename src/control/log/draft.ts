/** Draft of a step: a shallow copy of the state that handlers assign to, and
 * the effects so far. Values inside the state are never changed in place.
 * @module */

import type * as schema from "../../schema/log_types.ts";
import * as members from "./members.ts";
import * as replicaId from "./replica_id.ts";
import type * as state from "./state.ts";

type Mutable<T> = { -readonly [Key in keyof T]: T[Key] };

/** State and effects during the handling of one event. */
export interface Draft {
  readonly state: Mutable<state.State>;
  readonly effects: state.Effect[];
  readonly now: number;
  /** Messages to the replica itself, handled at the end of the step. */
  readonly selfMessages: schema.LogMessage[];
}

/** Creates the draft of a step. */
export function create(from: state.State, now: number): Draft {
  return { state: { ...from }, effects: [], now, selfMessages: [] };
}

type Unaddressed<T> = T extends unknown ? Omit<T, "from" | "to"> : never;

/** A message without its sender and recipient. */
export type Content = Unaddressed<schema.LogMessage>;

/** Sends a message at once. */
export function send(draft: Draft, to: string, content: Content): void {
  draft.effects.push({
    type: "send",
    to,
    body: address(draft, replicaId.incarnation(to), content),
  });
}

/** Sends a message to the replica of a host, whatever its incarnation. */
export function sendHost(draft: Draft, host: string, content: Content): void {
  draft.effects.push({
    type: "send",
    to: replicaId.create(host, ""),
    body: address(draft, "", content),
  });
}

/** Sends a message once all writes requested so far are durable. */
export function sendWhenDurable(
  draft: Draft,
  to: string,
  content: Content,
): void {
  const { state } = draft;
  const body = address(draft, replicaId.incarnation(to), content);
  const message = { write: state.written, to, body };
  if (state.written === state.synced) release(draft, message);
  else state.deferred = [...state.deferred, message];
}

/** Requests the write of a record. */
export function persist(draft: Draft, record: state.LogRecord): void {
  const write = ++draft.state.written;
  draft.effects.push({ type: "persist", write, record });
}

/** Sends the messages that were deferred until write `write` or an earlier one
 * became durable. */
export function handleSynced(draft: Draft, write: number): void {
  const { state } = draft;
  state.synced = Math.max(state.synced, write);
  const ready = state.deferred.filter((message) =>
    message.write <= state.synced
  );
  state.deferred = state.deferred.filter((message) =>
    message.write > state.synced
  );
  ready.forEach((message) => release(draft, message));
}

/** Returns the latest set of members in the log, committed or not. */
export function currentMembers(from: state.State): schema.Members {
  return from.configurations.at(-1)?.members ?? members.NONE;
}

/** Returns the voters other than the replica itself. */
export function otherVoters(from: state.State): string[] {
  const { voters } = currentMembers(from);
  return voters.filter((id) => id !== from.id);
}

/** Whether the replica is a voter. */
export function isVoter(from: state.State): boolean {
  return currentMembers(from).voters.includes(from.id);
}

/** Restarts the election timer with a random timeout. */
export function resetElectionTimer(draft: Draft): void {
  const { timing, random } = draft.state;
  const spread = timing.maxElectionTimeout - timing.minElectionTimeout;
  const wait = timing.minElectionTimeout + random.next() * spread;
  draft.state.electionAt = draft.now + wait;
}

/** Restarts the election timer of a candidate. Its lower bound is half the
 * minimum election timeout, so that a split vote is retried sooner. This does
 * not affect safety: the lease is protected by voters, which ignore candidates
 * for the minimum election timeout after they last heard the leader. */
export function resetRetryTimer(draft: Draft): void {
  const { timing, random } = draft.state;
  const spread = timing.maxElectionTimeout - timing.minElectionTimeout;
  const wait = timing.minElectionTimeout / 2 + random.next() * spread;
  draft.state.electionAt = draft.now + wait;
}

/** Sets the role and the known leader, and reports a change. */
export function setRole(
  draft: Draft,
  role: state.Role,
  leader?: string,
): void {
  const { state } = draft;
  const isUnchanged = state.role === role && state.leader === leader;
  state.role = role;
  state.leader = leader;
  if (isUnchanged) return;
  draft.effects.push({ type: "role", role, term: state.term, leader });
}

/** Becomes a follower in `term`; a new term is persisted without a vote. */
export function becomeFollower(
  draft: Draft,
  term: number,
  leader?: string,
): void {
  const { state } = draft;
  if (state.role === "leader") resetElectionTimer(draft);
  if (term > state.term) {
    state.term = term;
    state.vote = undefined;
    persist(draft, { type: "vote", term });
  }
  state.votes = [];
  state.initialVoters = undefined;
  state.progress = {};
  state.transferDeadline = undefined;
  state.transferTarget = undefined;
  state.joining = {};
  setRole(draft, "follower", leader);
}

function release(draft: Draft, message: state.DeferredMessage): void {
  if (message.to === draft.state.id) draft.selfMessages.push(message.body);
  else draft.effects.push({ type: "send", to: message.to, body: message.body });
}

function address(draft: Draft, to: string, content: Content) {
  const from = replicaId.incarnation(draft.state.id);
  const { type, ...rest } = content;
  return { type, from, to, ...rest } as schema.LogMessage;
}
