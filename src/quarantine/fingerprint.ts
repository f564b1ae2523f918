/** Fingerprints of requests and of prompt parts: equal for requests with the
 * same content and client account, and for equal parts, at whichever host they
 * arrive.
 * @module */

import * as crypto from "node:crypto";

/** The parts of a request that the fingerprint covers. Headers are excluded,
 * since callers change ids, deadlines and hints between attempts. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** Client account; absent on a public route. */
  readonly account?: string;
  readonly body: Uint8Array;
}

/** Length of a fingerprint in characters: 132 bits, for which collisions are
 * infeasible. */
const DIGEST_LENGTH = 22;
const PART_PREFIX = "part:";
/** Ids that are kept as they are; no digest matches. */
const PLAIN_ID = /^[\w.-]{1,48}$/;

/** Returns the digest of a request's content. The account is the key of the
 * HMAC, so that no account can forge the fingerprint of another one's
 * request. */
export function of(
  { method, host, target, account = "", body }: RequestContent,
): string {
  return crypto.createHmac("sha256", account)
    .update(JSON.stringify([method, host, target]))
    .update(body)
    .digest("base64url")
    .slice(0, DIGEST_LENGTH);
}

/** Returns the fingerprint of a prompt part: its id after a prefix, or the id's
 * digest where the id is long or unusual. No fingerprint of a request has the
 * prefix. */
export function ofPart(id: string): string {
  return PART_PREFIX + (PLAIN_ID.test(id) ? id : digestOf(id));
}

/** Whether a fingerprint is that of a prompt part. */
export function isOfPart(fingerprint: string): boolean {
  return fingerprint.startsWith(PART_PREFIX);
}

function digestOf(id: string): string {
  const digest = crypto.createHash("sha256").update(id).digest("base64url");
  return `~${digest.slice(0, DIGEST_LENGTH)}`;
}
