/** Reads request bodies of bounded size.
 * @module */

import type * as http from "node:http";
import * as chunkLists from "../runtime/chunk_list.ts";
import * as problem from "./problem.ts";

/** Maximum body size; an edit of 4000 cells takes about 0.6 MB. */
export const MAX_BODY_BYTES = 1 << 20;

/** Reads a request's body as JSON. */
export async function readJSON(
  request: http.IncomingMessage,
): Promise<unknown> {
  const text = await readText(request);
  try {
    return JSON.parse(text);
  } catch (cause) {
    const detail = `the body is not JSON: ${(cause as Error).message}`;
    throw new problem.OperatorsError("bad-request", detail);
  }
}

async function readText(request: http.IncomingMessage): Promise<string> {
  const chunks = chunkLists.ChunkList.create();
  // Leaving the loop must not close the socket: the error response uses it.
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    if (chunks.length + chunk.length > MAX_BODY_BYTES) {
      const detail = `a body may have ${MAX_BODY_BYTES} bytes`;
      throw new problem.OperatorsError("body-too-large", detail);
    }
    chunks.pushJoined(chunk);
  }
  return chunks.take().toString("utf8");
}
