/** How a leader brings the set of members up to date, one member at a time.
 * @module */

import type * as schema from "../../schema/log_types.ts";
import * as drafts from "./draft.ts";
import * as members from "./members.ts";
import * as replicaId from "./replica_id.ts";
import * as replication from "./replication.ts";
import type * as state from "./state.ts";

/** Entries by which a learner may still lag when it becomes a voter. */
const CAUGHT_UP = 16;

/** Makes the next change that is due, if any and if it is safe. */
export function reconcile(draft: drafts.Draft): void {
  const { state } = draft;
  if (state.role !== "leader" || !isSettled(state)) return;
  const current = drafts.currentMembers(state);
  const removed = !current.voters.includes(state.id);
  if (removed) return drafts.becomeFollower(draft, state.term);
  const next = promote(draft, current) ?? admit(draft, current) ??
    dropSilent(draft, current) ?? dropUnnamed(draft, current);
  if (next) replication.setMembers(draft, next);
}

/** Takes a replica out on an operator's word. */
export function remove(draft: drafts.Draft, id: string): void {
  const { state } = draft;
  const current = drafts.currentMembers(state);
  if (state.role !== "leader" || !isSettled(state)) return;
  if (!members.has(current, id)) return;
  const next = members.without(current, id);
  if (isLive(draft, next)) replication.setMembers(draft, next);
}

/** A change needs the one before it, and an entry of this term, committed. */
function isSettled(from: state.State): boolean {
  const last = from.configurations.at(-1)!;
  return from.commit >= from.termStart && from.commit >= last.index &&
    from.transferDeadline === undefined;
}

type Proposal = schema.Members | undefined;

/** Makes a learner a voter. The voter that its host had before goes first: in
 * a set with both, a learner lost at this moment would leave no majority. */
function promote(draft: drafts.Draft, now: schema.Members): Proposal {
  const ready = now.learners.find((id) => isReady(draft, id));
  if (ready === undefined) return undefined;
  const host = replicaId.host(ready);
  const former = now.voters.find((id) => replicaId.host(id) === host);
  const next = former === undefined
    ? members.withVoter(now, ready)
    : members.without(now, former);
  return isLive(draft, next) ? next : undefined;
}

function isReady(draft: drafts.Draft, learner: string): boolean {
  const { desiredVoters: hosts, commit } = draft.state;
  return hosts.includes(replicaId.host(learner)) &&
    replication.isRecent(draft, learner) &&
    replication.progressOf(draft, learner).match + CAUGHT_UP >= commit;
}

function admit(draft: drafts.Draft, now: schema.Members): Proposal {
  const { state } = draft;
  const [id] = Object.values(state.joining);
  if (id === undefined) return undefined;
  const { [replicaId.host(id)]: _, ...others } = state.joining;
  state.joining = others;
  return members.has(now, id) ? undefined : members.withLearner(now, id);
}

function dropSilent(draft: drafts.Draft, now: schema.Members): Proposal {
  const silent = now.learners.find((id) => isSilent(draft, id));
  return silent === undefined ? undefined : members.without(now, silent);
}

/** Takes out a voter whose host is neither heard nor named any more. */
function dropUnnamed(draft: drafts.Draft, now: schema.Members): Proposal {
  const { id: own, desiredVoters: hosts } = draft.state;
  const unnamed = now.voters.find((id) =>
    id !== own && !hosts.includes(replicaId.host(id)) && isSilent(draft, id)
  );
  if (unnamed === undefined) return undefined;
  const next = members.without(now, unnamed);
  return isLive(draft, next) ? next : undefined;
}

function isSilent(draft: drafts.Draft, id: string): boolean {
  const { lastAcknowledged: answered, trackedSince: since } = replication
    .progressOf(draft, id);
  const last = Math.max(answered, since);
  return last + draft.state.timing.inactivityTimeout <= draft.now;
}

/** Whether a majority of the new voters answers now. */
function isLive(draft: drafts.Draft, next: schema.Members): boolean {
  const { state } = draft;
  const live = next.voters.filter((id) =>
    id === state.id || replication.isRecent(draft, id)
  );
  return live.length >= members.majority(next.voters);
}
