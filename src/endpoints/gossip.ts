/** Gossips updates of endpoints, and compares replicas with neighbours.
 * @module */

import * as membership from "../membership/mod.ts";
import type * as schema from "../schema/registry_types.ts";
import * as entries from "./entry.ts";
import * as compactExpiry from "./compact_expiry.ts";
import * as merges from "./merge.ts";
import * as states from "./state.ts";

const SYNC_OPTIONS: membership.antiEntropy.SyncOptions<entries.Entry> = {
  compare: entries.compare,
  isLive: entries.isServing,
  maxEntries: states.MAX_UPDATES_PER_MESSAGE,
};

/** Approximate size of an entry in a message. */
const ENTRY_BYTES = 300;
const EXPIRY_BYTES = 40;

const SEND_OPTIONS: Omit<
  membership.gossipQueue.SendOptions<states.Update>,
  "neighbours"
> = {
  sizeOf: ({ entry }) => isExpiry(entry) ? EXPIRY_BYTES : ENTRY_BYTES,
  isUrgent: ({ entry }) => !isExpiry(entry),
  maxEntries: states.MAX_UPDATES_PER_MESSAGE,
};

/** Sends at most one message of updates to each neighbour, within the rate
 * limit; the remaining updates are sent later. */
export function sendUpdates(step: states.Step): void {
  const { state, now } = step;
  const { neighbours } = state;
  const options = { ...SEND_OPTIONS, neighbours };
  const { queue: gossipQueue, batches } = membership.gossipQueue.dequeue(
    state.gossipQueue,
    now,
    options,
  );
  const nextGossip = gossipQueue.items.size > 0
    ? now + states.UPDATE_DELAY_MS
    : Infinity;
  step.state = { ...state, gossipQueue, nextGossip };
  for (const batch of batches) {
    const list = batch.entries.map(({ entry }) => entry);
    const news = withAges(step, list.filter((entry) => !isExpiry(entry)));
    const expired = list.filter(isExpiry).map(compactExpiry.encode);
    const body: schema.RegistryNews = { type: "news", news };
    if (expired.length > 0) body.expired = expired;
    step.effects.push({ type: "send", to: batch.to, body });
  }
}

function isExpiry({ phase, expired }: entries.Entry): boolean {
  return phase !== "left" && expired !== undefined;
}

/** Sends the root hash to a random neighbour, and discards old tombstones. */
export function sendRootHash(step: states.Step): void {
  discardTombstones(step);
  const { state, now } = step;
  const { neighbours, options } = state;
  const wait = states.ROOT_HASH_INTERVAL_MS * (0.5 + options.random.next());
  step.state = { ...state, nextRootHash: now + wait };
  if (neighbours.length === 0) return;
  const to = neighbours[options.random.below(neighbours.length)];
  const root = state.entries.rootHash();
  step.effects.push({ type: "send", to, body: { type: "root", root } });
}

/** Starts a replica comparison with a neighbour whose root hash differs. */
export function compareRootHash(
  step: states.Step,
  from: string,
  rootHash: string,
): void {
  const { state, now } = step;
  if (rootHash === state.entries.rootHash()) {
    if (!state.hasSynced) step.state = { ...state, hasSynced: true };
    return;
  }
  const isSettled = now - state.changedAt >= states.SETTLE_TIME_MS &&
    state.gossipQueue.items.size === 0;
  const isOverdue = now >= state.nextSync + states.SYNC_INTERVAL_MS;
  if (now < state.nextSync || (!isSettled && !isOverdue)) return;
  step.state = { ...state, nextSync: now + states.SETTLE_TIME_MS };
  const body = membership.antiEntropy.firstMessage(state.entries);
  step.effects.push({ type: "send", to: from, body });
}

/** Answers the hashes of a replica comparison: group hashes with the bucket
 * hashes of differing groups, bucket hashes with the entries. */
export function answerHashes(
  step: states.Step,
  from: string,
  message: schema.RegistryCompare,
): void {
  const { antiEntropy: exchange } = membership;
  for (
    const body of exchange.answer(step.state.entries, message, SYNC_OPTIONS)
  ) {
    if (body.type === "entries") body.news = withAges(step, body.news);
    step.effects.push({ type: "send", to: from, body });
  }
}

/** Merges the entries of some buckets; sends back those that are newer here. */
export function receiveEntries(
  step: states.Step,
  from: string,
  message: schema.RegistryEntries,
): void {
  const { antiEntropy: exchange } = membership;
  const newer = exchange.newerEntries(
    step.state.entries,
    message,
    SYNC_OPTIONS,
  );
  merges.mergeAll(step, message.news, from);
  if (!message.reply) return;
  for (const part of exchange.chunk(newer, states.MAX_UPDATES_PER_MESSAGE)) {
    send(step, from, part);
  }
}

/** Sends the requested entries to a host. */
export function sendEntries(
  step: states.Step,
  to: string,
  ids: readonly string[],
): void {
  const known = ids.flatMap((id) => step.state.entries.get(id) ?? []);
  if (known.length > 0) send(step, to, known);
}

function send(step: states.Step, to: string, list: entries.Entry[]): void {
  const body: schema.RegistryNews = {
    type: "news",
    news: withAges(step, list),
  };
  step.effects.push({ type: "send", to, body });
}

/** Returns entries as they are sent: tombstones have an age and no content. */
function withAges(
  { state, now }: states.Step,
  list: readonly entries.Entry[],
): entries.Entry[] {
  return list.map((entry) => {
    if (entries.isServing(entry)) return entry;
    const { endpoint: _, ...rest } = entry;
    const age = Math.round(now - (state.notReadySince.get(entry.id) ?? now));
    return { ...rest, age: Math.max(0, age) };
  });
}

function discardTombstones(step: states.Step): void {
  const { state, now } = step;
  const tombstones = [...state.notReadySince].filter(([id]) => {
    return !entries.isServing(state.entries.get(id)!);
  });
  const excess = tombstones.length - states.MAX_TOMBSTONES;
  const discarded = tombstones.filter(([, at], pos) =>
    pos < excess || now - at >= states.TOMBSTONE_RETENTION_MS
  );
  if (discarded.length === 0) return;
  const notReadySince = new Map(state.notReadySince);
  let remaining = state.entries;
  for (const [id] of discarded) {
    notReadySince.delete(id);
    remaining = remaining.delete(id);
  }
  step.state = { ...state, notReadySince, entries: remaining };
}
