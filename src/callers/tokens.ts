/** Bearer tokens, compared in constant time.
 * @module */

import * as crypto from "node:crypto";
import type * as http from "node:http";
import type * as request from "../request/mod.ts";

const BEARER = /^Bearer +([^ ]+) *$/i;

/** The bearer token of a request, or undefined. */
export function bearerOf(
  headers: http.IncomingHttpHeaders,
): string | undefined {
  return BEARER.exec(headers.authorization ?? "")?.[1];
}

/** The account whose token a request carries, or undefined. */
export function accountOf(
  headers: http.IncomingHttpHeaders,
  find: request.FindAccount,
): request.Account | undefined {
  const token = bearerOf(headers);
  if (token === undefined) return undefined;
  const hash = hashOf(token);
  const account = find(hash.toString("hex"));
  if (account === undefined) return undefined;
  const known = Buffer.from(account.tokenHash, "hex");
  return equal(hash, known) ? account : undefined;
}

/** Whether two tokens are the same; time does not tell how they differ. */
export function sameToken(one: string, other: string): boolean {
  return equal(hashOf(one), hashOf(other));
}

function hashOf(token: string): Buffer {
  return crypto.createHash("sha256").update(token).digest();
}

function equal(one: Buffer, other: Buffer): boolean {
  return one.length === other.length && crypto.timingSafeEqual(one, other);
}
