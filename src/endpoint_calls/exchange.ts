/** One HTTP exchange with an endpoint, with limits of time and size.
 *
 * It tracks whether any byte of the request may have been sent: undici reports
 * the start of a request before it writes. An aborted exchange destroys its
 * connection, so that no other call reuses a connection that is unresponsive or
 * carries a late answer.
 * @module */

import * as http from "node:http";
import * as undici from "undici";
import type * as request from "../request/request.ts";
import * as connector from "./connector.ts";
import * as framing from "./framing.ts";
import type * as partialAnswers from "./partial_answers.ts";
import type * as runtime from "../runtime/mod.ts";

/** Headers of an answer, names in lower case. */
export type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** What marks the end of an answer: nothing as it has no body, its length, a last
 * chunk, or the end of its connection, which also follows if the endpoint
 * stops. */
export type Framing = "empty" | "length" | "chunked" | "connection";

/** Whether an answer has no body, by the method of its request and its status. */
export function isEmpty(method: string | undefined, status: number): boolean {
  return method === "HEAD" || status === 204 || status === 304;
}

/** Whether an answer states its end. */
export function isDelimited(framing: Framing): boolean {
  return framing !== "connection";
}

/** Failure of an exchange, and whether the endpoint ran the request. */
export interface ExchangeFailure {
  reason: request.FailureReason;
  outcome: request.Outcome;
  /** How the connection ended, if that was the failure. */
  connectionEnd?: connector.ConnectionEnd;
  /** Present if the reason is "oversized". */
  excess?: partialAnswers.Excess;
}

/** How a complete answer ended. */
export interface Ending {
  readonly framing: Framing;
  /** Present if the end of its connection marked its end. */
  readonly connectionEnd?: connector.ConnectionEnd;
}

/** Receives the answer of an exchange; `end` or `fail` is the last call. */
export interface Receiver {
  /** Bytes of memory that it holds of the answer; none when absent. */
  readonly heldBytes?: number;
  head(
    status: number,
    headers: Headers,
    about: { readonly framing: Framing },
  ): void;
  data(chunk: Buffer): void;
  end(ending: Ending): void;
  fail(failure: ExchangeFailure): void;
  /** The endpoint has sent nothing for the idle timeout; called again after each
   * further one. Without this method the exchange fails as `silent`. */
  silence?(): void;
}

/** Request that is sent to the endpoint. */
export interface OutgoingRequest {
  method: string;
  path: string;
  headers: Record<string, string>;
  body?: string | Uint8Array;
}

/** A dispatcher that may choose its connections by how calls end. */
export type Dispatcher = undici.Dispatcher & {
  /** A call that was sent to an origin broke or is not answered. */
  recordBreak?(origin: string): void;
  /** An origin has sent an answer that was not due. */
  recordExtraAnswer?(origin: string): void;
  /** An answer of an origin may not have been that of its call: later calls use
   * new connections, those in flight are completed. */
  renew?(origin: string): void;
};

/** Limits and dependencies of an exchange. */
export interface Options {
  dispatcher: Dispatcher;
  clock: runtime.Clock;
  /** Base URL of the endpoint. */
  url: string;
  /** Time of the clock in milliseconds. */
  deadline: number;
  /** Milliseconds without a byte after which the exchange is silent. */
  idleTimeout: number;
  /** Maximum size of the answer's body. */
  maxBytes: number;
  /** Bounds the bytes that the receivers of all exchanges hold together; no bound
   * when absent. */
  partialAnswers?: Pick<partialAnswers.PartialAnswers, "update" | "remove">;
  receiver: Receiver;
  /** Whether the request has a connection of its own, so that no late answer to an
   * earlier one can come where its answer is due. */
  hasOwnConnection?: boolean;
  /** Whether the request may still be sent, asked once a connection is open;
   * otherwise the exchange fails as not run. Absent if it always may. */
  maySend?(): boolean;
}

