/** Follower side of replication: handles the leader's messages.
 * @module */

import type * as schema from "../../schema/log_types.ts";
import * as drafts from "./draft.ts";
import * as replication from "./replication.ts";
import * as snapshots from "./snapshots.ts";

type LeaderMessage = schema.Append | schema.Heartbeat | schema.SnapshotChunk;

/** Follows the sender as leader of the message's term. Returns false, and
 * reports the current term to the sender, if that term is outdated. */
function acceptLeader(
  draft: drafts.Draft,
  from: string,
  body: LeaderMessage,
): boolean {
  const { state, now } = draft;
  if (body.term < state.term) {
    const { term } = state;
    drafts.send(draft, from, { type: "heartbeat-reply", term, at: 0 });
    return false;
  }
  drafts.becomeFollower(draft, body.term, from);
  state.lastLeaderContact = now;
  drafts.resetElectionTimer(draft);
  return true;
}

/** Handles a heartbeat. */
export function handleHeartbeat(
  draft: drafts.Draft,
  from: string,
  body: schema.Heartbeat,
): void {
  if (!acceptLeader(draft, from, body)) return;
  replication.setCommit(draft, body.commit);
  const { term, at } = body;
  drafts.send(draft, from, { type: "heartbeat-reply", term, at });
}

/** Handles a chunk of a snapshot. */
export function handleChunk(
  draft: drafts.Draft,
  from: string,
  body: schema.SnapshotChunk,
): void {
  if (acceptLeader(draft, from, body)) snapshots.handleChunk(draft, from, body);
}

/** Handles an append: accepts the entries if the log has the entry before them,
 * and otherwise answers with the index to continue from. */
export function handleAppend(
  draft: drafts.Draft,
  from: string,
  body: schema.Append,
): void {
  if (!acceptLeader(draft, from, body)) return;
  const { state } = draft;
  const { term, previous, at } = body;
  const hasPrevious = previous < state.log.base.index ||
    state.log.term(previous) === body.previousTerm;
  if (!hasPrevious) {
    const match = lastPossibleMatch(draft, previous);
    const refusal = { type: "appended" as const, ok: false, match };
    return drafts.send(draft, from, { ...refusal, term, previous, at });
  }
  appendNew(draft, body.entries);
  const match = previous + body.entries.length;
  replication.setCommit(draft, Math.min(body.commit, match));
  const reply = { type: "appended" as const, ok: true, match };
  drafts.sendWhenDurable(draft, from, { ...reply, term, previous, at });
}

/** Appends the entries that are new, after removing conflicting ones. */
function appendNew(draft: drafts.Draft, sent: readonly schema.Entry[]): void {
  const { state } = draft;
  const first = sent.findIndex(({ index, term }) =>
    index > state.log.base.index && state.log.term(index) !== term
  );
  if (first < 0) return;
  const entries = sent.slice(first);
  const { index } = entries[0];
  if (index <= state.commit) {
    throw new Error(`append would replace entry ${index}, which is committed`);
  }
  if (index <= state.log.last.index) {
    state.log = state.log.truncate(index);
    state.configurations = state.configurations.filter((other) =>
      other.index < index
    );
  }
  state.log = state.log.append(entries);
  replication.recordMembers(draft, entries);
  drafts.persist(draft, { type: "entries", entries });
}

/** Returns the last index at which this log may match the leader's. */
function lastPossibleMatch(draft: drafts.Draft, previous: number): number {
  const { log, commit } = draft.state;
  if (previous > log.last.index) return log.last.index;
  const term = log.term(previous);
  let index = previous - 1;
  while (index > commit && log.term(index) === term) index--;
  return Math.max(index, commit);
}
