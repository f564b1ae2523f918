/** Bearer tokens and their comparison in constant time.
 * @module */

import * as crypto from "node:crypto";
import type * as http from "node:http";
import type * as request from "../request/mod.ts";

const BEARER = /^Bearer +([^ ]+) *$/i;

/** Returns the bearer token of a request, or undefined. */
export function bearerOf(
  headers: http.IncomingHttpHeaders,
): string | undefined {
  return BEARER.exec(headers.authorization ?? "")?.[1];
}

/** Finds the account of a request by its bearer token. */
export function accountOf(
  headers: http.IncomingHttpHeaders,
  find: request.FindAccount,
): request.Account | undefined {
  const token = bearerOf(headers);
  if (token === undefined) return undefined;
  const hash = hashOf(token);
  const account = find(hash.toString("hex"));
  if (account === undefined) return undefined;
  const expected = Buffer.from(account.tokenHash, "hex");
  return constantTimeEqual(hash, expected) ? account : undefined;
}

/** Whether two tokens are equal, compared in constant time. */
export function sameToken(a: string, b: string): boolean {
  return constantTimeEqual(hashOf(a), hashOf(b));
}

function hashOf(token: string): Buffer {
  return crypto.createHash("sha256").update(token).digest();
}

function constantTimeEqual(a: Buffer, b: Buffer): boolean {
  return a.length === b.length && crypto.timingSafeEqual(a, b);
}
