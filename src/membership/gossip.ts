/** Passes news on, compares copies, and looks for hosts that were lost.
 * @module */

import type * as schema from "../schema/membership_types.ts";
import * as briefs from "./compact_member.ts";
import * as exchange from "./anti_entropy.ts";
import * as member from "./member.ts";
import * as merges from "./merge.ts";
import * as outboxes from "./gossip_queue.ts";
import * as probes from "./probe.ts";
import * as states from "./state.ts";

/** Bytes of a statement in a message, about. */
const MEMBER_BYTES = 150;
const BRIEF_BYTES = 40;

const ORDER: exchange.SyncOptions<member.Member> = {
  compare: member.compare,
  isLive: member.isLive,
  maxEntries: states.MAX_UPDATES_PER_MESSAGE,
};

const SENDING: Omit<outboxes.SendOptions<states.Update>, "neighbours"> = {
  sizeOf: ({ isCompact: brief }) => brief ? BRIEF_BYTES : MEMBER_BYTES,
  // A refutation must come within the time that a suspect has.
  isUrgent: ({ member }) => member.status !== "suspect",
  maxEntries: states.MAX_UPDATES_PER_MESSAGE,
};

/** Does what is due: sends news, tries lost hosts, forgets old ones. */
export function advance(step: states.Step): void {
  if (step.now >= step.state.nextGossip) sendUpdates(step);
  if (step.now >= step.state.nextReconnect) heal(step);
}

/** When spreading next has something to do. */
export function due(state: states.State): number {
  return Math.min(state.nextGossip, state.nextReconnect);
}

/** Sends up to one message of news to each neighbour, as far as the bound on
 * bytes allows; the rest follows. */
export function sendUpdates(step: states.Step): void {
  const { state, now } = step;
  const { neighbours } = state;
  const sending = { ...SENDING, neighbours };
  const { outbox, parcels } = outboxes.dequeue(state.gossipQueue, now, sending);
  const nextNews = outbox.items.size > 0
    ? now + states.UPDATE_DELAY_MS
    : Infinity;
  step.state = { ...state, gossipQueue: outbox, nextGossip: nextNews };
  for (const { to, entries } of parcels) {
    const news = entries.filter(({ isCompact: brief }) => !brief).map(memberOf);
    const brief = entries.filter(({ isCompact: brief }) => brief).map(memberOf)
      .map(briefs.encode);
    const body: schema.MemberNews = { type: "news", news };
    if (brief.length > 0) body.brief = brief;
    step.effects.push({ type: "send", to, body });
  }
}

/** Compares copies with a host whose root differs from this host's. */
export function compareRootHash(
  step: states.Step,
  from: string,
  root: string,
): void {
  const { state, now } = step;
  if (root === state.members.rootHash()) return;
  const quiet = now - state.changedAt >= states.SETTLE_TIME_MS &&
    state.gossipQueue.items.size === 0;
  const recent = now < state.nextSync;
  const waited = now >= state.nextSync + states.SYNC_INTERVAL_MS;
  if (recent || (!quiet && !waited)) return;
  step.state = { ...state, nextSync: now + states.SETTLE_TIME_MS };
  const body = exchange.firstMessage(state.members);
  step.effects.push({ type: "send", to: from, body });
}

/** Answers hashes: with finer ones of groups that differ, then with members. */
export function answerHashes(
  step: states.Step,
  from: string,
  message: schema.MemberCompare,
): void {
  for (const body of exchange.answer(step.state.members, message, ORDER)) {
    step.effects.push({ type: "send", to: from, body });
  }
}

/** Takes members of some buckets; sends back what is newer here. */
export function receiveEntries(
  step: states.Step,
  from: string,
  message: schema.MemberEntries,
): void {
  const newer = exchange.newerEntries(step.state.members, message, ORDER);
  merges.mergeAll(step, message.news, from);
  if (!message.reply) return;
  for (const part of exchange.chunk(newer, states.MAX_UPDATES_PER_MESSAGE)) {
    sendMembers(step, from, part);
  }
}

function sendMembers(
  step: states.Step,
  to: string,
  news: member.Member[],
): void {
  step.effects.push({ type: "send", to, body: { type: "news", news } });
}

function memberOf({ member }: states.Update): member.Member {
  return member;
}

/** Pings one seed that is not known to live, and one host that counts as dead:
 * after a partition, or at the start, this is the first contact. */
function heal(step: states.Step): void {
  forget(step);
  const { state, now } = step;
  const { options, members, live } = state;
  const alone = live.length < 2;
  const interval = alone
    ? states.JOIN_INTERVAL_MS
    : states.RECONNECT_INTERVAL_MS;
  step.state = { ...state, nextReconnect: now + interval };
  const self = members.get(options.self.id)!;
  for (const ids of [options.seeds, [...state.deadSince.keys()]]) {
    const lost = ids.filter((id) => isLost(state, id));
    if (lost.length === 0) continue;
    const to = lost[options.random.below(lost.length)];
    probes.ping(step, to, { news: [self] });
  }
}

function isLost({ options, members }: states.State, id: string): boolean {
  if (id === options.self.id) return false;
  const known = members.get(id);
  return known === undefined || known.status === "dead" ||
    (known.status === "left" && options.seeds.includes(id));
}

function forget(step: states.Step): void {
  const { state, now } = step;
  const excess = state.deadSince.size - states.MAX_DEAD_MEMBERS;
  const old = [...state.deadSince].filter(([, at], pos) =>
    pos < excess || now - at >= states.DEAD_RETENTION_MS
  );
  if (old.length === 0) return;
  const dead = new Map(state.deadSince);
  let members = state.members;
  for (const [id] of old) {
    dead.delete(id);
    members = members.delete(id);
  }
  step.state = { ...state, deadSince: dead, members };
}
