/** Compression of configurations for storage and transfer: thousands of routes
 * are hundreds of kilobytes of repetitive text, which shrinks to a fifth.
 * @module */

import * as zlib from "node:zlib";

/** Compression level: the fastest, since an operator's request waits for it. */
const COMPRESSION_LEVEL = 1;
/** Maximum size of a decompressed document, in bytes. */
const MAX_DOCUMENT_BYTES = 64 * 1024 * 1024;

/** Thrown for bytes that are not a compressed document. */
export class PackingError extends Error {
  override readonly name = "PackingError";
}

/** Compresses the text of a document. */
export function compress(text: string): string {
  return zlib.deflateRawSync(text, { level: COMPRESSION_LEVEL }).toString(
    "base64",
  );
}

/** Returns the text of a compressed document. Throws `PackingError`. */
export function decompress(packed: string): string {
  const bytes = Buffer.from(packed, "base64");
  try {
    return zlib.inflateRawSync(bytes, { maxOutputLength: MAX_DOCUMENT_BYTES })
      .toString();
  } catch (cause) {
    throw new PackingError(
      "Document is not base64 of deflated data, or is too large",
      { cause },
    );
  }
}
