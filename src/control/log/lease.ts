/** The leader's lease, by its own clock.
 *
 * A voter that has heard the leader takes part in no election for at least
 * `electionLeast`. It heard the leader no earlier than the leader sent the
 * message that it answers, so `lease` after that sending, no other can have
 * been elected unless clocks differ by more than the margin between the two.
 * @module */

import * as drafts from "./draft.ts";
import * as members from "./members.ts";
import type * as state from "./state.ts";

/** When a leader was last heard by a majority, by its own clock. */
export function lastMajorityContact(from: state.State): number {
  const { voters } = drafts.currentMembers(from);
  return members.majorityValue(voters, (id) => {
    if (id === from.id) return Infinity;
    return from.progress[id]?.lastAcknowledged ?? -Infinity;
  });
}

/** When the lease ends; `-Infinity` on a replica that has none. */
export function expiry(from: state.State): number {
  if (from.role !== "leader" || from.transferDeadline !== undefined) {
    return -Infinity;
  }
  const last = lastMajorityContact(from);
  return last < from.leaseNotBefore ? -Infinity : last + from.timing.lease;
}

/** Whether the lease is held at `now`, which must be read afresh. */
export function isHeld(from: state.State, now: number): boolean {
  return now < expiry(from);
}
