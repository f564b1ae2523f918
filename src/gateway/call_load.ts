/** Accounts for the load of one call on its endpoint: as in flight until it
 * ends, and as prefill backlog until its first event. Each change is also sent
 * to other hosts.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as endpoints from "./endpoint.ts";
import type * as firstEventLatencies from "./first_event_latency.ts";
import type * as protocols from "./protocol.ts";
import type * as loadUpdates from "./load_updates.ts";

/** Dependencies, and the prompt of the call. */
export interface CallLoadOptions {
  readonly clock: runtime.Clock;
  readonly loadUpdates: Pick<loadUpdates.LoadUpdates, "record">;
  /** Absent if the call has no prompt. */
  readonly prompt?: protocols.Prompt;
  /** Prompt tokens that the engine must prefill. */
  readonly prefillTokens: number;
  /** Work of the engine before the first event, as the partition owner that
   * placed the call knows it; if absent, by this host's own state. */
  readonly pendingWork?: firstEventLatencies.PendingWork;
}

/** The load of one call on its endpoint. */
export class CallLoad {
  readonly #options: CallLoadOptions;
  readonly #endpoint: endpoints.Endpoint;
  readonly #startedAt: number;
  /** Prompt tokens that the engine must prefill. */
  readonly #prefillTokens: number;
  /** Work of the engine before the first event, when the call was sent. */
  readonly #pendingWork: firstEventLatencies.PendingWork;
  #firstEventTime?: number;

  private constructor(endpoint: endpoints.Endpoint, options: CallLoadOptions) {
    const {
      clock,
      prompt,
      prefillTokens,
      pendingWork,
      loadUpdates,
    } = options;
    this.#options = options;
    this.#endpoint = endpoint;
    this.#startedAt = clock.now();
    this.#prefillTokens = prefillTokens;
    this.#pendingWork = pendingWork ??
      endpoint.pendingWork(this.#prefillTokens, this.#startedAt);
    if (prompt !== undefined) endpoint.cachedPrefixes?.insert(prompt);
    endpoint.backlog += this.#prefillTokens;
    endpoint.inFlight++;
    loadUpdates.record(endpoint, { prompt });
  }

  /** Starts to count a call that is sent now. */
  static start(
    endpoint: endpoints.Endpoint,
    options: CallLoadOptions,
  ): CallLoad {
    return new CallLoad(endpoint, options);
  }

  /** Milliseconds from the call to its first event, once it has arrived. */
  get firstEventTime(): number | undefined {
    return this.#firstEventTime;
  }

  /** Records the first event. */
  recordFirstEvent(): void {
    const { clock, loadUpdates, pendingWork } = this.#options;
    const now = clock.now();
    this.#firstEventTime = now - this.#startedAt;
    this.#endpoint.backlog -= this.#prefillTokens;
    const first = pendingWork &&
      { work: pendingWork, took: this.#firstEventTime };
    loadUpdates.record(this.#endpoint, { first });
    this.#endpoint.recordFirstEvent(this.#pendingWork, {
      took: this.#firstEventTime,
      now,
    });
  }

  /** Records the end of the call. */
  end(): void {
    this.#endpoint.inFlight--;
    if (this.#firstEventTime === undefined) {
      this.#endpoint.backlog -= this.#prefillTokens;
    }
    this.#options.loadUpdates.record(this.#endpoint);
  }
}
