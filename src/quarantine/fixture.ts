/** Test doubles for tests and load models in which no request crashes
 * endpoints.
 * @module */

import type * as guards from "./guard.ts";

/** A guard without suspects, which admits every request. */
export function permissiveGuard(): Pick<
  guards.Guard,
  | "hasNoSuspects"
  | "refusal"
  | "admit"
  | "recordCrash"
  | "recordSuccess"
  | "endRun"
> {
  return {
    hasNoSuspects: true,
    refusal: () => undefined,
    admit: () => Promise.resolve({ type: "admitted" }),
    recordCrash() {},
    recordSuccess() {},
    endRun() {},
  };
}
