/** What tells two requests with the same content, from the same client account,
 * whichever host they come to.
 * @module */

import * as crypto from "node:crypto";

/** What belongs to a request's identity. Headers do not: callers change ids,
 * deadlines and hints from attempt to attempt. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** Client account; absent on a public route. */
  readonly account?: string;
  readonly body: Uint8Array;
}

/** Characters that are kept of a digest: 132 bits, which nobody can collide. */
const LENGTH = 22;

/** Digest of a request's content. The account is its key, so that no account
 * can make a request that is taken for another's. */
export function of(
  { method, host, target, account = "", body }: RequestContent,
): string {
  return crypto.createHmac("sha256", account)
    .update(JSON.stringify([method, host, target]))
    .update(body)
    .digest("base64url")
    .slice(0, LENGTH);
}
