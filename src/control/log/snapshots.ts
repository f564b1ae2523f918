/** Snapshots: taken when the log has grown, and sent in chunks to followers that
 * lack entries that the leader has already compacted.
 * @module */

import type * as schema from "../../schema/log_types.ts";
import * as drafts from "./draft.ts";
import * as entries from "./entries.ts";
import * as replication from "./replication.ts";

/** Requests a snapshot once enough entries were applied since the last one. */
export function requestIfDue(draft: drafts.Draft): void {
  const { state } = draft;
  const last = state.snapshot?.position.index ?? 0;
  const since = Math.max(last, state.requestedSnapshot);
  const { snapshotInterval, charactersPerEntry } = state.sizes;
  const size = state.snapshot?.data.length ?? 0;
  if (
    state.applied - since <
      Math.max(snapshotInterval, size / charactersPerEntry)
  ) return;
  state.requestedSnapshot = state.applied;
  draft.effects.push({ type: "need-snapshot", index: state.applied });
}

/** Stores the state machine's state as snapshot and compacts the log. */
export function take(
  draft: drafts.Draft,
  index: number,
  data: string,
): void {
  const { state } = draft;
  if (index <= (state.snapshot?.position.index ?? 0)) return;
  const term = state.log.term(index);
  if (term === undefined || index > state.applied) return;
  const { members } = state.configurations.findLast((configuration) =>
    configuration.index <= index
  )!;
  state.snapshot = { position: { index, term }, members, data };
  const keep = index - state.sizes.trailingEntries;
  if (keep > state.log.base.index) state.log = state.log.compact(keep);
  dropOldConfigurations(draft, index);
  persistSnapshot(draft);
}

/** Sends the next chunk of the snapshot to a follower. */
export function send(draft: drafts.Draft, id: string): void {
  const { state, now } = draft;
  const { position, members, data } = state.snapshot!;
  const progress = replication.progressOf(draft, id).snapshot;
  const offset = progress?.index === position.index ? progress.offset : 0;
  replication.setProgress(draft, id, {
    lastSent: now,
    isMatchKnown: false,
    snapshot: { index: position.index, offset },
  });
  drafts.send(draft, id, {
    type: "snapshot",
    term: state.term,
    index: position.index,
    indexTerm: position.term,
    members,
    offset,
    length: data.length,
    data: data.slice(offset, offset + state.sizes.chunkCharacters),
    at: Math.floor(now),
  });
}

/** Handles a chunk on a follower; installs the snapshot once it is complete. */
export function handleChunk(
  draft: drafts.Draft,
  from: string,
  body: schema.SnapshotChunk,
): void {
  const { state } = draft;
  if (body.index <= state.commit) return acknowledge(draft, from, body);
  const { incomingSnapshot: incoming } = state;
  const continuesTransfer = incoming?.leader === from &&
    incoming.term === body.term &&
    incoming.index === body.index;
  let parts = continuesTransfer ? incoming.parts : [];
  let offset = continuesTransfer ? incoming.offset : 0;
  if (body.offset === offset) {
    parts = [...parts, body.data];
    offset += body.data.length;
  }
  const { term, index, length, at } = body;
  state.incomingSnapshot = { leader: from, term, index, parts, offset };
  if (offset < length) {
    const reply = { type: "snapshot-reply" as const, term, index, offset, at };
    return drafts.send(draft, from, reply);
  }
  install(draft, body, parts.join(""));
  acknowledge(draft, from, body);
}

/** Handles a follower's answer to a chunk and sends the next one. */
export function handleReply(
  draft: drafts.Draft,
  from: string,
  body: schema.SnapshotReply,
): void {
  const { state } = draft;
  replication.recordAcknowledgement(draft, from, body.at);
  const { snapshot } = replication.progressOf(draft, from);
  const { index, offset } = body;
  if (snapshot?.index !== index || snapshot.offset === offset) return;
  if (state.snapshot?.position.index !== index) return;
  replication.setProgress(draft, from, { snapshot: { index, offset } });
  send(draft, from);
}

function install(
  draft: drafts.Draft,
  body: schema.SnapshotChunk,
  data: string,
): void {
  const { state } = draft;
  const { index, indexTerm: term, members } = body;
  const position = { index, term };
  const snapshot = { position, members, data };
  state.incomingSnapshot = undefined;
  state.snapshot = snapshot;
  // If the log has the entry at the snapshot's position, the entries after it
  // are kept: they may be part of the leader's log.
  const hasSnapshotEntry = state.log.term(index) === term;
  state.log = hasSnapshotEntry
    ? state.log.compact(index)
    : entries.Entries.create(position);
  const later = hasSnapshotEntry
    ? state.configurations.filter((other) => other.index > index)
    : [];
  state.configurations = [{ index, members }, ...later];
  state.commit = index;
  state.applied = index;
  state.requestedSnapshot = index;
  persistSnapshot(draft);
  draft.effects.push({ type: "restore", snapshot });
}

function acknowledge(
  draft: drafts.Draft,
  from: string,
  body: schema.SnapshotChunk,
): void {
  const { term, index, at } = body;
  drafts.sendWhenDurable(draft, from, {
    type: "appended",
    term,
    ok: true,
    previous: index,
    match: index,
    at,
  });
}

function persistSnapshot(draft: drafts.Draft): void {
  const { snapshot, log, term, vote } = draft.state;
  const start = snapshot!.position.index + 1;
  drafts.persist(draft, {
    type: "snapshot",
    snapshot: snapshot!,
    entries: log.slice(start, log.last.index),
    term,
    vote,
  });
}

function dropOldConfigurations(draft: drafts.Draft, index: number): void {
  const { state } = draft;
  const first = state.configurations.findLastIndex((configuration) =>
    configuration.index <= index
  );
  state.configurations = state.configurations.slice(first);
}
