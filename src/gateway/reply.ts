/** Reply to a caller: a plain answer, a relayed stream, or a refusal by the
 * gateway; answers and refusals are dropped once the caller has disconnected.
 *
 * A reply states its end, by a length or chunks, only if the endpoint's answer did.
 * Otherwise it is close-delimited (RFC 9112, 6.3) as the answer was: its connection
 * ends in order if the answer was complete, and by a reset if it was not. So are
 * streams to callers of HTTP/1.0, which has no chunks.
 * @module */

import type * as http from "node:http";
import * as endpointCalls from "../endpoint_calls/exchange.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as protocols from "./protocol.ts";
import type * as refusals from "./refusal.ts";
import type * as unreadReplies from "./unread_replies.ts";

/** Milliseconds between the last bytes of a reply and its reset. A caller that sees
 * both at once may take the reset for an orderly end, as libuv does. */
const RESET_DELAY_MS = 50;

/** Dependencies of a reply. */
export interface ReplyOptions {
  readonly clock: Pick<runtime.Clock, "after">;
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** Counts the bytes that callers have not read. */
  readonly unreadReplies: Pick<
    unreadReplies.UnreadReplies,
    "update" | "remove"
  >;
  /** Whether the connection closes after this reply; asked once its head is
   * written. It should if `isNeeded`: a part of the request is left on it, or its
   * end is that of the reply. */
  closesConnection(state: { isNeeded: boolean }): boolean;
  /** Whether no pipelined request has been read behind this one. */
  isLast(): boolean;
  /** The head has been sent of a reply that is close-delimited. */
  onCloseDelimited(): void;
  /** The reply is aborted because its caller has not read so many bytes. */
  onAbortUnread(unreadBytes: number): void;
}

/** What marks the end of the answer that a reply forwards. */
export interface AnswerEnd {
  readonly framing: endpointCalls.Framing;
}

/** The reply to one request. */
export class Reply implements unreadReplies.UnreadReply {
  readonly #options: ReplyOptions;
  readonly #onRead = () => this.#updateUnread();
  #head?: protocols.ReplyHead;
  #isClosed = false;
  #isComplete = false;
  #isAborted = false;
  /** Whether the caller has closed its connection. */
  isDisconnected = false;

  private constructor(options: ReplyOptions) {
    this.#options = options;
    const close = () => {
      this.#isClosed = true;
      options.unreadReplies.remove(this);
      options.request.socket.off("close", close);
    };
    options.response.once("close", close);
    // Node emits no event for a response behind another one on its connection.
    options.request.socket.once("close", close);
  }

  static create(options: ReplyOptions): Reply {
    return new Reply(options);
  }

  /** Head of the stream, once it has started; it is sent only once. */
  get head(): protocols.ReplyHead | undefined {
    return this.#head;
  }

  /** Whether the whole reply has been written. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** Whether the reply is complete or its connection aborted. */
  get isEnded(): boolean {
    return this.#isComplete || this.#isAborted || this.isDisconnected ||
      this.#options.response.destroyed;
  }

  /** Whether an answer can be forwarded: a close-delimited one closes the
   * connection, on which the reply to a pipelined request may be due. */
  canForward({ framing }: AnswerEnd): boolean {
    return endpointCalls.isDelimited(framing) || this.#options.isLast();
  }

  /** Whether the end of an answer may end the stream, whose head may be that of
   * another answer. */
  mayEndWith({ framing }: AnswerEnd): boolean {
    const { response } = this.#options;
    return endpointCalls.isDelimited(framing) || !response.chunkedEncoding;
  }

  /** Prepares for a stream. Where it can't be sent in chunks, its connection closes
   * behind it, so that no further request on it may be passed on. */
  expectStream(): void {
    const isNeeded = !this.#hasChunks;
    if (isNeeded) this.#options.closesConnection({ isNeeded });
  }

