/** Passes news of endpoints on, and compares copies with neighbours.
 * @module */

import * as membership from "../membership/mod.ts";
import type * as schema from "../schema/registry_types.ts";
import * as entries from "./entry.ts";
import * as expiries from "./expiry.ts";
import * as merges from "./merge.ts";
import * as states from "./state.ts";

const ORDER: membership.exchange.Order<entries.Entry> = {
  compare: entries.compare,
  isLive: entries.isServing,
  limit: states.NEWS_LIMIT,
};

/** Bytes of an entry in a message, about. */
const ENTRY_BYTES = 300;
const EXPIRY_BYTES = 40;

const SENDING: Omit<membership.outbox.Sending<states.News>, "neighbours"> = {
  cost: ({ entry }) => isExpiry(entry) ? EXPIRY_BYTES : ENTRY_BYTES,
  isUrgent: ({ entry }) => !isExpiry(entry),
  limit: states.NEWS_LIMIT,
};

/** Sends up to one message of news to each neighbour, as far as the bound on
 * bytes allows; the rest follows. */
export function sendNews(step: states.Step): void {
  const { state, now } = step;
  const { neighbours } = state;
  const sending = { ...SENDING, neighbours };
  const { outbox, parcels } = membership.outbox.take(
    state.outbox,
    now,
    sending,
  );
  const nextNews = outbox.items.size > 0 ? now + states.NEWS_DELAY : Infinity;
  step.state = { ...state, outbox, nextNews };
  for (const parcel of parcels) {
    const list = parcel.entries.map(({ entry }) => entry);
    const news = aged(step, list.filter((entry) => !isExpiry(entry)));
    const expired = list.filter(isExpiry).map(expiries.write);
    const body: schema.RegistryNews = { type: "news", news };
    if (expired.length > 0) body.expired = expired;
    step.effects.push({ type: "send", to: parcel.to, body });
  }
}

function isExpiry({ phase, expired }: entries.Entry): boolean {
  return phase !== "left" && expired !== undefined;
}

/** Tells a neighbour the root, and forgets endpoints that are long gone. */
export function sendRoot(step: states.Step): void {
  forget(step);
  const { state, now } = step;
  const { neighbours, options } = state;
  const wait = states.ROOT_INTERVAL * (0.5 + options.random.next());
  step.state = { ...state, nextRoot: now + wait };
  if (neighbours.length === 0) return;
  const to = neighbours[options.random.below(neighbours.length)];
  const root = state.entries.root();
  step.effects.push({ type: "send", to, body: { type: "root", root } });
}

/** Compares copies with a neighbour whose root differs. */
export function compareRoot(
  step: states.Step,
  from: string,
  root: string,
): void {
  const { state, now } = step;
  if (root === state.entries.root()) {
    if (!state.agreed) step.state = { ...state, agreed: true };
    return;
  }
  const quiet = now - state.changedAt >= states.QUIET &&
    state.outbox.items.size === 0;
  const waited = now >= state.nextSync + states.SYNC_INTERVAL;
  if (now < state.nextSync || (!quiet && !waited)) return;
  step.state = { ...state, nextSync: now + states.QUIET };
  const body = membership.exchange.open(state.entries);
  step.effects.push({ type: "send", to: from, body });
}

/** Answers hashes: with finer ones of groups that differ, then with entries. */
export function compare(
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
export function receive(
  step: states.Step,
  from: string,
  message: schema.RegistryEntries,
): void {
  const { exchange } = membership;
  const newer = exchange.newer(step.state.entries, message, ORDER);
  merges.mergeAll(step, message.news, from);
  if (!message.reply) return;
  for (const part of exchange.parts(newer, states.NEWS_LIMIT)) {
    send(step, from, part);
  }
}

/** Answers a host that lacks entries. */
export function supply(
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
    const age = Math.round(now - (state.turned.get(entry.id) ?? now));
    return { ...rest, age: Math.max(0, age) };
  });
}

function forget(step: states.Step): void {
  const { state, now } = step;
  const gone = [...state.turned].filter(([id]) => {
    return !entries.isServing(state.entries.get(id)!);
  });
  const excess = gone.length - states.GONE_LIMIT;
  const old = gone.filter(([, at], pos) =>
    pos < excess || now - at >= states.GONE_KEPT
  );
  if (old.length === 0) return;
  const turned = new Map(state.turned);
  let kept = state.entries;
  for (const [id] of old) {
    turned.delete(id);
    kept = kept.delete(id);
  }
  step.state = { ...state, turned, entries: kept };
}
