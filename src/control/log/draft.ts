/** A step in the making: a copy of the state that handlers assign to, and the
 * effects so far. Values inside the state are never changed in place.
 * @module */

import type * as schema from "../../schema/log_types.ts";
import * as members from "./members.ts";
import * as replicaId from "./replica_id.ts";
import type * as state from "./state.ts";

type Mutable<T> = { -readonly [Key in keyof T]: T[Key] };

/** State and effects while one event is being handled. */
export interface Draft {
  readonly state: Mutable<state.State>;
  readonly effects: state.Effect[];
  readonly now: number;
  /** Messages to the replica itself, handled at the end of the step. */
  readonly selfMessages: schema.LogMessage[];
}

/** Starts a step. */
export function create(from: state.State, now: number): Draft {
  return { state: { ...from }, effects: [], now, selfMessages: [] };
}

type Unaddressed<T> = T extends unknown ? Omit<T, "from" | "to"> : never;

/** A message less its addresses. */
export type Content = Unaddressed<schema.LogMessage>;

/** Sends at once. */
export function send(draft: Draft, to: string, content: Content): void {
  draft.effects.push({
    type: "send",
    to,
    body: address(draft, replicaId.incarnation(to), content),
  });
}

/** Sends to whichever folder a host has now. */
export function sendHost(draft: Draft, host: string, content: Content): void {
  draft.effects.push({
    type: "send",
    to: replicaId.create(host, ""),
    body: address(draft, "", content),
  });
}

/** Sends once all that was asked to be written so far is durable. */
export function sendWhenDurable(
  draft: Draft,
  to: string,
  content: Content,
): void {
  const { state } = draft;
  const body = address(draft, replicaId.incarnation(to), content);
  const held = { write: state.written, to, body };
  if (state.written === state.synced) release(draft, held);
  else state.deferred = [...state.deferred, held];
}

/** Asks for a record to be made durable. */
export function persist(draft: Draft, record: state.LogRecord): void {
  const write = ++draft.state.written;
  draft.effects.push({ type: "persist", write, record });
}

/** Lets go what waited for writes up to `write`. */
export function handleSynced(draft: Draft, write: number): void {
  const { state } = draft;
  state.synced = Math.max(state.synced, write);
  const ready = state.deferred.filter((held) => held.write <= state.synced);
  state.deferred = state.deferred.filter((held) => held.write > state.synced);
  ready.forEach((held) => release(draft, held));
}

/** The members that the last entry about them names. */
export function currentMembers(from: state.State): schema.Members {
  return from.configurations.at(-1)?.members ?? members.NONE;
}

/** The voters but for the replica itself. */
export function otherVoters(from: state.State): string[] {
  const { voters } = currentMembers(from);
  return voters.filter((id) => id !== from.id);
}

/** Whether the replica itself may stand for election. */
export function isVoter(from: state.State): boolean {
  return currentMembers(from).voters.includes(from.id);
}

/** Puts off the next election by a random time. */
export function resetElectionTimer(draft: Draft): void {
  const { timing, random } = draft.state;
  const spread = timing.maxElectionTimeout - timing.minElectionTimeout;
  const wait = timing.minElectionTimeout + random.next() * spread;
  draft.state.electionAt = draft.now + wait;
}

/** Puts off the next try of one that stands for election. Nothing safe hangs on
 * it: voters wait for the lease by what they have heard. So it is half as long
 * at least, for a split vote to cost less. */
export function resetRetryTimer(draft: Draft): void {
  const { timing, random } = draft.state;
  const spread = timing.maxElectionTimeout - timing.minElectionTimeout;
  const wait = timing.minElectionTimeout / 2 + random.next() * spread;
  draft.state.electionAt = draft.now + wait;
}

/** Changes the role, and says so if anything is new about it. */
export function setRole(
  draft: Draft,
  role: state.Role,
  leader?: string,
): void {
  const { state } = draft;
  const same = state.role === role && state.leader === leader;
  state.role = role;
  state.leader = leader;
  if (same) return;
  draft.effects.push({ type: "role", role, term: state.term, leader });
}

/** Turns follower in `term`; a new term is made durable without a vote. */
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

function release(draft: Draft, held: state.DeferredMessage): void {
  if (held.to === draft.state.id) draft.selfMessages.push(held.body);
  else draft.effects.push({ type: "send", to: held.to, body: held.body });
}

function address(draft: Draft, to: string, content: Content) {
  const from = replicaId.incarnation(draft.state.id);
  const { type, ...rest } = content;
  return { type, from, to, ...rest } as schema.LogMessage;
}
