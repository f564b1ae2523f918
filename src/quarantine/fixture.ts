/** Test doubles for tests and load models in which no request crashes
 * endpoints.
 * @module */

import type * as guards from "./guard.ts";
import * as identities from "./identity.ts";

/** An identity whose request has `name` as its content, with shared parts. */
export function identity(
  name: string,
  parts: readonly string[] = [],
): identities.Identity {
  return identities.Identity.create({
    content: { method: "POST", host: "", target: name, body: new Uint8Array() },
    parts: [...parts, "own"].map((id) => ({ id })),
  });
}

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
