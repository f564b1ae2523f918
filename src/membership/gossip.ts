/** Gossips updates, compares replicas, and tries to reach lost hosts.
 * @module */

import type * as schema from "../schema/membership_types.ts";
import * as compactMember from "./compact_member.ts";
import * as antiEntropy from "./anti_entropy.ts";
import * as member from "./member.ts";
import * as merges from "./merge.ts";
import * as gossipQueues from "./gossip_queue.ts";
import * as probes from "./probe.ts";
import * as states from "./state.ts";

/** Approximate size of a member in a message. */
const MEMBER_BYTES = 150;
const COMPACT_BYTES = 40;

const SYNC_OPTIONS: antiEntropy.SyncOptions<member.Member> = {
  compare: member.compare,
  isLive: member.isLive,
  maxEntries: states.MAX_UPDATES_PER_MESSAGE,
};

const SEND_OPTIONS: Omit<
  gossipQueues.SendOptions<states.Update>,
  "neighbours"
> = {
  sizeOf: ({ isCompact }) => isCompact ? COMPACT_BYTES : MEMBER_BYTES,
  // A refutation has to arrive before the suspicion times out.
  isUrgent: ({ member }) => member.status !== "suspect",
  maxEntries: states.MAX_UPDATES_PER_MESSAGE,
};

/** Does what is due: sends updates, tries lost hosts, discards old dead
 * members. */
export function advance(step: states.Step): void {
  if (step.now >= step.state.nextGossip) sendUpdates(step);
  if (step.now >= step.state.nextReconnect) reconnect(step);
}

/** Returns when gossip next has something to do. */
export function due(state: states.State): number {
  return Math.min(state.nextGossip, state.nextReconnect);
}

/** Sends at most one message of updates to each neighbour, within the rate
 * limit; the remaining updates are sent later. */
export function sendUpdates(step: states.Step): void {
  const { state, now } = step;
  const { neighbours } = state;
  const options = { ...SEND_OPTIONS, neighbours };
  const { queue: gossipQueue, batches } = gossipQueues.dequeue(
    state.gossipQueue,
    now,
    options,
  );
  const nextGossip = gossipQueue.items.size > 0
    ? now + states.UPDATE_DELAY_MS
    : Infinity;
  step.state = { ...state, gossipQueue, nextGossip };
  for (const { to, entries } of batches) {
    const news = entries.filter(({ isCompact }) => !isCompact).map(memberOf);
    const compact = entries.filter(({ isCompact }) => isCompact).map(
      memberOf,
    )
      .map(compactMember.encode);
    const body: schema.MemberNews = { type: "news", news };
    if (compact.length > 0) body.brief = compact;
    step.effects.push({ type: "send", to, body });
  }
}

/** Starts a replica comparison with a host whose root hash differs. */
export function compareRootHash(
  step: states.Step,
  from: string,
  rootHash: string,
): void {
  const { state, now } = step;
  if (rootHash === state.members.rootHash()) return;
  const isSettled = now - state.changedAt >= states.SETTLE_TIME_MS &&
    state.gossipQueue.items.size === 0;
  const isTooSoon = now < state.nextSync;
  const isOverdue = now >= state.nextSync + states.SYNC_INTERVAL_MS;
  if (isTooSoon || (!isSettled && !isOverdue)) return;
  step.state = { ...state, nextSync: now + states.SETTLE_TIME_MS };
  const body = antiEntropy.firstMessage(state.members);
  step.effects.push({ type: "send", to: from, body });
}

/** Answers the hashes of a replica comparison: group hashes with the bucket
 * hashes of differing groups, bucket hashes with the members. */
export function answerHashes(
  step: states.Step,
  from: string,
  message: schema.MemberCompare,
): void {
  for (
    const body of antiEntropy.answer(step.state.members, message, SYNC_OPTIONS)
  ) {
    step.effects.push({ type: "send", to: from, body });
  }
}

/** Merges the members of some buckets; sends back those that are newer here. */
export function receiveEntries(
  step: states.Step,
  from: string,
  message: schema.MemberEntries,
): void {
  const newer = antiEntropy.newerEntries(
    step.state.members,
    message,
    SYNC_OPTIONS,
  );
  merges.mergeAll(step, message.news, from);
  if (!message.reply) return;
  for (const part of antiEntropy.chunk(newer, states.MAX_UPDATES_PER_MESSAGE)) {
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

/** Pings one seed that is not known to be alive and one dead host, which makes
 * the first contact at the start and after a partition. */
function reconnect(step: states.Step): void {
  discardDead(step);
  const { state, now } = step;
  const { options, members, live } = state;
  const isAlone = live.length < 2;
  const interval = isAlone
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

function discardDead(step: states.Step): void {
  const { state, now } = step;
  const excess = state.deadSince.size - states.MAX_DEAD_MEMBERS;
  const discarded = [...state.deadSince].filter(([, at], pos) =>
    pos < excess || now - at >= states.DEAD_RETENTION_MS
  );
  if (discarded.length === 0) return;
  const deadSince = new Map(state.deadSince);
  let members = state.members;
  for (const [id] of discarded) {
    deadSince.delete(id);
    members = members.delete(id);
  }
  step.state = { ...state, deadSince, members };
}
