/** Watches the table over server-sent events. Reconnects from the last revision
 * when a connection ends or times out.
 * @module */

import * as parser from "eventsource-parser";
import * as undici from "undici";
import * as delays from "../../runtime/delay.ts";
import type * as runtime from "../../runtime/mod.ts";
import type * as table from "../../control/table/mod.ts";
import type * as problem from "../problem.ts";
import type * as client from "./client.ts";
import * as clientError from "./client_error.ts";

/** An event of the table stream. */
export type TableMessage =
  | { type: "table"; revision: number; rows: readonly client.Row[] }
  | {
    type: "change";
    revision: number;
    actor: string;
    at: number;
    changes: readonly table.CellWrite[];
  };

/** Options of a watch. */
export interface Options {
  urls: readonly string[];
  token: string;
  clock: runtime.Clock;
  /** Last revision that the caller has; 0 for none. */
  revision: number;
  /** Called with the error of a lost connection before reconnecting. */
  onLost?(error: Error): void;
}

/** Time without data after which a connection is considered lost; three
 * heartbeat intervals of the server. */
const IDLE_TIMEOUT_MS = 15_000;

/** Delay before reconnecting. */
const RECONNECT_INTERVAL_MS = 1000;

/** Yields events indefinitely. Throws only on a permanent error, such as an
 * invalid token. */
export async function* follow(
  options: Options,
): AsyncGenerator<TableMessage> {
  let { revision } = options;
  for (let pos = 0;; pos++) {
    const url = options.urls[pos % options.urls.length];
    try {
      for await (const message of connect(url, { ...options, revision })) {
        if (message.revision <= revision) continue;
        revision = message.revision;
        yield message;
      }
    } catch (error) {
      if (error instanceof clientError.ClientError) throw error;
      options.onLost?.(error as Error);
    }
    await delays.sleep(options.clock, RECONNECT_INTERVAL_MS);
  }
}

async function* connect(
  url: string,
  { token, revision }: Options,
): AsyncGenerator<TableMessage> {
  const path = `/v1/table/watch?revision=${revision}`;
  const { statusCode, body } = await undici.request(`${url}${path}`, {
    headers: { authorization: `Bearer ${token}` },
    headersTimeout: IDLE_TIMEOUT_MS,
    bodyTimeout: IDLE_TIMEOUT_MS,
  });
  if (statusCode !== 200) await rejectResponse(statusCode, body);
  const messages: TableMessage[] = [];
  const events = parser.createParser({
    onEvent: ({ event, data }) =>
      messages.push({ type: event, ...JSON.parse(data) }),
  });
  body.setEncoding("utf8");
  for await (const text of body) {
    events.feed(text);
    yield* messages.splice(0);
  }
}

async function rejectResponse(
  status: number,
  body: undici.Dispatcher.ResponseData["body"],
): Promise<void> {
  const document = await body.json() as problem.Problem;
  if (status < 500) throw clientError.fromProblem(document);
}
