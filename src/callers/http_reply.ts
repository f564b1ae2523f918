/** Replies to callers over HTTP, with one answer or a stream of server-sent
 * events.
 * @module */

import type * as http from "node:http";
import type * as net from "node:net";
import * as tls from "node:tls";
import type * as endpointCalls from "../endpoint_calls/call.ts";
import * as exchanges from "../endpoint_calls/exchange.ts";
import * as problem from "./problem.ts";
import type * as request from "../request/mod.ts";

/** Unread data beyond which a slow caller is disconnected. */
const MAX_UNREAD_BYTES = 1024 * 1024;

/** Refusal of a request whose answer can't be delivered. */
const UNDELIVERABLE: request.Problem = {
  name: "stage-failed",
  outcome: "ran",
  detail: "The answer states no end, and a request is behind this one",
};

/** Options of a reply. */
export interface Options {
  id: string;
  streaming: boolean;
  /** Whether the connection closes after the reply; it should if `isNeeded`, as
   * its end is that of the reply. */
  closing: (state: { isNeeded: boolean }) => boolean;
  /** Whether no other request has been read behind this one. */
  isLast: () => boolean;
  /** An answer is refused, as closing the connection would lose another reply. */
  onUndeliverable: () => void;
}

/** Reply over HTTP. */
export class HttpReply implements request.Reply {
  readonly #response: http.ServerResponse;
  readonly #options: Options;
  #corked = false;

  constructor(response: http.ServerResponse, options: Options) {
    this.#response = response;
    this.#options = options;
  }

  get isDisconnected(): boolean {
    return this.#response.destroyed;
  }

  token(offset: number, text: string): void {
    this.#openStream();
    this.#writeEvent("token", { offset, text });
    if (this.#response.writableLength > MAX_UNREAD_BYTES) {
      abort(this.#response);
    }
  }

  complete(answer: request.Answer): void {
    if (!this.#options.streaming) {
      return send(this.#response, {
        status: 200,
        headers: {
          "content-type": "application/json",
          ...this.#closingHeaders(),
        },
        body: JSON.stringify(answer),
      });
    }
    const { text: _, ...output } = answer.output;
    this.#openStream();
    this.#writeEvent("done", { ...answer, output });
    this.#response.end();
  }

  /** Forwards the answer of a plain service. The reply states its end only if
   * the answer did, and otherwise closes its connection, on which another reply
   * may be due. */
  pass({ status, headers, body, framing }: endpointCalls.PlainResult): void {
    const isNeeded = !exchanges.isDelimited(framing);
    if (isNeeded && !this.#options.isLast()) {
      this.#options.onUndeliverable();
      return this.refuse(UNDELIVERABLE);
    }
    const all = { ...headers, ...this.#closingHeaders({ isNeeded }) };
    send(this.#response, { status, headers: all, body, framing });
  }

  replay(answer: request.StoredAnswer): void {
    const { status } = answer;
    const isEmpty = exchanges.isEmpty(this.#response.req.method, status);
    send(this.#response, { ...answer, framing: isEmpty ? "empty" : "length" });
  }

  refuse(refused: request.Problem): void {
    const document = problem.documentOf(refused, this.#options.id);
    if (this.#response.headersSent) {
      this.#writeEvent("error", document);
      this.#response.end();
      return;
    }
    sendProblem(this.#response, document, this.#closingHeaders());
  }

  #openStream(): void {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      ...this.#closingHeaders(),
    });
  }

  #writeEvent(name: string, data: unknown): void {
    if (this.#response.destroyed) return;
    this.#corkUntilNextTick();
    this.#response.write(`event: ${name}\ndata: ${JSON.stringify(data)}\n\n`);
  }

  /** Joins the events of one turn of Node's event loop into one write. */
  #corkUntilNextTick(): void {
    if (this.#corked) return;
    this.#corked = true;
    this.#response.cork();
    process.nextTick(() => {
      this.#corked = false;
      this.#response.uncork();
    });
  }

  #closingHeaders({ isNeeded } = { isNeeded: false }): Record<string, string> {
    return this.#options.closing({ isNeeded }) ? { connection: "close" } : {};
  }
}

/** Breaks off a reply that is not whole. A close in order is the end of one that
 * has neither a length nor chunks, as in HTTP/1.0, so such a connection is reset;
 * `tcp` is the one below TLS, which can't be reset itself. */
export function abort(
  response: http.ServerResponse,
  tcp: net.Socket | null = response.socket,
): void {
  const { socket, useChunkedEncodingByDefault } = response;
  const isReset = socket !== null && !useChunkedEncodingByDefault &&
    !(tcp instanceof tls.TLSSocket);
  if (isReset) tcp?.resetAndDestroy();
  response.destroy();
}

/** Status, headers and body of an answer. */
export interface FullResponse {
  status: number;
  headers: Record<string, string>;
  body: string | Uint8Array;
  /** What marks its end; its length when absent. */
  framing?: exchanges.Framing;
}

/** Sends an answer, unless one was sent or the connection is closed. */
export function send(
  response: http.ServerResponse,
  { status, headers, body, framing = "length" }: FullResponse,
): void {
  if (response.headersSent || response.destroyed) return;
  // Otherwise Node would frame a reply without a length in chunks.
  if (framing === "connection") response.useChunkedEncodingByDefault = false;
  const hasLength = framing === "length" || framing === "chunked";
  response.writeHead(status, {
    ...headers,
    ...(hasLength && { "content-length": `${Buffer.byteLength(body)}` }),
  });
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
