/** Reads request bodies within limits of size and time.
 * @module */

import type * as http from "node:http";
import * as chunkLists from "../runtime/chunk_list.ts";
import * as problem from "./problem.ts";
import type * as runtime from "../runtime/mod.ts";

/** Limits of a body. */
export interface Bounds {
  clock: runtime.Clock;
  /** Maximum size in bytes. */
  bytes: number;
  /** Maximum time until its end, in milliseconds. */
  time: number;
}

/** Reads the whole body; rejects with a `CallerError`. */
export function read(
  incoming: http.IncomingMessage,
  { clock, bytes, time }: Bounds,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks = chunkLists.ChunkList.create();
    let done = false;
    const cancel = clock.after(time, () => fail("bad-request", TIMEOUT_DETAIL));
    incoming.on("data", take);
    incoming.on("end", finish);
    incoming.on("error", () => fail("bad-request", INCOMPLETE_DETAIL));
    incoming.on("close", () => fail("bad-request", INCOMPLETE_DETAIL));
    const declared = Number(incoming.headers["content-length"] ?? 0);
    if (declared > bytes) fail("body-too-large", tooLargeDetail(bytes));

    function take(chunk: Buffer): void {
      if (chunks.length + chunk.length > bytes) {
        return fail("body-too-large", tooLargeDetail(bytes));
      }
      chunks.pushJoined(chunk);
    }

    function finish(): void {
      done = true;
      cancel();
      resolve(chunks.take());
    }

    function fail(
      name: "bad-request" | "body-too-large",
      detail: string,
    ): void {
      // `close` is also emitted after the end of a complete body.
      if (done) return;
      done = true;
      cancel();
      incoming.off("data", take);
      // Discard the rest of the body, so that the caller can read the answer.
      incoming.resume();
      reject(new problem.CallerError(name, detail));
    }
  });
}

const TIMEOUT_DETAIL = "The body did not come in time";
const INCOMPLETE_DETAIL = "The body did not come to its end";

function tooLargeDetail(bytes: number): string {
  return `The body is larger than ${bytes} bytes`;
}
