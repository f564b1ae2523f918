/** Converts the answer of an exchange to tokens and one answer or failure, and
 * checks that it belongs to the call.
 * @module */

import * as call from "./call.ts";
import type * as exchange from "./exchange.ts";
import type * as handler from "./handler.ts";
import type * as request from "../request/request.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Dependencies of a receiver. */
export interface Options {
  listener: call.Listener;
  metrics: telemetry.Metrics;
  clock: runtime.Clock;
  handler: handler.Handler;
}

const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Receiver of one call. */
export class CallReceiver implements exchange.Receiver {
  readonly #call: call.Call;
  readonly #options: Options;
  #exchange: exchange.Exchange | undefined;
  #reader: handler.Reader | undefined;
  #hasFailed = false;
  #received: number;
  #retryAfter: number | undefined;

  constructor(sentCall: call.Call, options: Options) {
    this.#call = sentCall;
    this.#options = options;
    this.#received = sentCall.attempt.offset;
  }

  /** Sets the exchange that is cancelled when its answer is invalid. */
  attach(started: exchange.Exchange): void {
    this.#exchange = started;
  }

  get heldBytes(): number {
    return this.#reader?.heldBytes ?? 0;
  }

  head(
    status: number,
    headers: exchange.Headers,
    { framing }: Pick<handler.Head, "framing">,
  ): void {
    const { handler } = this.#options;
    if (!hasIdsOf(this.#call, headers)) return this.#abort("mismatch");
    this.#retryAfter = retryAfterOf(headers);
    if (NOT_RUN_STATUSES.has(status) && headers["x-outcome"] === "not-run") {
      return this.#abort("refused", "not-run");
    }
    const isSuccess = status >= 200 && status < 300;
    if (!isSuccess && !handler.acceptsAnyStatus) return this.#abort("error");
    this.#reader = handler.createReader(
      this.#call,
      { status, headers, framing },
      (offset, text) => this.#token(offset, text),
    );
  }

  data(chunk: Buffer): void {
    if (this.#hasFailed) return;
    try {
      this.#reader!.feed(chunk);
    } catch (error) {
      this.#abort(reasonOf(error));
    }
  }

  end(): void {
    if (this.#hasFailed) return;
    const { listener, clock, metrics } = this.#options;
    let read: handler.ParsedAnswer;
    try {
      read = this.#reader!.end();
    } catch (error) {
      return this.fail({ reason: reasonOf(error), outcome: "unknown" });
    }
    metrics.count("call.answered");
    metrics.time("call.duration", clock.now() - this.#call.attempt.started);
    listener.answer(read.result, read.usage);
  }

  fail({ reason, outcome }: exchange.ExchangeFailure): void {
    if (this.#hasFailed) return;
    this.#hasFailed = true;
    const { listener, metrics } = this.#options;
    metrics.count("call.failed", 1, { reason });
    if (reason === "mismatch") metrics.count("call.mismatched");
    if (reason === "silent") metrics.count("call.silent");
    const received = this.#received;
    const retryAfter = this.#retryAfter;
    listener.fail({ reason, outcome, received, retryAfter });
  }

  #token(offset: number, text: string): void {
    const { listener, clock, metrics } = this.#options;
    const { started, offset: firstOffset } = this.#call.attempt;
    if (this.#received === firstOffset) {
      metrics.time("call.first_token", clock.now() - started);
    }
    this.#received = offset + 1;
    listener.token(offset, text);
  }

  /** Fails the call and destroys the connection, since the rest of the answer
   * is not needed. */
  #abort(
    reason: request.FailureReason,
    outcome: request.Outcome = "unknown",
  ): void {
    this.#exchange?.cancel();
    this.fail({ reason, outcome });
  }
}

function hasIdsOf(sentCall: call.Call, headers: exchange.Headers): boolean {
  const { attempt, stage } = sentCall;
  return headers["x-request-id"] === attempt.request &&
    headers["x-stage"] === stage &&
    headers["x-attempt"] === String(attempt.attempt);
}

function retryAfterOf(headers: exchange.Headers): number | undefined {
  const seconds = Number(headers["retry-after"] ?? NaN);
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : undefined;
}

function reasonOf(error: unknown): request.FailureReason {
  return error instanceof call.CallError ? error.reason : "error";
}
