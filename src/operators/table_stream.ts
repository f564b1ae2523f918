/** Streams the table to an operator as server-sent events: a `table` event with
 * all rows if the watcher's revision is outdated, then a `change` event for each
 * edit.
 * @module */

import type * as http from "node:http";
import type * as runtime from "../runtime/mod.ts";
import type * as access from "./access.ts";
import * as redaction from "./redaction.ts";

/** Interval between heartbeats, which let a client distinguish an unchanged
 * table from a dead connection. */
export const HEARTBEAT_INTERVAL_MS = 5000;

/** Maximum amount of data buffered for a slow watcher before its connection is
 * closed. */
const MAX_QUEUE_BYTES = 4 << 20;

/** Options and dependencies of a stream. */
export interface Options {
  table: access.TableAccess;
  clock: runtime.Clock;
  /** Last revision that the watcher has received; 0 for none. */
  revision: number;
  /** Whether token hashes are redacted. */
  redact: boolean;
}

/** Streams until either side closes the connection. */
export function stream(
  response: http.ServerResponse,
  options: Options,
): void {
  const { table, clock } = options;
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
  });
  const writer = new TableWriter(response, options);
  writer.start();
  const unwatch = table.watch((event) => writer.sendEvent(event));
  let cancel = clock.after(HEARTBEAT_INTERVAL_MS, heartbeat);
  response.once("close", () => {
    unwatch();
    cancel();
  });

  function heartbeat(): void {
    writer.sendHeartbeat();
    cancel = clock.after(HEARTBEAT_INTERVAL_MS, heartbeat);
  }
}

class TableWriter {
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

  sendHeartbeat(): void {
    this.#write(": alive\n\n");
  }

  sendEvent(event: access.TableEvent): void {
    if (event.revision <= this.#revision) return;
    if (event.type === "reset") return this.#sendTable();
    const { type: _, ...rest } = event;
    const changes = this.#options.redact
      ? redaction.redactValues(event.changes)
      : event.changes;
    this.#send("change", { ...rest, changes });
    this.#revision = event.revision;
  }

  /** Sends the whole table unless the watcher is up to date. */
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
    if (this.#response.writableLength > MAX_QUEUE_BYTES) {
      this.#response.destroy();
    }
  }
}
