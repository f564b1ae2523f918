/** What a call has its engine read: noted from when it is sent until its first
 * event comes or it ends without one, here and for other hosts.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as endpoint from "./endpoint.ts";
import type * as firstEvents from "./first_event.ts";
import type * as protocols from "./protocol.ts";
import type * as loadGossips from "./load_gossip.ts";

/** What a reading needs of its host. */
export interface ReadingOptions {
  readonly clock: runtime.Clock;
  readonly loadGossip: Pick<loadGossips.LoadGossip, "note">;
  /** Absent where the call has no prompt. */
  readonly prompt?: protocols.Prompt;
  /** Prompt tokens that the engine must read for it. */
  readonly unread: number;
  /** All that the engine has to do before its first event, by the host that has
   * placed it there; by this host's own knowledge when absent. */
  readonly work?: firstEvents.Work;
}

/** One call's reading; it counts as a call under way until it ends. */
export class Reading {
  readonly #options: ReadingOptions;
  readonly #engine: endpoint.Endpoint;
  readonly #started: number;
  /** Prompt tokens that its engine must read for it. */
  readonly #tokens: number;
  /** All that the engine had to do when it came. */
  readonly #work: firstEvents.Work;
  #first?: number;

  private constructor(engine: endpoint.Endpoint, options: ReadingOptions) {
    const { clock, prompt, unread, work, loadGossip } = options;
    this.#options = options;
    this.#engine = engine;
    this.#started = clock.now();
    this.#tokens = unread;
    this.#work = work ?? engine.workBefore(this.#tokens, this.#started);
    if (prompt !== undefined) engine.memory?.read(prompt);
    engine.backlog += this.#tokens;
    engine.inFlight++;
    loadGossip.note(engine, { prompt });
  }

  /** Notes a call that is sent now. */
  static begin(engine: endpoint.Endpoint, options: ReadingOptions): Reading {
    return new Reading(engine, options);
  }

  /** Milliseconds from the call to its first event, once that has come. */
  get first(): number | undefined {
    return this.#first;
  }

  /** Notes the first event. */
  noteFirst(): void {
    const { clock, loadGossip, work } = this.#options;
    const now = clock.now();
    this.#first = now - this.#started;
    this.#engine.backlog -= this.#tokens;
    const first = work && { work, took: this.#first };
    loadGossip.note(this.#engine, { first });
    this.#engine.noteFirst(this.#work, { took: this.#first, now });
  }

  /** Notes the end of the call. */
  end(): void {
    this.#engine.inFlight--;
    if (this.#first === undefined) this.#engine.backlog -= this.#tokens;
    this.#options.loadGossip.note(this.#engine);
  }
}
