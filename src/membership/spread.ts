/** Passes news on, compares copies, and looks for hosts that were lost.
 * @module */

import type * as schema from "../schema/membership_types.ts";
import * as digestMap from "./digest_map.ts";
import * as member from "./member.ts";
import * as merges from "./merge.ts";
import * as probes from "./probe.ts";
import * as states from "./state.ts";

/** Does what is due: sends news, tries lost hosts, forgets old ones. */
export function advance(step: states.Step): void {
  if (step.now >= step.state.nextNews) sendNews(step);
  if (step.now >= step.state.nextHeal) heal(step);
}

/** When spreading next has something to do. */
export function due(state: states.State): number {
  return Math.min(state.nextNews, state.nextHeal);
}

/** Sends up to one message of news to each neighbour. */
export function sendNews(step: states.Step): void {
  const { state, now } = step;
  const news = [...state.news.values()];
  const batch = news.slice(0, states.NEWS_LIMIT);
  const rest = news.slice(states.NEWS_LIMIT);
  step.state = {
    ...state,
    news: new Map(rest.map((item) => [item.member.id, item])),
    nextNews: rest.length > 0 ? now + states.NEWS_DELAY : Infinity,
  };
  for (const to of state.neighbours) {
    const fresh = batch.filter((item) => item.from !== to);
    if (fresh.length > 0) sendMembers(step, to, fresh.map(memberOf));
  }
}

/** Compares copies with a host whose root differs from this host's. */
export function compareRoot(
  step: states.Step,
  from: string,
  root: string,
): void {
  const { state, now } = step;
  if (root === state.members.root()) return;
  const quiet = now - state.changedAt >= states.QUIET;
  const recent = now < state.nextSync;
  const waited = now >= state.nextSync + states.SYNC_INTERVAL;
  if (recent || (!quiet && !waited)) return;
  step.state = { ...state, nextSync: now + states.QUIET };
  const hashes = state.members.hashes();
  step.effects.push({
    type: "send",
    to: from,
    body: { type: "compare", hashes },
  });
}

/** Answers hashes: with finer ones of groups that differ, then with members. */
export function compare(
  step: states.Step,
  from: string,
  { group, hashes }: schema.MemberCompare,
): void {
  const { members } = step.state;
  const differing = members.differing(hashes, group);
  if (group !== undefined) {
    const buckets = differing.map((pos) => group * digestMap.FANOUT + pos);
    return sendEntries(step, from, { buckets, reply: true });
  }
  for (const pos of differing) {
    const body: schema.MemberCompare = {
      type: "compare",
      group: pos,
      hashes: members.hashes(pos),
    };
    step.effects.push({ type: "send", to: from, body });
  }
}

/** Takes members of some buckets; sends back what is newer here. */
export function receive(
  step: states.Step,
  from: string,
  { buckets, news, reply }: schema.MemberEntries,
): void {
  const theirs = new Map(news.map((item) => [item.id, item]));
  const newer = buckets
    .flatMap((pos) => step.state.members.bucket(pos))
    .filter((known) => isNewer(known, theirs.get(known.id)));
  merges.mergeAll(step, news, from);
  if (!reply || newer.length === 0) return;
  for (let pos = 0; pos < newer.length; pos += states.NEWS_LIMIT) {
    const part = newer.slice(pos, pos + states.NEWS_LIMIT);
    sendMembers(step, from, part);
  }
}

function sendEntries(
  step: states.Step,
  to: string,
  { buckets, reply }: { buckets: number[]; reply: boolean },
): void {
  let part: schema.MemberEntries | undefined;
  for (const pos of buckets) {
    const news = step.state.members.bucket(pos);
    if (
      part === undefined || part.news.length + news.length > states.NEWS_LIMIT
    ) {
      part = { type: "entries", buckets: [], news: [], reply };
      step.effects.push({ type: "send", to, body: part });
    }
    part.buckets.push(pos);
    part.news.push(...news);
  }
}

function isNewer(
  known: member.Member,
  theirs: member.Member | undefined,
): boolean {
  return theirs === undefined
    ? member.isLive(known)
    : member.compare(known, theirs) > 0;
}

function sendMembers(
  step: states.Step,
  to: string,
  news: member.Member[],
): void {
  step.effects.push({ type: "send", to, body: { type: "news", news } });
}

function memberOf({ member }: states.News): member.Member {
  return member;
}

/** Pings one host that counts as dead, or a seed that is not known to live:
 * after a partition, or at the start, this is the first contact. */
function heal(step: states.Step): void {
  forget(step);
  const { state, now } = step;
  const { options, members, live } = state;
  const alone = live.length < 2;
  const interval = alone ? states.JOIN_INTERVAL : states.HEAL_INTERVAL;
  step.state = { ...state, nextHeal: now + interval };
  const lost = [...new Set([...state.dead.keys(), ...options.seeds])]
    .filter((id) => isLost(state, id));
  if (lost.length === 0) return;
  const to = lost[options.random.below(lost.length)];
  probes.ping(step, to, { news: [members.get(options.self.id)!] });
}

function isLost({ options, members }: states.State, id: string): boolean {
  if (id === options.self.id) return false;
  const known = members.get(id);
  return known === undefined || known.status === "dead" ||
    (known.status === "left" && options.seeds.includes(id));
}

function forget(step: states.Step): void {
  const { state, now } = step;
  const excess = state.dead.size - states.DEAD_LIMIT;
  const old = [...state.dead].filter(([, at], pos) =>
    pos < excess || now - at >= states.DEAD_KEPT
  );
  if (old.length === 0) return;
  const dead = new Map(state.dead);
  let members = state.members;
  for (const [id] of old) {
    dead.delete(id);
    members = members.delete(id);
  }
  step.state = { ...state, dead, members };
}
