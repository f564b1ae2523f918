/** Reply to a caller: a plain answer, a relayed stream, or a refusal by the
 * gateway; answers and refusals are dropped once the caller has disconnected.
 *
 * A reply that is sent as it arrives has chunks, whatever the answer had: the system
 * of a host that is killed closes its connections in order, and only the last
 * chunk distinguishes that from the end of the stream. HTTP/1.0 has no chunks, so
 * streams to its callers are held until they are whole.
 *
 * A reply that is sent at once states its end, by its length, only if the endpoint's
 * answer did. Otherwise it is close-delimited (RFC 9112, 6.3) as the answer was.
 * @module */

import type * as http from "node:http";
import * as endpointCalls from "../endpoint_calls/exchange.ts";
import * as chunkLists from "../runtime/chunk_list.ts";
import type * as protocols from "./protocol.ts";
import type * as refusals from "./refusal.ts";
import type * as unreadReplies from "./unread_replies.ts";

/** Dependencies of a reply. */
export interface ReplyOptions {
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
  /** A refusal is sent while the body of its request is still arriving, on a
   * connection that closes after it. */
  onEarlyRefusal(): void;
  /** Whether no pipelined request has been read behind this one. */
  isLast(): boolean;
  /** The head has been sent of a reply that is close-delimited. */
  onCloseDelimited(): void;
  /** The reply is aborted because its caller has not read so many bytes, or is to
   * be refused as it holds them. */
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
  /** Events of a stream that can't be sent before its end. */
  readonly #held = chunkLists.ChunkList.create();
  #isClosed = false;
  #isComplete = false;
  #isAborted = false;
  /** Whether the caller has closed its connection. */
  isDisconnected = false;

  private constructor(options: ReplyOptions) {
    this.#options = options;
    const close = () => {
      this.#isClosed = true;
      this.#held.clear();
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

  /** Head of the stream, from its first event on; no other one can follow. */
  get head(): protocols.ReplyHead | undefined {
    return this.#head;
  }

  /** Whether the head has been sent, so that it can't be that of a refusal. */
  get isHeadSent(): boolean {
    return this.#options.response.headersSent;
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

  /** Whether the reply can end with an answer: a close-delimited one closes the
   * connection, on which the reply to a pipelined request may be due. */
  canEndWith({ framing }: AnswerEnd): boolean {
    return endpointCalls.isDelimited(framing) || this.isHeadSent ||
      this.#options.isLast();
  }

  /** Whether streams have chunks: not in HTTP/1.0. */
  get #hasChunks(): boolean {
    return this.#options.response.useChunkedEncodingByDefault;
  }

  /** Starts a stream, and sends its head unless the stream is held. Throws if Node
   * refuses to write it. */
  startStream(head: protocols.ReplyHead): void {
    if (this.#hasChunks) {
      const headers = this.#headersOf(head, { framing: "chunked" });
      this.#options.response.writeHead(head.status, headers);
    }
    // Only once it is written: otherwise the stream would be taken for started,
    // and its events would follow a head of Node's own.
    this.#head = head;
  }

  /** Adds bytes to the stream. */
  write(bytes: Buffer): void {
    if (this.#hasChunks) this.#options.response.write(bytes, this.#onRead);
    else this.#held.push(bytes);
    this.#updateUnread();
  }

  /** Bytes of memory that a held stream takes. */
  get heldBytes(): number {
    return this.#held.heldBytes;
  }

  /** Bytes of the reply that the system has not taken yet. */
  get unreadBytes(): number {
    return this.#options.response.writableLength + this.heldBytes;
  }

  /** Resets the connection, unless no part of the reply has been sent. Closing it
   * in order would look like the end of a close-delimited reply. */
  abortUnread(unreadBytes: number): void {
    const { request, onAbortUnread } = this.#options;
    const isReset = this.isHeadSent;
    onAbortUnread(unreadBytes);
    if (isReset) request.socket.resetAndDestroy();
  }

  /** Ends the stream as complete, with the answer that gave its last events. */
  endStream(end: AnswerEnd): void {
    if (!this.#hasChunks) {
      return this.send(this.#head!, this.#held.take(), end);
    }
    this.#isComplete = true;
    this.#options.response.end();
  }

  /** Closes the connection, so that the caller can't take the stream for complete.
   * A reply behind another one on its connection is sent first: without any part of
   * it, its caller can't tell that the request may have run. */
  abort(): void {
    const { response } = this.#options;
    this.#isAborted = true;
    if (response.socket !== null || this.#isClosed) {
      // Node sends what was written in this turn on its next tick.
      return process.nextTick(() => response.destroy());
    }
    // Node sends what it holds of the response right after this event.
    response.once("socket", () => queueMicrotask(() => response.destroy()));
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
    const { request, response, closesConnection, onEarlyRefusal } =
      this.#options;
    const text = JSON.stringify({ status, reason });
    const closes = closesConnection({ isNeeded: !request.complete });
    if (closes && !request.complete) onEarlyRefusal();
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
    this.#held.clear();
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
