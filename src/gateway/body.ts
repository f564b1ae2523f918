/** Reads request bodies.
 * @module */

import type * as http from "node:http";
import * as chunkLists from "../runtime/chunk_list.ts";

/** Resolves with the complete body, or with why it can't be read. */
export function read(
  request: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | "too-large" | "unreadable"> {
  return new Promise((resolve) => {
    const chunks = chunkLists.ChunkList.create();
    request.on("data", (chunk: Buffer) => {
      if (chunks.length + chunk.length > maxBytes) return resolve("too-large");
      chunks.pushJoined(chunk);
    });
    request.once("end", () => resolve(chunks.take()));
    // The end of the connection is also handled where the response closes.
    request.once("error", () => resolve("unreadable"));
    request.once("close", () => resolve("unreadable"));
  });
}