/** Origin and path of a base URL without a final slash. */
const URL_PARTS = /^(https?:\/\/[^/?#]+)([^?#]*)$/;

/** Failures that may be the fault of the connection. */
const PATH_REASONS: ReadonlySet<request.FailureReason> = new Set([
  "silent",
  "connection",
  "broken-stream",
]);

/** Memory that an answer may take while it is incomplete, relative to its maximum
 * size: many small chunks take more than their bytes. */
const MAX_HELD_RATIO = 2;
/** Bytes of the largest head of an answer: the default of undici's pools. */
const MAX_HEAD_BYTES = http.maxHeaderSize;

/** Heads with a status below 200 that an endpoint may send before its answer: each
 * shows that it is at work, so the call would not end as silent. */
const MAX_INTERIM_HEADS = 64;

/** One HTTP request and its answer. */
export class Exchange
  implements undici.Dispatcher.DispatchHandler, partialAnswers.PartialAnswer {
  readonly #options: Options;
  #controller: undici.Dispatcher.DispatchController | undefined;
  #isStarted = false;
  #hasResponseHead = false;
  #method?: string;
  #sentBytes = 0;
  #framing: Framing = "empty";
  #isDone = false;
  #interimHeads = 0;
  #receivedBytes = 0;
  #lastReceivedAt: number;
  #silenceReportedAt = -Infinity;
  #idleTimeout: number;
  #cancelTimer: runtime.Cancel = () => {};

  private constructor(options: Options) {
    this.#options = options;
    this.#lastReceivedAt = options.clock.now();
    this.#idleTimeout = options.idleTimeout;
  }

  /** Sends a request and passes its answer to the receiver. */
  static start(outgoing: OutgoingRequest, options: Options): Exchange {
    const exchange = new Exchange(options);
    exchange.#checkTimeouts();
    exchange.#send(outgoing);
    return exchange;
  }

  /** Whether any byte of the request may have been sent. */
  get isStarted(): boolean {
    return this.#isStarted;
  }

  /** Ends the exchange without notifying the receiver; destroys the connection
   * if it is in use. */
  cancel(): void {
    if (this.#isDone) return;
    this.#finish();
    this.#abort("call cancelled");
  }

  /** Ends the exchange without notifying the receiver, as its answer is that of
   * another call; destroys the connection. */
  rejectAnswer(): void {
    if (this.#isDone) return;
    const { dispatcher, url } = this.#options;
    dispatcher.recordExtraAnswer?.(originOf(url)!);
    this.cancel();
  }

  /** Changes the time in milliseconds without a byte after which the exchange
   * is silent. */
  setIdleTimeout(idleTimeout: number): void {
    if (this.#isDone) return;
    this.#idleTimeout = idleTimeout;
    this.#cancelTimer();
    this.#checkTimeouts();
  }

  /** Bytes of memory that the answer takes while it is incomplete. */
  get heldBytes(): number {
    return this.#options.receiver.heldBytes ?? 0;
  }

  /** Fails the exchange, as its answer holds too many bytes. */
  endOversized(excess: partialAnswers.Excess): void {
    this.break("oversized", { excess });
  }

  /** Fails the exchange and destroys the connection. */
  break(
    reason: request.FailureReason,
    about: Pick<ExchangeFailure, "excess" | "connectionEnd"> = {},
  ): void {
    if (this.#isDone) return;
    const outcome = this.#isStarted ? "unknown" : "not-run";
    if (this.#isStarted && PATH_REASONS.has(reason)) this.#recordBreak();
    this.#finish();
    this.#abort(`call failed: ${reason}`);
    this.#options.receiver.fail({
      reason,
      outcome,
      ...about,
    });
  }

  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    this.#controller = controller;
    const { maySend = () => true } = this.#options;
    if (this.#isDone || !maySend()) {
      // While waiting for a connection: undici sends nothing.
      controller.abort(new Error("call ended before it was sent"));
      return;
    }
    this.#isStarted = true;
  }

  onResponseStart(
    _controller: undici.Dispatcher.DispatchController,
    status: number,
    headers: Headers,
  ): void {
    this.#lastReceivedAt = this.#options.clock.now();
    framing.recordProgress();
    if (this.#isDone) return;
    if (!isExpected(status)) return this.break("error");
    if (status < 200) return this.#countInterimHead();
    this.#hasResponseHead = true;
    this.#framing = isEmpty(this.#method, status)
      ? "empty"
      : framingOf(headers);
    if (!isDelimited(this.#framing)) {
      connector.expectEnd({ sentBytes: this.#sentBytes });
    }
    const { receiver } = this.#options;
    receiver.head(status, headers, { framing: this.#framing });
    const isEnded = this.#framing === "empty" && this.#method !== "HEAD" &&
      statesBody(headers);
    if (isEnded) this.#endWithHead();
  }

  onResponseData(
    _controller: undici.Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#isDone) return;
    this.#lastReceivedAt = this.#options.clock.now();
    this.#receivedBytes += chunk.length;
    framing.recordProgress();
    const { maxBytes: bound, receiver, partialAnswers } = this.#options;
    if (this.#receivedBytes > bound) {
      const heldBytes = this.#receivedBytes;
      return this.endOversized({ heldBytes, bound, scope: "answer" });
    }
    receiver.data(chunk);
    if (this.#isDone) return;
    const { heldBytes } = this;
    if (heldBytes > MAX_HELD_RATIO * bound) {
      return this.endOversized({ heldBytes, bound, scope: "answer" });
    }
    partialAnswers?.update(this);
  }

  onResponseEnd(): void {
    if (this.#isDone) return;
    if (isDelimited(this.#framing)) return this.#end();
    // The endpoint is not silent while the end is checked.
    this.#lastReceivedAt = this.#options.clock.now();
    const ending = connector.currentEndCheck();
    if (ending === undefined) return this.break("broken-stream");
    void ending.then((connectionEnd) => {
      if (this.#isDone) return;
      if (connectionEnd === "orderly") this.#end(connectionEnd);
      else this.break("broken-stream", { connectionEnd });
    });
  }

  onResponseError(
    _controller: undici.Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (error instanceof undici.errors.HeadersOverflowError) {
      const bound = MAX_HEAD_BYTES;
      return this.endOversized({ heldBytes: bound, bound, scope: "head" });
    }
    if (isUnreadable(error)) return this.break("error");
    const reason = this.#hasResponseHead ? "broken-stream" : "connection";
    const connectionEnd = connector.endOf(error);
    this.break(reason, connectionEnd && { connectionEnd });
  }

  /** Ends an answer behind its head. undici would take the length of a body that
   * it does not have for that of one that is cut off, and what follows on the
   * connection may be such a body. */
  #endWithHead(): void {
    if (this.#isDone) return;
    this.#end();
    this.#abort("answer has no body");
  }

  #countInterimHead(): void {
    this.#interimHeads++;
    if (this.#interimHeads > MAX_INTERIM_HEADS) this.break("error");
  }

  #end(connectionEnd?: connector.ConnectionEnd): void {
    this.#finish();
    this.#options.receiver.end({
      framing: this.#framing,
      ...(connectionEnd && { connectionEnd }),
    });
  }

  #send(outgoing: OutgoingRequest): void {
    this.#method = outgoing.method;
    this.#sentBytes = Buffer.byteLength(outgoing.body ?? "");
    if (this.#isDone) return;
    const { dispatcher, url, hasOwnConnection } = this.#options;
    const [, origin, base] = URL_PARTS.exec(url) ?? [];
    if (origin === undefined) return this.break("connection");
    const request = {
      origin,
      path: base + outgoing.path,
      method: outgoing.method as undici.Dispatcher.HttpMethod,
      headers: outgoing.headers,
      body: outgoing.body ?? null,
      headersTimeout: 0,
      bodyTimeout: 0,
      ...(hasOwnConnection && { reset: true }),
    };
    try {
      dispatcher.dispatch(request, this);
    } catch {
      this.break("connection");
    }
  }

  /** Ends the exchange at its deadline, or reports its silence; schedules the
   * next check. */
  #checkTimeouts(): void {
    const { clock, deadline } = this.#options;
    const now = clock.now();
    if (now >= deadline) return this.break("deadline");
    if (now >= this.#idleAt) this.#reportSilence(now);
    if (this.#isDone) return;
    const next = Math.min(deadline, this.#idleAt);
    this.#cancelTimer = clock.after(next - now, () => this.#checkTimeouts());
  }

  get #idleAt(): number {
    return Math.max(this.#lastReceivedAt, this.#silenceReportedAt) +
      this.#idleTimeout;
  }

  /** A request that was not sent is not kept: no endpoint can answer it. */
  #reportSilence(now: number): void {
    const { receiver } = this.#options;
    if (receiver.silence === undefined || !this.#isStarted) {
      return this.break("silent");
    }
    this.#silenceReportedAt = now;
    this.#recordBreak();
    receiver.silence();
  }

  #recordBreak(): void {
    const { dispatcher, url } = this.#options;
    dispatcher.recordBreak?.(originOf(url)!);
  }

  #finish(): void {
    this.#isDone = true;
    this.#options.partialAnswers?.remove(this);
    this.#cancelTimer();
  }

  #abort(message: string): void {
    this.#controller?.abort(new Error(message));
  }
}

/** Whether an answer states a body. One with status 304 may state that of the
 * answer to another request (RFC 9110, 8.6). */
function statesBody(headers: Headers): boolean {
  const { "content-length": length = "0", "transfer-encoding": coding } =
    headers;
  return coding !== undefined || Number(length) !== 0;
}

/** Whether a call may get a status: HTTP defines those from 100 to 599 (RFC 9110,
 * 15), and no call asks for another protocol. */
function isExpected(status: number): boolean {
  return status >= 100 && status <= 599 && status !== 101;
}

/** Origin of a base URL; undefined if it is none. */
function originOf(url: string): string | undefined {
  return URL_PARTS.exec(url)?.[1];
}

/** Framing of an answer that may have a body. One whose last transfer coding is
 * not `chunked` ends with its connection (RFC 9112, 6.3). Only spaces and tabs are
 * no part of a coding, as for the parser. */
function framingOf(headers: Headers): Framing {
  if (headers["content-length"] !== undefined) return "length";
  const codings = [headers["transfer-encoding"] ?? []].flat().join();
  const last = codings.split(",").at(-1)!.replace(/^[ \t]+|[ \t]+$/g, "")
    .toLowerCase();
  return last === "chunked" ? "chunked" : "connection";
}

/** Messages of undici's errors for heads that it takes for no answer: one that
 * changes the protocol, and one with status 100, as no call sends `Expect`. */
const UNASKED_HEAD_MESSAGES: ReadonlySet<string> = new Set([
  "bad upgrade",
  "bad response",
]);

/** Whether an endpoint has sent bytes that are no HTTP, or a head that no call
 * asks for. The parser also fails at the end of a connection in the middle of an
 * answer, then without such bytes. */
function isUnreadable(error: Error & { readonly data?: unknown }): boolean {
  if (error instanceof framing.FramingError) return true;
  if (error instanceof undici.errors.SocketError) {
    return UNASKED_HEAD_MESSAGES.has(error.message);
  }
  return error.name === "HTTPParserError" && Boolean(error.data);
}
