/** Reads request bodies.
 * @module */

import type * as http from "node:http";

/** Resolves with the complete body, or with why it can't be read. */
export function read(
  request: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | "too-large" | "unreadable"> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on("data", (chunk: Buffer) => {
      length += chunk.length;
      if (length > maxBytes) return resolve("too-large");
      chunks.push(chunk);
    });
    request.once("end", () => resolve(Buffer.concat(chunks)));
    // The end of the connection is also handled where the response closes.
    request.once("error", () => resolve("unreadable"));
    request.once("close", () => resolve("unreadable"));
  });
}
