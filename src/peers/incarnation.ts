/** Incarnations of processes. Each start of a host is a new incarnation at the
 * same address: a message that concerns one of them does not concern the
 * next.
 * @module */

import * as crypto from "node:crypto";

/** Bits of an incarnation. Call ids start at this number and grow, and stay
 * integers that a double represents exactly. */
const BITS = 52;
const RADIX = 16;
const PATTERN = /^[0-9a-f]{1,13}$/;

/** Hexadecimal number that a process draws when it starts. It is not made of
 * the time, since clocks step. */
export type Incarnation = string;

/** Draws the incarnation of this process. */
export function draw(): Incarnation {
  const bytes = crypto.randomBytes(8);
  return BigInt.asUintN(BITS, bytes.readBigUInt64BE()).toString(RADIX);
}

/** Returns the incarnation in the headers of a handshake; undefined if they
 * have none, as those of earlier releases. */
export function decode(
  value: string | string[] | undefined,
): Incarnation | undefined {
  return typeof value === "string" && PATTERN.test(value) ? value : undefined;
}

/** The call id before the first one of an incarnation. */
export function callIdBase(incarnation: Incarnation): number {
  return Number.parseInt(incarnation, RADIX);
}
