/** How old what a host knows may be.
 * @module */

import type * as runtime from "../runtime/mod.ts";

/** A moment on both clocks: the steady one may stand still while a machine is
 * suspended, and the wall clock may be set. */
export interface Instant {
  readonly now: number;
  readonly wall: number;
}

/** This moment. */
export function instant(clock: runtime.Clock): Instant {
  return { now: clock.now(), wall: clock.wall() };
}

/** Milliseconds since a moment, by the clock that says more. */
export function elapsedSince(since: Instant, clock: runtime.Clock): number {
  return Math.max(clock.now() - since.now, clock.wall() - since.wall);
}
