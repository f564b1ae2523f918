/** Handing leadership over before a stop.
 *
 * From then on the leader takes no proposals and holds no lease in its term:
 * the one that it asks need not wait for a lease to end.
 * @module */

import * as drafts from "./draft.ts";
import * as replication from "./replication.ts";

/** Begins to hand over. */
export function start(draft: drafts.Draft): void {
  const { state, now } = draft;
  if (state.role !== "leader" || state.transferDeadline !== undefined) return;
  if (drafts.otherVoters(state).length === 0) return;
  state.transferDeadline = now + state.timing.minElectionTimeout;
  tryTransfer(draft);
}

/** Asks the first voter that has the whole log to stand for election. */
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
