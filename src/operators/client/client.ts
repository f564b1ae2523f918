/** Speaks to the operators' API of one host, or of the next when that one is
 * away.
 * @module */

import * as undici from "undici";
import type * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/table_types.ts";
import type * as problem from "../problem.ts";
import * as clientError from "./client_error.ts";
import * as watch from "./watch.ts";

/** What a client is made from. */
export interface Options {
  /** Base URLs of hosts, tried in turn. */
  urls: readonly string[];
  token: string;
  clock: runtime.Clock;
  /** Milliseconds in which an edit is sent again; 30 s when absent. */
  retryTimeout?: number;
}

/** Milliseconds that one call may take. */
const CALL_TIMEOUT = 10_000;
const PATIENCE = 30_000;
/** Milliseconds between two sends of an edit. */
const RESEND = 500;

/** A row as the API gives it. */
export interface Row {
  row: string;
  cells: Partial<Record<schema.Column, schema.Cell>>;
}

/** The table as the API gives it. */
export interface View {
  revision: number;
  rows: readonly Row[];
}

/** A path that is read. */
export type ReadPath =
  | "/v1/table"
  | "/v1/status"
  | "/v1/pipelines"
  | "/v1/endpoints"
  | "/v1/dump";

/** Client of the operators' API. */
export class Client {
  #options: Options;
  /** Position of the host that answered last. */
  #pos = 0;

  private constructor(options: Options) {
    this.#options = options;
  }

  /** A client that has sent nothing yet. */
  static create(options: Options): Client {
    return new Client(options);
  }

  /** The JSON at a path. */
  read(path: ReadPath): Promise<unknown> {
    return this.#tryHosts({ method: "GET", path });
  }

  /** The table. */
  async table(): Promise<View> {
    return await this.read("/v1/table") as View;
  }

  /** Asks the first host to drain; another one is never asked instead. */
  drain(): Promise<unknown> {
    return this.#call({ method: "POST", path: "/v1/drain" });
  }

  /** Applies an edit and returns its revision. While it is not known whether
   * it was applied it is sent again, which its operation id makes safe. */
  async edit(edit: Omit<schema.Edit, "actor">): Promise<number> {
    const { clock, retryTimeout: patience = PATIENCE } = this.#options;
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
        if (!unavailable || clock.now() + RESEND >= end) throw error;
        this.#pos++;
        await delay(clock, RESEND);
      }
    }
  }

  /** Events of the table after `revision`, without end; `onLost` hears why
   * a connection ended before another one is tried. */
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
        this.#pos++;
      }
    }
    throw failure;
  }

  async #call({ method, path, body }: Call): Promise<unknown> {
    const { urls, token } = this.#options;
    const url = urls[this.#pos % urls.length];
    let response: undici.Dispatcher.ResponseData;
    let text: string;
    try {
      response = await undici.request(`${url}${path}`, {
        method,
        body,
        headers: { authorization: `Bearer ${token}` },
        signal: AbortSignal.timeout(CALL_TIMEOUT),
      });
      text = await response.body.text();
    } catch (cause) {
      const why = (cause as Error).message;
      const message = `${url} does not answer: ${why}`;
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

function delay(clock: runtime.Clock, ms: number): Promise<void> {
  return new Promise((resolve) => void clock.after(ms, resolve));
}
