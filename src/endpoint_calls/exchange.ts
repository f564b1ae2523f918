/** One HTTP exchange with an endpoint, bounded in time and size.
 *
 * It knows whether a byte of the request may have left: undici says so before
 * it writes. An exchange that is cut short destroys its connection, so that
 * nobody else is given a connection that went silent or carries a late answer.
 * @module */

import type * as undici from "undici";
import type * as request from "../request/request.ts";
import * as connector from "./connector.ts";
import type * as runtime from "../runtime/mod.ts";

/** Headers of an answer, names in lower case. */
export type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Why an exchange ended without its whole answer. */
export interface ExchangeFailure {
  reason: request.FailureReason;
  outcome: request.Outcome;
}

/** Hears an exchange; after `end` or `fail` nothing more. */
export interface Receiver {
  head(status: number, headers: Headers): void;
  data(chunk: Buffer): void;
  end(): void;
  fail(broken: ExchangeFailure): void;
}

/** What is sent. */
export interface OutgoingRequest {
  method: string;
  path: string;
  headers: Record<string, string>;
  body?: string | Uint8Array;
}

/** Bounds and parts of an exchange. */
export interface Options {
  dispatcher: undici.Dispatcher;
  clock: runtime.Clock;
  /** Base URL of the endpoint. */
  url: string;
  /** Milliseconds of the clock. */
  deadline: number;
  /** Milliseconds without a byte. */
  idleTimeout: number;
  /** Most bytes of an answer's body. */
  maxBytes: number;
  receiver: Receiver;
}

/** Origin and path of a base URL without a final slash. */
const URL_PARTS = /^(https?:\/\/[^/?#]+)([^?#]*)$/;

/** One exchange. */
export class Exchange implements undici.Dispatcher.DispatchHandler {
  readonly #options: Options;
  #controller: undici.Dispatcher.DispatchController | undefined;
  #started = false;
  #headed = false;
  /** Whether it is asked for a head alone. */
  #isHead = false;
  /** Whether the answer says by itself where it ends. */
  #isFramed = true;
  #done = false;
  #bytes = 0;
  #heard: number;
  #silence: number;
  #cancelTimer: runtime.Cancel = () => {};

  private constructor(options: Options) {
    this.#options = options;
    this.#heard = options.clock.now();
    this.#silence = options.idleTimeout;
  }

  /** Sends, and tells the receiver what comes. */
  static start(sent: OutgoingRequest, options: Options): Exchange {
    const exchange = new Exchange(options);
    exchange.#watch();
    exchange.#send(sent);
    return exchange;
  }

  /** Ends it without another word; cuts the connection if it was in use. */
  cancel(): void {
    if (this.#done) return;
    this.#finish();
    this.#cut("The call was cancelled");
  }

  /** Gives it up after so many milliseconds without a byte, from now on. */
  setIdleTimeout(silence: number): void {
    if (this.#done) return;
    this.#silence = silence;
    this.#cancelTimer();
    this.#watch();
  }

  /** Ends it as broken; cuts the connection. */
  break(reason: request.FailureReason): void {
    if (this.#done) return;
    const outcome = this.#started ? "unknown" : "not-run";
    this.#finish();
    this.#cut(`The call is given up: ${reason}`);
    this.#options.receiver.fail({ reason, outcome });
  }

  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#done) {
      // Given up while it waited for a connection: undici writes nothing.
      controller.abort(new Error("The call was given up"));
      return;
    }
    this.#started = true;
  }

  onResponseStart(
    _controller: undici.Dispatcher.DispatchController,
    status: number,
    headers: Headers,
  ): void {
    this.#heard = this.#options.clock.now();
    if (this.#done || status < 200) return;
    this.#headed = true;
    this.#isFramed = this.#isHead || status === 204 || status === 304 ||
      headers["content-length"] !== undefined ||
      headers["transfer-encoding"] !== undefined;
    this.#options.receiver.head(status, headers);
  }

  onResponseData(
    _controller: undici.Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#done) return;
    this.#heard = this.#options.clock.now();
    this.#bytes += chunk.length;
    if (this.#bytes > this.#options.maxBytes) return this.break("error");
    this.#options.receiver.data(chunk);
  }

  onResponseEnd(): void {
    if (this.#done) return;
    if (this.#isFramed) return this.#end();
    const ending = connector.currentEndCheck();
    if (ending === undefined) return this.break("broken-stream");
    void ending.then((isInOrder) => {
      if (this.#done) return;
      if (isInOrder) this.#end();
      else this.break("broken-stream");
    });
  }

  onResponseError(): void {
    this.break(this.#headed ? "broken-stream" : "connection");
  }

  #end(): void {
    this.#finish();
    this.#options.receiver.end();
  }

  #send(sent: OutgoingRequest): void {
    this.#isHead = sent.method === "HEAD";
    if (this.#done) return;
    const { dispatcher, url } = this.#options;
    const [, origin, base] = URL_PARTS.exec(url) ?? [];
    if (origin === undefined) return this.break("connection");
    const asked = {
      origin,
      path: base + sent.path,
      method: sent.method as undici.Dispatcher.HttpMethod,
      headers: sent.headers,
      body: sent.body ?? null,
      headersTimeout: 0,
      bodyTimeout: 0,
    };
    try {
      dispatcher.dispatch(asked, this);
    } catch {
      this.break("connection");
    }
  }

  /** Wakes when the deadline or, if nothing is heard, the bound is reached. */
  #watch(): void {
    const { clock, deadline } = this.#options;
    const silence = this.#silence;
    const now = clock.now();
    if (now >= deadline) return this.break("deadline");
    const silentAt = this.#heard + silence;
    if (now >= silentAt) return this.break("silent");
    const next = Math.min(deadline, silentAt);
    this.#cancelTimer = clock.after(next - now, () => this.#watch());
  }

  #finish(): void {
    this.#done = true;
    this.#cancelTimer();
  }

  #cut(message: string): void {
    this.#controller?.abort(new Error(message));
  }
}
