/** One HTTP exchange with an endpoint, with limits of time and size.
 *
 * It tracks whether any byte of the request may have been sent: undici reports
 * the start of a request before it writes. An aborted exchange destroys its
 * connection, so that no other call reuses a connection that is unresponsive or
 * carries a late answer.
 * @module */

import type * as undici from "undici";
import type * as request from "../request/request.ts";
import * as connector from "./connector.ts";
import type * as runtime from "../runtime/mod.ts";

/** Headers of an answer, names in lower case. */
export type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Failure of an exchange, and whether the endpoint ran the request. */
export interface ExchangeFailure {
  reason: request.FailureReason;
  outcome: request.Outcome;
}

/** Receives the answer of an exchange; `end` or `fail` is the last call. */
export interface Receiver {
  head(status: number, headers: Headers): void;
  data(chunk: Buffer): void;
  end(): void;
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
  receiver: Receiver;
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

/** One HTTP request and its answer. */
export class Exchange implements undici.Dispatcher.DispatchHandler {
  readonly #options: Options;
  #controller: undici.Dispatcher.DispatchController | undefined;
  #isStarted = false;
  #hasResponseHead = false;
  /** Whether the method is `HEAD`, whose answer has no body. */
  #isHeadRequest = false;
  /** Whether the answer's end is marked by a length or transfer encoding, not
   * by the end of the connection. */
  #isFramed = true;
  #isDone = false;
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

  /** Ends the exchange without notifying the receiver; destroys the connection
   * if it is in use. */
  cancel(): void {
    if (this.#isDone) return;
    this.#finish();
    this.#abort("call cancelled");
  }

  /** Changes the time in milliseconds without a byte after which the exchange
   * is silent. */
  setIdleTimeout(idleTimeout: number): void {
    if (this.#isDone) return;
    this.#idleTimeout = idleTimeout;
    this.#cancelTimer();
    this.#checkTimeouts();
  }

  /** Fails the exchange and destroys the connection. */
  break(reason: request.FailureReason): void {
    if (this.#isDone) return;
    const outcome = this.#isStarted ? "unknown" : "not-run";
    if (this.#isStarted && PATH_REASONS.has(reason)) this.#recordBreak();
    this.#finish();
    this.#abort(`call failed: ${reason}`);
    this.#options.receiver.fail({ reason, outcome });
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
    if (this.#isDone || status < 200) return;
    this.#hasResponseHead = true;
    this.#isFramed = this.#isHeadRequest || status === 204 || status === 304 ||
      headers["content-length"] !== undefined ||
      headers["transfer-encoding"] !== undefined;
    this.#options.receiver.head(status, headers);
  }

  onResponseData(
    _controller: undici.Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#isDone) return;
    this.#lastReceivedAt = this.#options.clock.now();
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes > this.#options.maxBytes) {
      return this.break("error");
    }
    this.#options.receiver.data(chunk);
  }

  onResponseEnd(): void {
    if (this.#isDone) return;
    if (this.#isFramed) return this.#end();
    const ending = connector.currentEndCheck();
    if (ending === undefined) return this.break("broken-stream");
    void ending.then((isInOrder) => {
      if (this.#isDone) return;
      if (isInOrder) this.#end();
      else this.break("broken-stream");
    });
  }

  onResponseError(): void {
    this.break(this.#hasResponseHead ? "broken-stream" : "connection");
  }

  #end(): void {
    this.#finish();
    this.#options.receiver.end();
  }

  #send(outgoing: OutgoingRequest): void {
    this.#isHeadRequest = outgoing.method === "HEAD";
    if (this.#isDone) return;
    const { dispatcher, url } = this.#options;
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
    const [, origin] = URL_PARTS.exec(url)!;
    dispatcher.recordBreak?.(origin);
  }

  #finish(): void {
    this.#isDone = true;
    this.#cancelTimer();
  }

  #abort(message: string): void {
    this.#controller?.abort(new Error(message));
  }
}
