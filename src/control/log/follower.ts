/** The follower's part in replication: takes what the leader sends.
 * @module */

import type * as schema from "../../schema/log_types.ts";
import * as drafts from "./draft.ts";
import * as replication from "./replication.ts";
import * as snapshots from "./snapshots.ts";

type FromLeader = schema.Append | schema.Heartbeat | schema.SnapshotChunk;

/** Follows the leader of `body`; returns false when its term has passed. */
function heed(draft: drafts.Draft, from: string, body: FromLeader): boolean {
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

/** Answers a sign of life. */
export function handleHeartbeat(
  draft: drafts.Draft,
  from: string,
  body: schema.Heartbeat,
): void {
  if (!heed(draft, from, body)) return;
  replication.setCommit(draft, body.commit);
  const { term, at } = body;
  drafts.send(draft, from, { type: "heartbeat-reply", term, at });
}

/** Takes a chunk of a snapshot. */
export function handleChunk(
  draft: drafts.Draft,
  from: string,
  body: schema.SnapshotChunk,
): void {
  if (heed(draft, from, body)) snapshots.handleChunk(draft, from, body);
}

/** Takes entries if they follow on what is here. */
export function handleAppend(
  draft: drafts.Draft,
  from: string,
  body: schema.Append,
): void {
  if (!heed(draft, from, body)) return;
  const { state } = draft;
  const { term, previous, at } = body;
  const known = previous < state.log.base.index ||
    state.log.term(previous) === body.previousTerm;
  if (!known) {
    const match = retryAt(draft, previous);
    const refusal = { type: "appended" as const, ok: false, match };
    return drafts.send(draft, from, { ...refusal, term, previous, at });
  }
  take(draft, body.entries);
  const match = previous + body.entries.length;
  replication.setCommit(draft, Math.min(body.commit, match));
  const reply = { type: "appended" as const, ok: true, match };
  drafts.sendWhenDurable(draft, from, { ...reply, term, previous, at });
}

/** Adds the entries that are new, in place of any that contradict them. */
function take(draft: drafts.Draft, sent: readonly schema.Entry[]): void {
  const { state } = draft;
  const first = sent.findIndex(({ index, term }) =>
    index > state.log.base.index && state.log.term(index) !== term
  );
  if (first < 0) return;
  const entries = sent.slice(first);
  const { index } = entries[0];
  if (index <= state.commit) {
    throw new Error(`entry ${index} is committed and would be replaced`);
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

/** The last index at which the leader's log may still match. */
function retryAt(draft: drafts.Draft, previous: number): number {
  const { log, commit } = draft.state;
  if (previous > log.last.index) return log.last.index;
  const term = log.term(previous);
  let index = previous - 1;
  while (index > commit && log.term(index) === term) index--;
  return Math.max(index, commit);
}
