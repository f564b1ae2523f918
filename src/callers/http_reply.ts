/** Writes what became of a request to its caller: whole, or as a stream of
 * server-sent events.
 * @module */

import type * as http from "node:http";
import type * as endpointCalls from "../endpoint_calls/call.ts";
import * as problem from "./problem.ts";
import type * as request from "../request/mod.ts";

/** Bytes that a slow reader may leave unread before it counts as gone. */
const MOST_UNREAD = 1024 * 1024;

/** Parts of a reply. */
export interface Options {
  id: string;
  streaming: boolean;
  /** Asks the caller to make a new connection for its next request. */
  closing: () => boolean;
}

/** Reply over HTTP. */
export class HttpReply implements request.Reply {
  readonly #response: http.ServerResponse;
  readonly #options: Options;
  #gathering = false;

  constructor(response: http.ServerResponse, options: Options) {
    this.#response = response;
    this.#options = options;
  }

  get isDisconnected(): boolean {
    return this.#response.destroyed;
  }

  token(offset: number, text: string): void {
    this.#open();
    this.#event("token", { offset, text });
    if (this.#response.writableLength > MOST_UNREAD) this.#response.destroy();
  }

  complete(answer: request.Answer): void {
    if (!this.#options.streaming) {
      return send(this.#response, {
        status: 200,
        headers: { "content-type": "application/json", ...this.#close() },
        body: JSON.stringify(answer),
      });
    }
    const { text: _, ...output } = answer.output;
    this.#open();
    this.#event("done", { ...answer, output });
    this.#response.end();
  }

  pass({ status, headers, body }: endpointCalls.PlainResult): void {
    const all = { ...headers, ...this.#close() };
    send(this.#response, { status, headers: all, body });
  }

  replay(answer: request.StoredAnswer): void {
    send(this.#response, answer);
  }

  refuse(refused: request.Problem): void {
    const document = problem.documentOf(refused, this.#options.id);
    if (this.#response.headersSent) {
      this.#event("error", document);
      this.#response.end();
      return;
    }
    sendProblem(this.#response, document, this.#close());
  }

  #open(): void {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      ...this.#close(),
    });
  }

  #event(name: string, data: unknown): void {
    if (this.#response.destroyed) return;
    this.#gather();
    this.#response.write(`event: ${name}\ndata: ${JSON.stringify(data)}\n\n`);
  }

  /** Events of one turn of the loop leave as one write. */
  #gather(): void {
    if (this.#gathering) return;
    this.#gathering = true;
    this.#response.cork();
    process.nextTick(() => {
      this.#gathering = false;
      this.#response.uncork();
    });
  }

  #close(): Record<string, string> {
    return this.#options.closing() ? { connection: "close" } : {};
  }
}

/** A whole answer. */
export interface FullResponse {
  status: number;
  headers: Record<string, string>;
  body: string | Uint8Array;
}

/** Sends a whole answer. */
export function send(
  response: http.ServerResponse,
  { status, headers, body }: FullResponse,
): void {
  if (response.headersSent || response.destroyed) return;
  const length = String(Buffer.byteLength(body));
  response.writeHead(status, { ...headers, "content-length": length });
  response.end(body);
}

/** Sends a problem document. */
export function sendProblem(
  response: http.ServerResponse,
  document: problem.ProblemDocument,
  headers: Record<string, string> = {},
): void {
  send(response, {
    status: document.status,
    headers: { ...problem.headersOf(document), ...headers },
    body: JSON.stringify(document),
  });
}
