/** Reply to a caller: a plain answer, a relayed stream, or a refusal by the
 * gateway; answers and refusals are dropped once the caller has disconnected.
 * @module */

import type * as http from "node:http";
import type * as protocols from "./protocol.ts";
import type * as refusals from "./refusal.ts";

/** Dependencies of a reply. */
export interface ReplyOptions {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** Whether the host accepts no further requests on the connection. */
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

  /** Head of the stream, once it has started; it is sent only once. */
  get head(): protocols.ReplyHead | undefined {
    return this.#head;
  }

  /** Sends the head of a stream. */
  startStream(head: protocols.ReplyHead): void {
    this.#head = head;
    this.#options.response.writeHead(head.status, this.#headersOf(head));
  }

  /** Sends bytes of the stream. */
  write(bytes: Buffer): void {
    this.#options.response.write(bytes);
  }

  /** Ends the stream as complete. */
  end(): void {
    this.#options.response.end();
  }

  /** Destroys the connection, so that the caller can't take the stream for
   * complete. */
  abort(): void {
    this.#options.response.destroy();
  }

  /** Sends an endpoint's plain answer. */
  send(head: protocols.ReplyHead, body: Buffer): void {
    if (this.isDisconnected) return;
    const { response } = this.#options;
    response.writeHead(head.status, {
      ...this.#headersOf(head),
      "content-length": `${body.length}`,
    });
    response.end(body);
  }

  /** Sends a refusal by the gateway. */
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
    const closes = this.#options.isDraining();
    return { ...headers, ...(closes && { connection: "close" }) };
  }
}
