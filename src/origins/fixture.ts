/** Test doubles for tests and load models without streams that are resumed.
 * @module */

import type * as clients from "./origin_client.ts";

/** Origins that nothing is recorded of. */
export function noOrigins(): Pick<clients.OriginClient, "record" | "find"> {
  return {
    record() {},
    find: () => Promise.resolve({ type: "unknown", reason: "not-recorded" }),
  };
}
