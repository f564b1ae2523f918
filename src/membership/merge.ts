/** Merges received members into the state.
 * @module */

import * as compactMember from "./compact_member.ts";
import * as member from "./member.ts";
import * as gossipQueues from "./gossip_queue.ts";
import * as rings from "./rings.ts";
import * as states from "./state.ts";

/** Merges members received from host `from`. */
export function mergeAll(
  step: states.Step,
  received: readonly member.Member[],
  from: string,
): void {
  for (const update of received) merge(step, update, from);
}

/** Merges compactly encoded members received from host `from`. One that can't
 * be decoded here is skipped and picked up by a later replica comparison. */
export function mergeCompact(
  step: states.Step,
  texts: readonly string[],
  from: string,
): void {
  for (const text of texts) {
    const update = compactMember.decode(step.state.members, text);
    if (update !== undefined) merge(step, update, from);
  }
}

/** Merges one member if it is newer than the known version. */
export function merge(
  step: states.Step,
  update: member.Member,
  from: string,
): void {
  if (update.id === step.state.options.self.id) {
    return refute(step, update);
  }
  const known = step.state.members.get(update.id);
  if (known === undefined && !member.isLive(update)) return;
  const newer = known && member.compare(update, known);
  if (newer === 0) markKnown(step, update.id, from);
  if (newer !== undefined && newer <= 0) return;
  // Another host may have declared the death during a partition that has since
  // healed, so the member gets its time to refute it here as well.
  if (update.status === "dead" && known !== undefined) {
    if (member.isLive(known)) {
      return merge(step, { ...update, status: "suspect" }, from);
    }
  }
  replace(step, update, from);
}

/** Declares a suspect dead that has not refuted the suspicion in time. */
export function declareDead(step: states.Step, id: string): void {
  const known = step.state.members.get(id)!;
  replace(step, { ...known, status: "dead" }, "");
}

/** Replaces a member, reports the change and queues it for gossip. */
export function replace(
  step: states.Step,
  update: member.Member,
  from: string,
): void {
  const { state, now } = step;
  const known = state.members.get(update.id);
  const suspicionEnds = new Map(state.suspicionEnds);
  const deadSince = new Map(state.deadSince);
  suspicionEnds.delete(update.id);
  deadSince.delete(update.id);
  if (update.status === "suspect") {
    suspicionEnds.set(update.id, now + states.SUSPICION_TIMEOUT_MS);
  }
  if (!member.isLive(update)) deadSince.set(update.id, now);
  // Each host declares a death by its own timer, so only the suspicion has to
  // be gossiped.
  const { id } = update;
  const isCompact = compactMember.canEncode(known, update);
  const gossipQueue = update.status === "dead"
    ? state.gossipQueue
    : gossipQueues.enqueue(state.gossipQueue, {
      id,
      member: update,
      isCompact,
    }, from);
  step.state = {
    ...state,
    members: state.members.set(update),
    suspicionEnds,
    deadSince,
    gossipQueue,
    nextGossip: Math.min(state.nextGossip, now + states.UPDATE_DELAY_MS),
  };
  updateOverlay(step, known, update);
  notify(step, known, update);
}

function markKnown(step: states.Step, id: string, from: string): void {
  const gossipQueue = gossipQueues.markKnown(step.state.gossipQueue, id, from);
  step.state = { ...step.state, gossipQueue };
}

/** Publishes a new version of this host's own member. */
export function updateSelf(
  step: states.Step,
  change: Partial<member.Member>,
): void {
  const { options, members } = step.state;
  const self = members.get(options.self.id)!;
  replace(step, { ...self, sequence: self.sequence + 1, ...change }, self.id);
}

function refute(step: states.Step, update: member.Member): void {
  const { options, members } = step.state;
  const self = members.get(options.self.id)!;
  if (self.status === "left" || member.compare(update, self) <= 0) return;
  // An earlier run of this host may have had a higher incarnation, if the clock
  // was set back since.
  const incarnation = update.incarnation > self.incarnation
    ? update.incarnation + 1
    : self.incarnation;
  updateSelf(step, { incarnation, sequence: update.sequence + 1 });
}

function updateOverlay(
  step: states.Step,
  known: member.Member | undefined,
  update: member.Member,
): void {
  const live = member.isLive(update);
  const wasLive = known !== undefined && member.isLive(known);
  const changed = live !== wasLive ||
    (live && (known?.sequence !== update.sequence ||
      known.incarnation !== update.incarnation));
  if (changed) step.state = { ...step.state, changedAt: step.now };
  if (live === wasLive) return;
  const others = step.state.live.filter((id) => id !== update.id);
  const ids = live ? [...others, update.id].sort() : others;
  const self = step.state.options.self.id;
  step.state = {
    ...step.state,
    live: ids,
    subjects: rings.subjects(self, ids),
    neighbours: rings.neighbours(self, ids),
  };
}

function notify(
  step: states.Step,
  known: member.Member | undefined,
  update: member.Member,
): void {
  const change = changeOf(known, update);
  if (change === undefined) return;
  step.effects.push({
    type: "notify",
    change: { type: change, member: update },
  });
}

function changeOf(
  known: member.Member | undefined,
  update: member.Member,
): states.Change["type"] | undefined {
  const wasLive = known !== undefined && member.isLive(known);
  if (!member.isLive(update)) {
    if (!wasLive) return undefined;
    return update.status === "left" ? "left" : "died";
  }
  if (!wasLive) return "joined";
  const isUnchanged = known.incarnation === update.incarnation &&
    known.drain === update.drain && known.address === update.address &&
    known.port === update.port;
  return isUnchanged ? undefined : "changed";
}
