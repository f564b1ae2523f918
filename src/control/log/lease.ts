/** Leader lease, measured by the leader's own clock.
 *
 * A voter that has heard the leader takes part in no election for at least
 * `minElectionTimeout`. It heard the leader no earlier than the leader sent the
 * message that the voter answered. So within `lease` after that sending no other
 * leader can be elected, unless the clocks' rates differ by more than the margin
 * between the two durations.
 * @module */

import * as drafts from "./draft.ts";
import * as members from "./members.ts";
import type * as state from "./state.ts";

/** Returns the leader's time of the latest message that a majority of the voters
 * has answered. */
export function lastMajorityContact(from: state.State): number {
  const { voters } = drafts.currentMembers(from);
  return members.majorityValue(voters, (id) => {
    if (id === from.id) return Infinity;
    return from.progress[id]?.lastAcknowledged ?? -Infinity;
  });
}

/** Returns the expiry time of the lease; `-Infinity` without one. */
export function expiry(from: state.State): number {
  if (from.role !== "leader" || from.transferDeadline !== undefined) {
    return -Infinity;
  }
  const lastContact = lastMajorityContact(from);
  return lastContact < from.leaseNotBefore
    ? -Infinity
    : lastContact + from.timing.lease;
}

/** Whether the lease is held at `now`, which must be a fresh reading of the
 * clock. */
export function isHeld(from: state.State, now: number): boolean {
  return now < expiry(from);
}
