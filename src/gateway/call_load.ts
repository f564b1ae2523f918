/** Accounts for the load of one call on its endpoint: as in flight until it
 * ends, and as prefill backlog until its first event. Each change is also sent
 * to other hosts.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as endpoints from "./endpoint.ts";
import type * as firstEventLatencies from "./first_event_latency.ts";
import type * as protocols from "./protocol.ts";
import type * as loadUpdates from "./load_updates.ts";

/** Gaps between events from which their mean counts: the mean of fewer shows
 * little but the jitter of the network. */
const MIN_GAP_COUNT = 4;

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
  /** Whether the engine fetches parts of the prompt from another one's cache. */
  readonly isFetching?: boolean;
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
  /** Gaps between events so far, and their sum in milliseconds. */
  #gapCount = 0;
  #gapSum = 0;

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
    const { clock, loadUpdates, pendingWork, isFetching } = this.#options;
    const now = clock.now();
    const took = now - this.#startedAt;
    this.#firstEventTime = took;
    this.#endpoint.backlog -= this.#prefillTokens;
    const fetched = isFetching && { fetched: true };
    const first = pendingWork && { work: pendingWork, took, ...fetched };
    loadUpdates.record(this.#endpoint, { first });
    this.#endpoint.recordFirstEvent(this.#pendingWork, {
      took,
      now,
      isFetched: isFetching,
    });
  }

  /** Records an event after the first. Several that arrive together count as
   * one. */
  recordEvent(): void {
    const since = this.#startedAt + this.#firstEventTime! + this.#gapSum;
    this.#gapSum += this.#options.clock.now() - since;
    this.#gapCount++;
  }

  /** Takes the call out of the load; a stream that has succeeded gives an
   * observation of its mean gap. */
  end({ isSuccess }: { isSuccess: boolean }): void {
    this.#endpoint.inFlight--;
    if (this.#firstEventTime === undefined) {
      this.#endpoint.backlog -= this.#prefillTokens;
    }
    const gap = isSuccess ? this.#recordGap() : undefined;
    const isReported = this.#options.pendingWork !== undefined;
    this.#options.loadUpdates.record(
      this.#endpoint,
      isReported ? { gap } : undefined,
    );
  }

  /** Records the mean gap between the events; returns it relative to the mean
   * gap of the service. */
  #recordGap(): number | undefined {
    if (this.#gapCount < MIN_GAP_COUNT) return undefined;
    const gap = this.#gapSum / this.#gapCount;
    return this.#endpoint.recordGap(gap, this.#options.clock.now());
  }
}
