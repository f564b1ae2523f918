/** What a call has its engine read: noted from when it is sent until its first
 * event comes or it ends without one, here and for other hosts.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as endpoint from "./endpoint.ts";
import type * as firstEvents from "./first_event_latency.ts";
import type * as protocols from "./protocol.ts";
import type * as loadGossips from "./load_updates.ts";

/** What a reading needs of its host. */
export interface CallLoadOptions {
  readonly clock: runtime.Clock;
  readonly loadUpdates: Pick<loadGossips.LoadUpdates, "record">;
  /** Absent where the call has no prompt. */
  readonly prompt?: protocols.Prompt;
  /** Prompt tokens that the engine must read for it. */
  readonly prefillTokens: number;
  /** All that the engine has to do before its first event, by the host that has
   * placed it there; by this host's own knowledge when absent. */
  readonly pendingWork?: firstEvents.PendingWork;
}

/** One call's reading; it counts as a call under way until it ends. */
export class CallLoad {
  readonly #options: CallLoadOptions;
  readonly #engine: endpoint.Endpoint;
  readonly #started: number;
  /** Prompt tokens that its engine must read for it. */
  readonly #tokens: number;
  /** All that the engine had to do when it came. */
  readonly #work: firstEvents.PendingWork;
  #first?: number;

  private constructor(engine: endpoint.Endpoint, options: CallLoadOptions) {
    const {
      clock,
      prompt,
      prefillTokens: unread,
      pendingWork: work,
      loadUpdates: loadGossip,
    } = options;
    this.#options = options;
    this.#engine = engine;
    this.#started = clock.now();
    this.#tokens = unread;
    this.#work = work ?? engine.pendingWork(this.#tokens, this.#started);
    if (prompt !== undefined) engine.cachedPrefixes?.insert(prompt);
    engine.backlog += this.#tokens;
    engine.inFlight++;
    loadGossip.record(engine, { prompt });
  }

  /** Notes a call that is sent now. */
  static begin(engine: endpoint.Endpoint, options: CallLoadOptions): CallLoad {
    return new CallLoad(engine, options);
  }

  /** Milliseconds from the call to its first event, once that has come. */
  get firstEventTime(): number | undefined {
    return this.#first;
  }

  /** Notes the first event. */
  recordFirstEvent(): void {
    const { clock, loadUpdates: loadGossip, pendingWork: work } = this.#options;
    const now = clock.now();
    this.#first = now - this.#started;
    this.#engine.backlog -= this.#tokens;
    const first = work && { work, took: this.#first };
    loadGossip.record(this.#engine, { first });
    this.#engine.recordFirstEvent(this.#work, { took: this.#first, now });
  }

  /** Notes the end of the call. */
  end(): void {
    this.#engine.inFlight--;
    if (this.#first === undefined) this.#engine.backlog -= this.#tokens;
    this.#options.loadUpdates.record(this.#engine);
  }
}
