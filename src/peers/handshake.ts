/** Authenticates the host that opens a connection without sending the fleet
 * key: the proof is an HMAC that is valid for one pair of hosts and one
 * direction.
 * @module */

import * as crypto from "node:crypto";
import type * as http from "node:http";

/** Headers of an upgrade request. */
export type Headers = http.IncomingHttpHeaders;

/** Header that names the dialling host. */
export const HOST_HEADER = "chicoryloft-host";
/** Header with the incarnation of a host, in requests and in responses. */
export const INCARNATION_HEADER = "chicoryloft-incarnation";
/** Header with which the dialling host states that it understands
 * acknowledgements of several frames. */
export const ACKNOWLEDGEMENT_HEADER = "chicoryloft-acknowledgement";
/** Its value. */
export const CUMULATIVE = "cumulative";
/** Header with the proof of the dialling host. */
export const PROOF_HEADER = "chicoryloft-proof";

/** Dialling and dialled host of a connection. */
export interface Ends {
  from: string;
  to: string;
}

/** Returns the headers with which `from` dials `to`. */
export function headersFor(
  ends: Ends,
  { key, incarnation }: { key?: string; incarnation?: string },
): Record<string, string> {
  const headers: Record<string, string> = {
    [HOST_HEADER]: ends.from,
    [ACKNOWLEDGEMENT_HEADER]: CUMULATIVE,
  };
  if (incarnation !== undefined) headers[INCARNATION_HEADER] = incarnation;
  if (key !== undefined) headers[PROOF_HEADER] = proofOf(ends, key);
  return headers;
}

/** Returns the host that dials `to` if it is in `hosts` and proves that it has
 * the key. */
export function verify(
  headers: Headers,
  { to, key, hosts }: {
    to: string;
    key: string | undefined;
    hosts: { has(host: string): boolean };
  },
): string | undefined {
  const from = headers[HOST_HEADER];
  const given = headers[PROOF_HEADER] ?? "";
  if (typeof from !== "string" || typeof given !== "string") return undefined;
  // The proof is checked first, so that the response does not reveal to
  // outsiders which hosts are in the fleet.
  const isProven = key === undefined ||
    isEqual(given, proofOf({ from, to }, key));
  return isProven && hosts.has(from) ? from : undefined;
}

function proofOf({ from, to }: Ends, key: string): string {
  return crypto.createHmac("sha256", key).update(`${from}\n${to}`)
    .digest("base64url");
}

/** Compares in constant time. */
function isEqual(given: string, expected: string): boolean {
  const [one, other] = [given, expected].map((text) =>
    crypto.createHash("sha256").update(text).digest()
  );
  return crypto.timingSafeEqual(one, other);
}
