/** Reads bodies, bounded in size and time.
 * @module */

import type * as http from "node:http";
import * as problem from "./problem.ts";
import type * as runtime from "../runtime/mod.ts";

/** Bounds of a body. */
export interface Bounds {
  clock: runtime.Clock;
  /** Most bytes. */
  bytes: number;
  /** Most milliseconds until its end. */
  time: number;
}

/** The whole body, or a `CallerError`. */
export function read(
  incoming: http.IncomingMessage,
  { clock, bytes, time }: Bounds,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let done = false;
    const cancel = clock.after(time, () => fail("bad-request", SLOW));
    incoming.on("data", take);
    incoming.on("end", finish);
    incoming.on("error", () => fail("bad-request", CUT));
    incoming.on("close", () => fail("bad-request", CUT));
    const announced = Number(incoming.headers["content-length"] ?? 0);
    if (announced > bytes) fail("body-too-large", large(bytes));

    function take(chunk: Buffer): void {
      size += chunk.length;
      if (size > bytes) return fail("body-too-large", large(bytes));
      chunks.push(chunk);
    }

    function finish(): void {
      done = true;
      cancel();
      resolve(Buffer.concat(chunks));
    }

    function fail(name: "bad-request" | "body-too-large", why: string): void {
      // Every request is closed some time, also after its end.
      if (done) return;
      done = true;
      cancel();
      incoming.off("data", take);
      // What still comes is thrown away, so that the caller reads the answer.
      incoming.resume();
      reject(new problem.CallerError(name, why));
    }
  });
}

const SLOW = "The body did not come in time";
const CUT = "The body did not come to its end";

function large(bytes: number): string {
  return `The body is larger than ${bytes} bytes`;
}
