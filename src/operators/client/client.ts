/** Calls the operators' API of one host, and fails over to the next when a host
 * does not answer.
 * @module */

import * as undici from "undici";
import * as delays from "../../runtime/delay.ts";
import type * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/table_types.ts";
import type * as problem from "../problem.ts";
import * as clientError from "./client_error.ts";
import * as watch from "./watch.ts";

/** Options and dependencies of a client. */
export interface Options {
  /** Base URLs of hosts, tried in turn. */
  urls: readonly string[];
  token: string;
  clock: runtime.Clock;
  /** Milliseconds for which an unconfirmed edit is retried; 30 s when absent. */
  retryTimeout?: number;
}

/** Timeout of one call. */
const CALL_TIMEOUT_MS = 10_000;
const RETRY_TIMEOUT_MS = 30_000;
/** Delay between two attempts to send an edit. */
const RETRY_INTERVAL_MS = 500;

/** A row of the table as returned by the API. */
export interface Row {
  row: string;
  cells: Partial<Record<schema.Column, schema.Cell>>;
}

/** The table as returned by the API. */
export interface View {
  revision: number;
  rows: readonly Row[];
}

/** Paths that can be read with GET. */
export type ReadPath =
  | "/v1/table"
  | "/v1/status"
  | "/v1/pipelines"
  | "/v1/endpoints"
  | "/v1/dump";

/** Client of the operators' API. */
export class Client {
  #options: Options;
  /** Index of the host to call, counted modulo the number of hosts. */
  #hostPos = 0;

  private constructor(options: Options) {
    this.#options = options;
  }

  /** Creates a client; it connects on the first call. */
  static create(options: Options): Client {
    return new Client(options);
  }

  /** Reads the JSON at a path. */
  read(path: ReadPath): Promise<unknown> {
    return this.#tryHosts({ method: "GET", path });
  }

  /** Reads the table. */
  async table(): Promise<View> {
    return await this.read("/v1/table") as View;
  }

  /** Requests that the current host drains; never fails over to another host. */
  drain(): Promise<unknown> {
    return this.#call({ method: "POST", path: "/v1/drain" });
  }

  /** Applies an edit and returns its revision. Retries while the API is
   * unavailable or the outcome is unknown; the operation id makes the edit
   * idempotent. */
  async edit(edit: Omit<schema.Edit, "actor">): Promise<number> {
    const { clock, retryTimeout: patience = RETRY_TIMEOUT_MS } = this.#options;
    const end = clock.now() + patience;
    const body = JSON.stringify(edit);
    while (true) {
      try {
        const path = "/v1/table/edits";
        const answer = await this.#call({ method: "POST", path, body });
        return (answer as { revision: number }).revision;
      } catch (error) {
        const unavailable = error instanceof clientError.ClientError &&
          error.failure === "unavailable";
        if (!unavailable || clock.now() + RETRY_INTERVAL_MS >= end) throw error;
        this.#hostPos++;
        await delays.sleep(clock, RETRY_INTERVAL_MS);
      }
    }
  }

  /** Yields the table's events after `revision` indefinitely. `onLost` is called
   * with the error of a lost connection before reconnecting. */
  watch(
    revision: number,
    onLost?: (error: Error) => void,
  ): AsyncGenerator<watch.TableMessage> {
    const { urls, token, clock } = this.#options;
    return watch.follow({ urls, token, clock, revision, onLost });
  }

  async #tryHosts(call: Call): Promise<unknown> {
    const { length } = this.#options.urls;
    let failure: unknown;
    for (let tried = 0; tried < length; tried++) {
      try {
        return await this.#call(call);
      } catch (error) {
        if (!(error instanceof clientError.ClientError)) throw error;
        if (error.failure !== "unavailable") throw error;
        failure = error;
        this.#hostPos++;
      }
    }
    throw failure;
  }

  async #call({ method, path, body }: Call): Promise<unknown> {
    const { urls, token } = this.#options;
    const url = urls[this.#hostPos % urls.length];
    let response: undici.Dispatcher.ResponseData;
    let text: string;
    try {
      response = await undici.request(`${url}${path}`, {
        method,
        body,
        headers: { authorization: `Bearer ${token}` },
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      text = await response.body.text();
    } catch (cause) {
      const reason = (cause as Error).message;
      const message = `${url} does not answer: ${reason}`;
      throw new clientError.ClientError("unavailable", message, { cause });
    }
    const value = parse(text, url);
    if (response.statusCode < 300) return value;
    throw clientError.fromProblem(value as problem.Problem);
  }
}

interface Call {
  method: "GET" | "POST";
  path: string;
  body?: string;
}

function parse(text: string, url: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    const message = `${url} does not serve operators`;
    throw new clientError.ClientError("failed", message, { cause });
  }
}
