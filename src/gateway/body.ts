/** Reads the body of a request.
 * @module */

import type * as http from "node:http";

/** Reads a whole body, or says why it cannot be had. */
export function read(
  request: http.IncomingMessage,
  most: number,
): Promise<Buffer | "too-large" | "unreadable"> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let length = 0;
    request.on("data", (part: Buffer) => {
      length += part.length;
      if (length > most) return resolve("too-large");
      parts.push(part);
    });
    request.once("end", () => resolve(Buffer.concat(parts)));
    // Whoever reads the request hears of its connection's end elsewhere too.
    request.once("error", () => resolve("unreadable"));
    request.once("close", () => resolve("unreadable"));
  });
}
