/** What a caller is sent: a whole answer, a stream as it comes, or a refusal,
 * and nothing once it has left.
 * @module */

import type * as http from "node:http";
import type * as protocols from "./protocol.ts";
import type * as refusals from "./refusal.ts";

/** What a reply needs of its host. */
export interface ReplyOptions {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** Whether the host takes no further requests on this connection. */
  isDraining(): boolean;
}

/** The reply to one request. */
export class Reply {
  readonly #options: ReplyOptions;
  #head?: protocols.ReplyHead;
  /** Whether the caller has closed its connection. */
  isDisconnected = false;

  private constructor(options: ReplyOptions) {
    this.#options = options;
  }

  static create(options: ReplyOptions): Reply {
    return new Reply(options);
  }

  /** Head of the stream that has begun, if one has: it is the only one. */
  get head(): protocols.ReplyHead | undefined {
    return this.#head;
  }

  /** Begins a stream. */
  startStream(head: protocols.ReplyHead): void {
    this.#head = head;
    this.#options.response.writeHead(head.status, this.#headersOf(head));
  }

  /** Passes bytes of the stream on. */
  write(bytes: Buffer): void {
    this.#options.response.write(bytes);
  }

  /** Ends the stream as complete. */
  end(): void {
    this.#options.response.end();
  }

  /** Ends the stream so that it does not look complete. */
  abort(): void {
    this.#options.response.destroy();
  }

  /** Sends a whole answer of an endpoint. */
  send(head: protocols.ReplyHead, body: Buffer): void {
    if (this.isDisconnected) return;
    const { response } = this.#options;
    response.writeHead(head.status, {
      ...this.#headersOf(head),
      "content-length": `${body.length}`,
    });
    response.end(body);
  }

  /** Sends a refusal of the system's own. */
  refuse(
    reason: refusals.RefusalReason,
    { status, retryAfter }: refusals.Refusal,
  ): void {
    if (this.isDisconnected) return;
    const { request, response, isDraining } = this.#options;
    const text = JSON.stringify({ status, reason });
    const isUnread = !request.complete;
    response.writeHead(status, {
      "content-type": "application/problem+json",
      "content-length": `${Buffer.byteLength(text)}`,
      ...(retryAfter !== undefined && { "retry-after": `${retryAfter}` }),
      ...((isUnread || isDraining()) && { connection: "close" }),
    });
    response.end(text);
  }

  #headersOf({ headers }: protocols.ReplyHead): Record<string, string> {
    const isLast = this.#options.isDraining();
    return { ...headers, ...(isLast && { connection: "close" }) };
  }
}
