/** Leader side of replication: sends entries, handles acknowledgements and
 * advances the commit index.
 * @module */

import type * as schema from "../../schema/log_types.ts";
import * as drafts from "./draft.ts";
import * as entrySize from "./entry_size.ts";
import * as lease from "./lease.ts";
import * as members from "./members.ts";
import * as membershipChange from "./membership_change.ts";
import * as snapshots from "./snapshots.ts";
import type * as state from "./state.ts";
import * as transfer from "./transfer.ts";

/** Becomes leader and appends the first entry of the term. */
export function becomeLeader(draft: drafts.Draft): void {
  const { state, now } = draft;
  const initialVoters = state.initialVoters;
  state.initialVoters = undefined;
  state.votes = [];
  state.progress = {};
  state.joining = {};
  state.electedAt = now;
  state.termStart = state.log.last.index + 1;
  state.heartbeatAt = now + state.timing.heartbeat;
  state.leaseNotBefore = -Infinity;
  drafts.setRole(draft, "leader", state.id);
  otherMembers(state).forEach((id) => setProgress(draft, id, {}));
  if (initialVoters) {
    setMembers(draft, { voters: [...initialVoters], learners: [] });
  } else append(draft, [{}]);
}

/** Appends commands to the log, or rejects them with a reason. */
export function propose(
  draft: drafts.Draft,
  commands: readonly schema.Command[],
): void {
  const { state, effects, now } = draft;
  const { role, leader } = state;
  const isAccepting = role === "leader" && state.transferDeadline === undefined;
  if (!isAccepting) {
    effects.push({ type: "reject", reason: "not-leader", leader });
  } else if (!lease.isHeld(state, now)) {
    effects.push({ type: "reject", reason: "no-quorum" });
  } else {
    const index = state.log.last.index + 1;
    effects.push({ type: "appended", index, term: state.term });
    append(draft, commands.map((command) => ({ command })));
  }
}

/** Appends a set of members to the log, which takes effect at once. */
export function setMembers(draft: drafts.Draft, next: schema.Members): void {
  append(draft, [{ members: next }]);
}

/** Sends a heartbeat to each other member. A member whose acknowledgement of
 * entries is overdue also gets an append that determines its last matching index;
 * it answers that only once its disk has what it received before. */
export function sendHeartbeats(draft: drafts.Draft): void {
  const { state, now } = draft;
  state.heartbeatAt = now + state.timing.heartbeat;
  for (const id of otherMembers(state)) {
    const { match, lastSent } = progressOf(draft, id);
    // Entries not acknowledged within a heartbeat interval are considered lost.
    const lost = lastSent + state.timing.heartbeat <= now;
    if (match < state.log.last.index && lost && isRecent(draft, id)) {
      setProgress(draft, id, { next: match + 1, isMatchKnown: false });
      sendAppend(draft, id);
    }
    const commit = Math.min(match, state.commit);
    const at = Math.floor(now);
    const { term } = state;
    drafts.send(draft, id, { type: "heartbeat", term, commit, at });
  }
}

/** Whether a replica has answered within the minimum election timeout. */
export function isRecent(draft: drafts.Draft, id: string): boolean {
  const { lastAcknowledged } = progressOf(draft, id);
  return lastAcknowledged + draft.state.timing.minElectionTimeout > draft.now;
}

/** Handles a heartbeat reply. */
export function handleHeartbeatReply(
  draft: drafts.Draft,
  from: string,
  body: schema.HeartbeatReply,
): void {
  recordAcknowledgement(draft, from, body.at);
}

/** Handles a follower's answer to an append. */
export function handleAppended(
  draft: drafts.Draft,
  from: string,
  body: schema.Appended,
): void {
  const { state } = draft;
  if (from === state.id) return advanceCommit(draft);
  recordAcknowledgement(draft, from, body.at);
  const progress = progressOf(draft, from);
  if (body.ok) {
    const match = Math.max(progress.match, body.match);
    const next = Math.max(progress.next, match + 1);
    setProgress(draft, from, {
      match,
      next,
      isMatchKnown: true,
      snapshot: undefined,
    });
    advanceCommit(draft);
  } else if (isCurrentRejection(progress, body)) {
    const next = Math.max(progress.match, body.match) + 1;
    setProgress(draft, from, {
      next: Math.min(next, body.previous),
      isMatchKnown: false,
    });
  } else return;
  if (progressOf(draft, from).next <= state.log.last.index) {
    sendAppend(draft, from);
  }
  transfer.tryTransfer(draft);
}

/** Sends a follower the entries that it lacks, up to the limit of entries in
 * flight, or a snapshot if the log no longer holds them. While the follower's
 * last matching index is unknown, sends an append without entries to find it. */
