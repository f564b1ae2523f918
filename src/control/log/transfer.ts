/** Leadership transfer before a shutdown.
 *
 * From its start the leader accepts no proposals and holds no lease for the rest
 * of its term, so that the new leader need not wait for a lease to expire.
 * @module */

import * as drafts from "./draft.ts";
import * as replication from "./replication.ts";

/** Starts a leadership transfer. */
export function start(draft: drafts.Draft): void {
  const { state, now } = draft;
  if (state.role !== "leader" || state.transferDeadline !== undefined) return;
  if (drafts.otherVoters(state).length === 0) return;
  state.transferDeadline = now + state.timing.minElectionTimeout;
  tryTransfer(draft);
}

/** Asks the first voter that has the complete log to start an election. */
export function tryTransfer(draft: drafts.Draft): void {
  const { state } = draft;
  if (state.transferDeadline === undefined || state.transferTarget) return;
  const to = drafts.otherVoters(state).find((id) =>
    replication.isRecent(draft, id) &&
    replication.progressOf(draft, id).match === state.log.last.index
  );
  if (to === undefined) return;
  state.transferTarget = to;
  drafts.send(draft, to, { type: "timeout-now", term: state.term });
}
