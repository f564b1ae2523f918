/** Membership changes by the leader, one member at a time.
 * @module */

import type * as schema from "../../schema/log_types.ts";
import * as drafts from "./draft.ts";
import * as members from "./members.ts";
import * as replicaId from "./replica_id.ts";
import * as replication from "./replication.ts";
import type * as state from "./state.ts";

/** Maximum number of entries by which a learner may lag when it is promoted to
 * voter. */
const CAUGHT_UP_ENTRIES = 16;

/** Starts the next membership change that is due and safe. */
export function reconcile(draft: drafts.Draft): void {
  const { state } = draft;
  if (state.role !== "leader" || !isChangeAllowed(state)) return;
  const current = drafts.currentMembers(state);
  const removed = !current.voters.includes(state.id);
  if (removed) return drafts.becomeFollower(draft, state.term);
  const next = promote(draft, current) ?? admit(draft, current) ??
    dropInactive(draft, current) ?? dropUndesired(draft, current);
  if (next) replication.setMembers(draft, next);
}

/** Removes a replica at an operator's request, unless the remaining voters would
 * lack a live majority. */
export function remove(draft: drafts.Draft, id: string): void {
  const { state } = draft;
  const current = drafts.currentMembers(state);
  if (state.role !== "leader" || !isChangeAllowed(state)) return;
  if (!members.has(current, id)) return;
  const next = members.without(current, id);
  if (hasLiveMajority(draft, next)) replication.setMembers(draft, next);
}

/** Whether a change may start: the previous change and an entry of the current
 * term are committed, and no leadership transfer is in progress. */
function isChangeAllowed(from: state.State): boolean {
  const last = from.configurations.at(-1)!;
  return from.commit >= from.termStart && from.commit >= last.index &&
    from.transferDeadline === undefined;
}

type NextMembers = schema.Members | undefined;

/** Promotes a caught-up learner to voter. If its host has another voter, that one
 * is removed first: with both in the set, the loss of the new replica at this
 * moment could leave no majority. */
function promote(draft: drafts.Draft, current: schema.Members): NextMembers {
  const ready = current.learners.find((id) => isReady(draft, id));
  if (ready === undefined) return undefined;
  const host = replicaId.host(ready);
  const previous = current.voters.find((id) => replicaId.host(id) === host);
  const next = previous === undefined
    ? members.withVoter(current, ready)
    : members.without(current, previous);
  return hasLiveMajority(draft, next) ? next : undefined;
}

function isReady(draft: drafts.Draft, learner: string): boolean {
  const { desiredVoters, commit } = draft.state;
  return desiredVoters.includes(replicaId.host(learner)) &&
    replication.isRecent(draft, learner) &&
    replication.progressOf(draft, learner).match + CAUGHT_UP_ENTRIES >= commit;
}

/** Adds a replica that has asked to join, as a learner. */
function admit(draft: drafts.Draft, current: schema.Members): NextMembers {
  const { state } = draft;
  const [id] = Object.values(state.joining);
  if (id === undefined) return undefined;
  const { [replicaId.host(id)]: _, ...others } = state.joining;
  state.joining = others;
  return members.has(current, id)
    ? undefined
    : members.withLearner(current, id);
}

function dropInactive(
  draft: drafts.Draft,
  current: schema.Members,
): NextMembers {
  const inactive = current.learners.find((id) => isInactive(draft, id));
  return inactive === undefined
    ? undefined
    : members.without(current, inactive);
}

/** Removes an inactive voter whose host is no longer in the settings. */
function dropUndesired(
  draft: drafts.Draft,
  current: schema.Members,
): NextMembers {
  const { id: own, desiredVoters } = draft.state;
  const undesired = current.voters.find((id) =>
    id !== own && !desiredVoters.includes(replicaId.host(id)) &&
    isInactive(draft, id)
  );
  if (undesired === undefined) return undefined;
  const next = members.without(current, undesired);
  return hasLiveMajority(draft, next) ? next : undefined;
}

function isInactive(draft: drafts.Draft, id: string): boolean {
  const { lastAcknowledged, trackedSince } = replication
    .progressOf(draft, id);
  const last = Math.max(lastAcknowledged, trackedSince);
  return last + draft.state.timing.inactivityTimeout <= draft.now;
}

/** Whether a majority of the new voters has answered recently. */
function hasLiveMajority(draft: drafts.Draft, next: schema.Members): boolean {
  const { state } = draft;
  const live = next.voters.filter((id) =>
    id === state.id || replication.isRecent(draft, id)
  );
  return live.length >= members.majority(next.voters);
}
