/** Configurations as they are stored and sent between hosts: thousands of routes
 * are hundreds of kilobytes of text that repeats itself, which a fifth holds.
 * @module */

import * as zlib from "node:zlib";

/** Level of compression: the fastest, since an order waits for it. */
const LEVEL = 1;
/** Bytes of the largest document that is unpacked. */
const MOST_BYTES = 64 * 1024 * 1024;

/** Bytes that are no packed document. */
export class PackingError extends Error {
  override readonly name = "PackingError";
}

/** Packs the text of a document. */
export function compress(text: string): string {
  return zlib.deflateRawSync(text, { level: LEVEL }).toString("base64");
}

/** The text that was packed. Throws `PackingError`. */
export function decompress(packed: string): string {
  const bytes = Buffer.from(packed, "base64");
  try {
    return zlib.inflateRawSync(bytes, { maxOutputLength: MOST_BYTES })
      .toString();
  } catch (cause) {
    throw new PackingError("A document cannot be unpacked", { cause });
  }
}
