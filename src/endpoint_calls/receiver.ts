/** Turns one exchange into tokens and one answer or failure, after checking
 * that it is ours.
 * @module */

import * as call from "./call.ts";
import type * as exchange from "./exchange.ts";
import type * as handler from "./handler.ts";
import type * as request from "../request/request.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Who hears, and who reads. */
export interface Options {
  listener: call.Listener;
  metrics: telemetry.Metrics;
  clock: runtime.Clock;
  handler: handler.Handler;
}

const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Receiver of one call. */
export class CallReceiver implements exchange.Receiver {
  readonly #made: call.Call;
  readonly #options: Options;
  #exchange: exchange.Exchange | undefined;
  #reader: handler.Reader | undefined;
  #failed = false;
  #received: number;
  #retryAfter: number | undefined;

  constructor(made: call.Call, options: Options) {
    this.#made = made;
    this.#options = options;
    this.#received = made.attempt.offset;
  }

  /** Names the exchange that is cut when its answer is of no use. */
  attach(started: exchange.Exchange): void {
    this.#exchange = started;
  }

  head(status: number, headers: exchange.Headers): void {
    const { handler } = this.#options;
    if (!echoes(this.#made, headers)) return this.#give("mismatch");
    this.#retryAfter = retryAfterOf(headers);
    if (NOT_RUN_STATUSES.has(status) && headers["x-outcome"] === "not-run") {
      return this.#give("refused", "not-run");
    }
    const fine = status >= 200 && status < 300;
    if (!fine && !handler.acceptsAnyStatus) return this.#give("error");
    this.#reader = handler.createReader(
      this.#made,
      { status, headers },
      (offset, text) => this.#token(offset, text),
    );
  }

  data(chunk: Buffer): void {
    if (this.#failed) return;
    try {
      this.#reader!.feed(chunk);
    } catch (error) {
      this.#give(reasonOf(error));
    }
  }

  end(): void {
    if (this.#failed) return;
    const { listener, clock, metrics } = this.#options;
    let read: handler.ParsedAnswer;
    try {
      read = this.#reader!.end();
    } catch (error) {
      return this.fail({ reason: reasonOf(error), outcome: "unknown" });
    }
    metrics.count("call.answered");
    metrics.time("call.duration", clock.now() - this.#made.attempt.started);
    listener.answer(read.result, read.usage);
  }

  fail({ reason, outcome }: exchange.ExchangeFailure): void {
    if (this.#failed) return;
    this.#failed = true;
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
    const { started, offset: first } = this.#made.attempt;
    if (this.#received === first) {
      metrics.time("call.first_token", clock.now() - started);
    }
    this.#received = offset + 1;
    listener.token(offset, text);
  }

  /** Fails at once and cuts the connection, whose rest is of no use. */
  #give(
    reason: request.FailureReason,
    outcome: request.Outcome = "unknown",
  ): void {
    this.#exchange?.cancel();
    this.fail({ reason, outcome });
  }
}

function echoes(made: call.Call, headers: exchange.Headers): boolean {
  const { attempt, stage } = made;
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
