/** Calls to the metrics address of a host.
 * @module */

import * as undici from "undici";
import * as client from "../client/mod.ts";

/** Timeout for the response headers. */
const TIMEOUT_MS = 3000;

/** Response of a host. */
export interface Answer {
  readonly status: number;
  readonly text: string;
}

/** Calls a host; throws a `ClientError` when it does not answer. */
export async function call(
  method: "GET" | "POST",
  url: string,
): Promise<Answer> {
  try {
    const options = { method, headersTimeout: TIMEOUT_MS };
    const { statusCode, body } = await undici.request(url, options);
    return { status: statusCode, text: await body.text() };
  } catch (error) {
    const { message } = error as Error;
    throw new client.ClientError("unavailable", message);
  }
}
