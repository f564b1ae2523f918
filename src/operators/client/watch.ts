/** Follows the table over server-sent events and dials again, from the last
 * revision, when a connection ends or falls silent.
 * @module */

import * as parser from "eventsource-parser";
import * as undici from "undici";
import type * as runtime from "../../runtime/mod.ts";
import type * as table from "../../control/table/mod.ts";
import type * as problem from "../problem.ts";
import type * as client from "./client.ts";
import * as clientError from "./client_error.ts";

/** What a watcher is told. */
export type TableMessage =
  | { type: "table"; revision: number; rows: readonly client.Row[] }
  | {
    type: "change";
    revision: number;
    actor: string;
    at: number;
    changes: readonly table.Written[];
  };

/** What is followed. */
export interface Options {
  urls: readonly string[];
  token: string;
  clock: runtime.Clock;
  /** Revision that the caller has; 0 for none. */
  revision: number;
  /** Hears why a connection ended, before another one is tried. */
  onLost?(error: Error): void;
}

/** Milliseconds without a byte after which a connection is given up; three
 * signs of life of the server. */
const SILENCE = 15_000;

/** Milliseconds between two attempts. */
const REDIAL = 1000;

/** Yields events without end. Fails only on an answer that will not change,
 * such as a wrong token. */
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
    await new Promise<void>((resolve) =>
      void options.clock.after(REDIAL, resolve)
    );
  }
}

async function* connect(
  url: string,
  { token, revision }: Options,
): AsyncGenerator<TableMessage> {
  const path = `/v1/table/watch?revision=${revision}`;
  const { statusCode, body } = await undici.request(`${url}${path}`, {
    headers: { authorization: `Bearer ${token}` },
    headersTimeout: SILENCE,
    bodyTimeout: SILENCE,
  });
  if (statusCode !== 200) await refuse(statusCode, body);
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

async function refuse(
  status: number,
  body: undici.Dispatcher.ResponseData["body"],
): Promise<void> {
  const document = await body.json() as problem.Problem;
  if (status < 500) throw clientError.fromProblem(document);
}