export function sendAppend(draft: drafts.Draft, id: string): void {
  const { state, now } = draft;
  let progress = progressOf(draft, id);
  do {
    const previous = progress.next - 1;
    const previousTerm = state.log.term(previous);
    if (previousTerm === undefined) return snapshots.send(draft, id);
    const limit = progress.match + state.sizes.maxInFlightEntries;
    const last = Math.min(previous + state.sizes.maxBatchEntries, limit);
    const { next: first, isMatchKnown } = progress;
    if (isMatchKnown && last < first && first <= state.log.last.index) return;
    const entries = isMatchKnown
      ? entrySize.limitSize(
        state.log.slice(first, last),
        state.sizes.maxBatchCharacters,
      )
      : [];
    drafts.send(draft, id, {
      type: "append",
      term: state.term,
      previous,
      previousTerm,
      entries,
      commit: state.commit,
      at: Math.floor(now),
    });
    const next = first + entries.length;
    progress = setProgress(draft, id, { next, lastSent: now });
    if (entries.length === 0) return;
  } while (progress.next <= state.log.last.index);
}

/** Whether a rejection answers the latest append and not an earlier one. */
function isCurrentRejection(
  progress: state.Progress,
  body: schema.Appended,
): boolean {
  if (progress.isMatchKnown) return body.previous > progress.match;
  return body.previous === progress.next - 1 && progress.next > 1;
}

/** Records the acknowledgement of a message sent at `at`. */
export function recordAcknowledgement(
  draft: drafts.Draft,
  from: string,
  at: number,
): void {
  const { lastAcknowledged } = progressOf(draft, from);
  setProgress(draft, from, {
    lastAcknowledged: Math.max(lastAcknowledged, at),
  });
}

/** Returns the leader's view of another replica. */
export function progressOf(draft: drafts.Draft, id: string): state.Progress {
  const { state } = draft;
  return state.progress[id] ?? {
    match: 0,
    next: state.log.last.index + 1,
    isMatchKnown: false,
    lastAcknowledged: -Infinity,
    lastSent: -Infinity,
    trackedSince: draft.now,
  };
}

/** Updates the leader's view of another replica. */
export function setProgress(
  draft: drafts.Draft,
  id: string,
  change: Partial<state.Progress>,
): state.Progress {
  const { state } = draft;
  const next = { ...progressOf(draft, id), ...change };
  state.progress = { ...state.progress, [id]: next };
  return next;
}

/** Advances the commit index and applies the newly committed entries. */
export function setCommit(draft: drafts.Draft, commit: number): void {
  const { state } = draft;
  if (commit <= state.commit) return;
  if (commit > state.log.last.index) {
    throw new Error(`entry ${commit} is committed but not in the log`);
  }
  state.commit = commit;
  const entries = state.log.slice(state.applied + 1, commit);
  state.applied = commit;
  draft.effects.push({ type: "apply", entries });
  snapshots.requestIfDue(draft);
}

type Payload = Omit<schema.Entry, "index" | "term">;

function append(draft: drafts.Draft, payloads: readonly Payload[]): void {
  const { state } = draft;
  const start = state.log.last.index + 1;
  const entries = payloads.map((payload, pos) => ({
    index: start + pos,
    term: state.term,
    ...payload,
  }));
  state.log = state.log.append(entries);
  recordMembers(draft, entries);
  drafts.persist(draft, { type: "entries", entries });
  const { index: match } = state.log.last;
  drafts.sendWhenDurable(draft, state.id, {
    type: "appended",
    term: state.term,
    ok: true,
    previous: start - 1,
    match,
    at: 0,
  });
  for (const id of otherMembers(state)) {
    const { isMatchKnown, lastSent } = progressOf(draft, id);
    if (isMatchKnown || lastSent === -Infinity) sendAppend(draft, id);
  }
}

/** Records the sets of members that entries contain. */
export function recordMembers(
  draft: drafts.Draft,
  entries: readonly schema.Entry[],
): void {
  const { state } = draft;
  for (const { index, members } of entries) {
    if (!members) continue;
    state.configurations = [...state.configurations, { index, members }];
  }
}

function otherMembers(from: state.State): string[] {
  const current = members.all(drafts.currentMembers(from));
  return current.filter((id) => id !== from.id);
}

function advanceCommit(draft: drafts.Draft): void {
  const { state } = draft;
  const { voters } = drafts.currentMembers(state);
  const match = members.majorityValue(voters, (id) => {
    if (id === state.id) return lastDurable(state);
    return state.progress[id]?.match ?? 0;
  });
  // An entry of an earlier term is committed only together with one of the
  // current term: even if a majority stores it, a later leader could replace it.
  if (state.log.term(match) !== state.term) return;
  setCommit(draft, match);
  membershipChange.reconcile(draft);
}

/** Returns the last index that is durable on this replica. */
function lastDurable(from: state.State): number {
  const waiting = from.deferred.find(({ to, body }) =>
    to === from.id && body.type === "appended"
  );
  if (waiting?.body.type !== "appended") return from.log.last.index;
  return waiting.body.previous;
}