  /** Whether streams have chunks: not in HTTP/1.0. */
  get #hasChunks(): boolean {
    return this.#options.response.useChunkedEncodingByDefault;
  }

  /** Sends the head of a stream. Throws if Node refuses to write it. */
  startStream(head: protocols.ReplyHead, end: AnswerEnd): void {
    const headers = this.#headersOf(head, end);
    const { response, onCloseDelimited } = this.#options;
    response.writeHead(head.status, headers);
    if (!response.chunkedEncoding) onCloseDelimited();
    // Only once it is written: otherwise the stream would be taken for started,
    // and its events would follow a head of Node's own.
    this.#head = head;
  }

  /** Sends bytes of the stream. */
  write(bytes: Buffer): void {
    this.#options.response.write(bytes, this.#onRead);
    this.#updateUnread();
  }

  /** Bytes of the reply that the system has not taken yet. */
  get unreadBytes(): number {
    return this.#options.response.writableLength;
  }

  /** Resets the connection. Closing it in order would look like the end of a
   * reply that has neither a length nor chunks, as streams have in HTTP/1.0. */
  abortUnread(unreadBytes: number): void {
    const { request, onAbortUnread } = this.#options;
    onAbortUnread(unreadBytes);
    request.socket.resetAndDestroy();
  }

  /** Ends the stream as complete. */
  end(): void {
    this.#isComplete = true;
    this.#options.response.end();
  }

  /** Closes the connection, so that the caller can't take the stream for complete;
   * a close-delimited reply is reset after `RESET_DELAY_MS`. A reply behind another
   * one on its connection is sent first: without any part of it, its caller can't
   * tell that the request may have run. */
  abort(): void {
    const { response } = this.#options;
    this.#isAborted = true;
    if (response.socket !== null || this.#isClosed) return this.#breakOff();
    // Node sends what it holds of the response right after this event.
    response.once("socket", () => queueMicrotask(() => this.#breakOff()));
  }

  /** A reset discards events that are still on their way, so it is kept to replies
   * without an end of their own. */
  #breakOff(): void {
    const { response, clock } = this.#options;
    const { socket } = response;
    if (response.chunkedEncoding || socket === null) response.destroy();
    else clock.after(RESET_DELAY_MS, () => socket.resetAndDestroy());
  }

  /** Sends an endpoint's plain answer. Throws if Node refuses to write its
   * head. */
  send(head: protocols.ReplyHead, body: Buffer, end: AnswerEnd): void {
    if (this.isDisconnected) return;
    const { response, onCloseDelimited } = this.#options;
    // A chunked answer has been read whole, so that its length is known.
    const hasLength = end.framing === "length" || end.framing === "chunked";
    response.writeHead(head.status, {
      ...this.#headersOf(head, end),
      ...(hasLength && { "content-length": `${body.length}` }),
    });
    if (!endpointCalls.isDelimited(end.framing)) onCloseDelimited();
    this.#end(body);
  }

  /** Sends a refusal by the gateway. */
  refuse(
    reason: refusals.RefusalReason,
    { status, retryAfter }: refusals.Refusal,
  ): void {
    if (this.isDisconnected) return;
    const { request, response, closesConnection } = this.#options;
    const text = JSON.stringify({ status, reason });
    const closes = closesConnection({ isNeeded: !request.complete });
    response.writeHead(status, {
      "content-type": "application/problem+json",
      "content-length": `${Buffer.byteLength(text)}`,
      ...(retryAfter !== undefined && { "retry-after": `${retryAfter}` }),
      ...(closes && { connection: "close" }),
    });
    this.#end(text);
  }

  #end(body: Buffer | string): void {
    this.#isComplete = true;
    this.#options.response.end(body);
    this.#updateUnread();
  }

  #updateUnread(): void {
    if (!this.#isClosed) this.#options.unreadReplies.update(this);
  }

  #headersOf(
    { headers }: protocols.ReplyHead,
    { framing }: AnswerEnd,
  ): Record<string, string> {
    const { response, closesConnection } = this.#options;
    const isNeeded = !endpointCalls.isDelimited(framing);
    if (isNeeded) response.useChunkedEncodingByDefault = false;
    const closes = closesConnection({ isNeeded });
    // Node would close a connection of HTTP/1.0 behind a reply without a length,
    // also where that has no body.
    const isKept = !closes && framing === "empty" && !this.#hasChunks &&
      response.shouldKeepAlive;
    return {
      ...headers,
      ...(closes && { connection: "close" }),
      ...(isKept && { connection: "keep-alive" }),
    };
  }
}
