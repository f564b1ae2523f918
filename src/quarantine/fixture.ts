/** Stand-ins for tests and simulated loads in which no request crashes
 * endpoints.
 * @module */

import type * as guards from "./guard.ts";

/** A guard that knows of no suspect and keeps nothing back. */
export function openGuard(): Pick<
  guards.Guard,
  "isCalm" | "refusal" | "admit" | "noteCrash" | "noteAnswer" | "noteEnd"
> {
  return {
    isCalm: true,
    refusal: () => undefined,
    admit: () => Promise.resolve({ type: "admitted" }),
    noteCrash() {},
    noteAnswer() {},
    noteEnd() {},
  };
}
