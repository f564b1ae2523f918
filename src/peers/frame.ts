/** Frames of the connections between hosts: batches of messages one way, their
 * numbers back. Text of JSON, put together from the messages' own texts, so that
 * each is written once.
 * @module */

import * as check from "../schema/check.ts";
import type * as schema from "../schema/peers_types.ts";
import * as validators from "../schema/peers_validators.ts";

/** The text of a message in a frame. */
export function encodeMessage({ channel, body }: schema.Parcel): string {
  return `{"channel":${JSON.stringify(channel)},"body":${
    JSON.stringify(body)
  }}`;
}

/** A frame of messages that are text already. */
export function encode(id: number, parcels: readonly string[]): string {
  return `{"id":${id},"batch":[${parcels.join(",")}]}`;
}

/** Reads a frame. Throws `SyntaxError` or `SchemaError`. */
export function decode(text: string): schema.Frame {
  return check.check<schema.Frame>(validators.validate, JSON.parse(text));
}

/** The number that a frame is acknowledged with. */
export function encodeAck(id: number): string {
  return `${id}`;
}

/** The number of the frame that is acknowledged; NaN for anything else. */
export function decodeAck(text: string): number {
  return Number(text);
}
