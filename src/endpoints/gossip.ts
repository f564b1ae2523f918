/** Passes news of endpoints on, and compares copies with neighbours.
 * @module */

import * as membership from "../membership/mod.ts";
import type * as schema from "../schema/registry_types.ts";
import * as entries from "./entry.ts";
import * as expiries from "./compact_expiry.ts";
import * as merges from "./merge.ts";
import * as states from "./state.ts";

const ORDER: membership.exchange.SyncOptions<entries.Entry> = {
  compare: entries.compare,
  isLive: entries.isServing,
  maxEntries: states.MAX_UPDATES_PER_MESSAGE,
};

/** Bytes of an entry in a message, about. */
const ENTRY_BYTES = 300;
const EXPIRY_BYTES = 40;

const SENDING: Omit<
  membership.outbox.SendOptions<states.Update>,
  "neighbours"
> = {
  sizeOf: ({ entry }) => isExpiry(entry) ? EXPIRY_BYTES : ENTRY_BYTES,
  isUrgent: ({ entry }) => !isExpiry(entry),
  maxEntries: states.MAX_UPDATES_PER_MESSAGE,
};

/** Sends up to one message of news to each neighbour, as far as the bound on
 * bytes allows; the rest follows. */
export function sendUpdates(step: states.Step): void {
  const { state, now } = step;
  const { neighbours } = state;
  const sending = { ...SENDING, neighbours };
  const { outbox, parcels } = membership.outbox.dequeue(
    state.gossipQueue,
    now,
    sending,
  );
  const nextNews = outbox.items.size > 0
    ? now + states.UPDATE_DELAY_MS
    : Infinity;
  step.state = { ...state, gossipQueue: outbox, nextGossip: nextNews };
  for (const parcel of parcels) {
    const list = parcel.entries.map(({ entry }) => entry);
    const news = aged(step, list.filter((entry) => !isExpiry(entry)));
    const expired = list.filter(isExpiry).map(expiries.encode);
    const body: schema.RegistryNews = { type: "news", news };
    if (expired.length > 0) body.expired = expired;
    step.effects.push({ type: "send", to: parcel.to, body });
  }
}

function isExpiry({ phase, expired }: entries.Entry): boolean {
  return phase !== "left" && expired !== undefined;
}

/** Tells a neighbour the root, and forgets endpoints that are long gone. */
export function sendRootHash(step: states.Step): void {
  forget(step);
  const { state, now } = step;
  const { neighbours, options } = state;
  const wait = states.ROOT_HASH_INTERVAL_MS * (0.5 + options.random.next());
  step.state = { ...state, nextRootHash: now + wait };
  if (neighbours.length === 0) return;
  const to = neighbours[options.random.below(neighbours.length)];
  const root = state.entries.rootHash();
  step.effects.push({ type: "send", to, body: { type: "root", root } });
}

/** Compares copies with a neighbour whose root differs. */
export function compareRootHash(
  step: states.Step,
  from: string,
  root: string,
): void {
  const { state, now } = step;
  if (root === state.entries.rootHash()) {
    if (!state.hasSynced) step.state = { ...state, hasSynced: true };
    return;
  }
  const quiet = now - state.changedAt >= states.SETTLE_TIME_MS &&
    state.gossipQueue.items.size === 0;
  const waited = now >= state.nextSync + states.SYNC_INTERVAL_MS;
  if (now < state.nextSync || (!quiet && !waited)) return;
  step.state = { ...state, nextSync: now + states.SETTLE_TIME_MS };
  const body = membership.exchange.firstMessage(state.entries);
  step.effects.push({ type: "send", to: from, body });
}

/** Answers hashes: with finer ones of groups that differ, then with entries. */
export function answerHashes(
  step: states.Step,
  from: string,
  message: schema.RegistryCompare,
): void {
  const { exchange } = membership;
  for (const body of exchange.answer(step.state.entries, message, ORDER)) {
    if (body.type === "entries") body.news = aged(step, body.news);
    step.effects.push({ type: "send", to: from, body });
  }
}

/** Takes entries of some buckets; sends back what is newer here. */
export function receiveEntries(
  step: states.Step,
  from: string,
  message: schema.RegistryEntries,
): void {
  const { exchange } = membership;
  const newer = exchange.newerEntries(step.state.entries, message, ORDER);
  merges.mergeAll(step, message.news, from);
  if (!message.reply) return;
  for (const part of exchange.chunk(newer, states.MAX_UPDATES_PER_MESSAGE)) {
    send(step, from, part);
  }
}

/** Answers a host that lacks entries. */
export function sendEntries(
  step: states.Step,
  to: string,
  ids: readonly string[],
): void {
  const known = ids.flatMap((id) => step.state.entries.get(id) ?? []);
  if (known.length > 0) send(step, to, known);
}

function send(step: states.Step, to: string, list: entries.Entry[]): void {
  const body: schema.RegistryNews = { type: "news", news: aged(step, list) };
  step.effects.push({ type: "send", to, body });
}

/** Entries as they are sent: what is gone has an age and no content. */
function aged(
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

function forget(step: states.Step): void {
  const { state, now } = step;
  const gone = [...state.notReadySince].filter(([id]) => {
    return !entries.isServing(state.entries.get(id)!);
  });
  const excess = gone.length - states.MAX_TOMBSTONES;
  const old = gone.filter(([, at], pos) =>
    pos < excess || now - at >= states.TOMBSTONE_RETENTION_MS
  );
  if (old.length === 0) return;
  const turned = new Map(state.notReadySince);
  let kept = state.entries;
  for (const [id] of old) {
    turned.delete(id);
    kept = kept.delete(id);
  }
  step.state = { ...state, notReadySince: turned, entries: kept };
}
