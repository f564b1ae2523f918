/** Streams the table to an operator as server-sent events: `table` with all
 * rows where the watcher's revision is old, then `change` for each edit.
 * @module */

import type * as http from "node:http";
import type * as runtime from "../runtime/mod.ts";
import type * as access from "./access.ts";
import * as redaction from "./redaction.ts";

/** Milliseconds between signs of life, by which a client tells a quiet table
 * from a silent connection. */
export const HEARTBEAT_INTERVAL_MS = 5000;

/** Bytes that may wait for a slow watcher before it is cut off. */
const MOST_WAITING = 4 << 20;

/** What a stream is made from. */
export interface Options {
  table: access.TableAccess;
  clock: runtime.Clock;
  /** Revision that the watcher has; 0 for none. */
  revision: number;
  /** Whether hashes of tokens are hidden. */
  redact: boolean;
}

/** Streams until either end closes. */
export function stream(
  response: http.ServerResponse,
  options: Options,
): void {
  const { table, clock } = options;
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
  });
  const writer = new Writer(response, options);
  writer.start();
  const unwatch = table.watch((event) => writer.take(event));
  let cancel = clock.after(HEARTBEAT_INTERVAL_MS, beat);
  response.once("close", () => {
    unwatch();
    cancel();
  });

  function beat(): void {
    writer.beat();
    cancel = clock.after(HEARTBEAT_INTERVAL_MS, beat);
  }
}

class Writer {
  #response: http.ServerResponse;
  #options: Options;
  #revision: number;

  constructor(response: http.ServerResponse, options: Options) {
    this.#response = response;
    this.#options = options;
    this.#revision = options.revision;
  }

  start(): void {
    this.#response.flushHeaders();
    this.#sendTable();
  }

  beat(): void {
    this.#write(": alive\n\n");
  }

  take(event: access.TableEvent): void {
    if (event.revision <= this.#revision) return;
    if (event.type === "reset") return this.#sendTable();
    const { type: _, ...rest } = event;
    const changes = this.#options.redact
      ? redaction.redactValues(event.changes)
      : event.changes;
    this.#send("change", { ...rest, changes });
    this.#revision = event.revision;
  }

  /** Sends the whole table unless the watcher has it. */
  #sendTable(): void {
    const view = this.#options.table.view();
    if (view.revision <= this.#revision) return;
    const rows = this.#options.redact
      ? redaction.redactRows(view.rows())
      : view.rows();
    this.#send("table", { revision: view.revision, rows });
    this.#revision = view.revision;
  }

  #send(event: string, data: object): void {
    this.#write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
  }

  #write(text: string): void {
    this.#response.write(text);
    if (this.#response.writableLength > MOST_WAITING) this.#response.destroy();
  }
}
