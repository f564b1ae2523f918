/** Takes statements about members into the state.
 * @module */

import * as briefs from "./compact_member.ts";
import * as member from "./member.ts";
import * as outboxes from "./gossip_queue.ts";
import * as rings from "./rings.ts";
import * as states from "./state.ts";

/** Takes in what `from` says about members. */
export function mergeAll(
  step: states.Step,
  news: readonly member.Member[],
  from: string,
): void {
  for (const statement of news) merge(step, statement, from);
}

/** Takes in short statements; copies are compared later if one is about what
 * is not known here. */
export function mergeCompact(
  step: states.Step,
  texts: readonly string[],
  from: string,
): void {
  for (const text of texts) {
    const statement = briefs.decode(step.state.members, text);
    if (statement !== undefined) merge(step, statement, from);
  }
}

/** Takes in one statement if it is newer than what is known. */
export function merge(
  step: states.Step,
  statement: member.Member,
  from: string,
): void {
  if (statement.id === step.state.options.self.id) {
    return refute(step, statement);
  }
  const known = step.state.members.get(statement.id);
  if (known === undefined && !member.isLive(statement)) return;
  const newer = known && member.compare(statement, known);
  if (newer === 0) hear(step, statement.id, from);
  if (newer !== undefined && newer <= 0) return;
  // The death that another host declares may be news from before a partition
  // healed: here, too, the member gets its time to refute.
  if (statement.status === "dead" && known !== undefined) {
    if (member.isLive(known)) {
      return merge(step, { ...statement, status: "suspect" }, from);
    }
  }
  replace(step, statement, from);
}

/** Declares a suspect dead that has not refuted in time. */
export function declareDead(step: states.Step, id: string): void {
  const known = step.state.members.get(id)!;
  replace(step, { ...known, status: "dead" }, "");
}

/** Replaces what is known of a member, tells the other parts and spreads it. */
export function replace(
  step: states.Step,
  statement: member.Member,
  from: string,
): void {
  const { state, now } = step;
  const known = state.members.get(statement.id);
  const suspects = new Map(state.suspicionEnds);
  const dead = new Map(state.deadSince);
  suspects.delete(statement.id);
  dead.delete(statement.id);
  if (statement.status === "suspect") {
    suspects.set(statement.id, now + states.SUSPICION_TIMEOUT_MS);
  }
  if (!member.isLive(statement)) dead.set(statement.id, now);
  // Each host declares a death by its own clock, so that only the suspicion
  // needs to spread.
  const { id } = statement;
  const isCompact = briefs.canEncode(known, statement);
  const outbox = statement.status === "dead"
    ? state.gossipQueue
    : outboxes.enqueue(state.gossipQueue, {
      id,
      member: statement,
      isCompact: isCompact,
    }, from);
  step.state = {
    ...state,
    members: state.members.set(statement),
    suspicionEnds: suspects,
    deadSince: dead,
    gossipQueue: outbox,
    nextGossip: Math.min(state.nextGossip, now + states.UPDATE_DELAY_MS),
  };
  relink(step, known, statement);
  notify(step, known, statement);
}

function hear(step: states.Step, id: string, from: string): void {
  const outbox = outboxes.markKnown(step.state.gossipQueue, id, from);
  step.state = { ...step.state, gossipQueue: outbox };
}

/** Changes what this host says of itself, and spreads it. */
export function updateSelf(
  step: states.Step,
  change: Partial<member.Member>,
): void {
  const { options, members } = step.state;
  const self = members.get(options.self.id)!;
  replace(step, { ...self, sequence: self.sequence + 1, ...change }, self.id);
}

function refute(step: states.Step, statement: member.Member): void {
  const { options, members } = step.state;
  const self = members.get(options.self.id)!;
  if (self.status === "left" || member.compare(statement, self) <= 0) return;
  // A statement of an earlier run of this host may carry a higher number than
  // the clock gave to this run.
  const incarnation = statement.incarnation > self.incarnation
    ? statement.incarnation + 1
    : self.incarnation;
  updateSelf(step, { incarnation, sequence: statement.sequence + 1 });
}

function relink(
  step: states.Step,
  known: member.Member | undefined,
  statement: member.Member,
): void {
  const live = member.isLive(statement);
  const wasLive = known !== undefined && member.isLive(known);
  const changed = live !== wasLive ||
    (live && (known?.sequence !== statement.sequence ||
      known.incarnation !== statement.incarnation));
  if (changed) step.state = { ...step.state, changedAt: step.now };
  if (live === wasLive) return;
  const others = step.state.live.filter((id) => id !== statement.id);
  const ids = live ? [...others, statement.id].sort() : others;
  const own = step.state.options.self.id;
  step.state = {
    ...step.state,
    live: ids,
    subjects: rings.subjects(own, ids),
    neighbours: rings.neighbours(own, ids),
  };
}

function notify(
  step: states.Step,
  known: member.Member | undefined,
  statement: member.Member,
): void {
  const change = changeOf(known, statement);
  if (change === undefined) return;
  step.effects.push({
    type: "notify",
    change: { type: change, member: statement },
  });
}

function changeOf(
  known: member.Member | undefined,
  statement: member.Member,
): states.Change["type"] | undefined {
  const wasLive = known !== undefined && member.isLive(known);
  if (!member.isLive(statement)) {
    if (!wasLive) return undefined;
    return statement.status === "left" ? "left" : "died";
  }
  if (!wasLive) return "joined";
  const same = known.incarnation === statement.incarnation &&
    known.drain === statement.drain && known.address === statement.address &&
    known.port === statement.port;
  return same ? undefined : "changed";
}
