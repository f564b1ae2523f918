/** Wire format of the connections between hosts: batches of messages in one
 * direction, acknowledgements with the batch numbers in the other. A frame is
 * concatenated from messages that are encoded as JSON once.
 * @module */

import * as check from "../schema/check.ts";
import type * as schema from "../schema/peers_types.ts";
import * as validators from "../schema/peers_validators.ts";

/** Encodes a message for use in a frame. */
export function encodeMessage({ channel, body }: schema.Parcel): string {
  return `{"channel":${JSON.stringify(channel)},"body":${
    JSON.stringify(body)
  }}`;
}

/** Encodes a frame from encoded messages; `acknowledged` is the number of the
 * last frame received from the other host, if it is to be acknowledged. */
export function encode(
  id: number,
  messages: readonly string[],
  acknowledged?: number,
): string {
  const ack = acknowledged === undefined
    ? ""
    : `"acknowledged":${acknowledged},`;
  return `{"id":${id},${ack}"batch":[${messages.join(",")}]}`;
}

/** Decodes a frame. Throws `SyntaxError` or `SchemaError`. */
export function decode(text: string): schema.Frame {
  return check.check<schema.Frame>(validators.validate, JSON.parse(text));
}

/** Encodes the acknowledgement of a frame. */
export function encodeAck(id: number): string {
  return `${id}`;
}

/** Returns the number of the acknowledged frame; NaN if the text is not an
 * acknowledgement. */
export function decodeAck(text: string): number {
  return Number(text);
}
