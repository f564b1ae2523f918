/** Sends other hosts this host's load on engines, so that hosts don't all
 * choose an engine that each of them believes idle, and so that prompts go to
 * engines whose caches hold their shared parts.
 *
 * Hosts that know the load of all others raise the value served by .03 to .045
 * over hosts that know their own calls only.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as endpoints from "./endpoint.ts";
import type * as protocols from "./protocol.ts";

/** Milliseconds over which updates are batched: a small part of the time to a
 * first event, and some requests of a busy host. */
const BATCH_INTERVAL_MS = 20;
/** Milliseconds after which the load on an engine is sent again. */
const REFRESH_INTERVAL_MS = 500;

/** Dependencies of load updates. */
export interface LoadUpdatesOptions {
  readonly clock: runtime.Clock;
  /** Sends updates to other hosts. */
  send(loads: schema.EngineUse[]): void;
}

interface EngineUpdate {
  readonly engine: endpoints.Endpoint;
  readonly cachedParts: schema.PromptPart[][];
  readonly firstEvents: schema.FirstEvent[];
  readonly signals: endpoints.HealthSignal[];
  readonly gaps: number[];
}

/** Events behind a change of the load on an engine. */
export interface LoadChange {
  /** Prompt that was sent to the engine. */
  readonly prompt?: protocols.Prompt;
  /** First event of a prompt that another host has placed. */
  readonly first?: schema.FirstEvent;
  /** Health signal of a call whose prompt another host has placed. */
  readonly signal?: endpoints.HealthSignal;
  /** Mean gap between events of such a call's stream, relative to the mean gap
   * of the service. */
  readonly gap?: number;
}

/** Batches and sends load updates. */
export class LoadUpdates {
  readonly #options: LoadUpdatesOptions;
  readonly #pending = new Map<string, EngineUpdate>();
  #isBatching = false;

  private constructor(options: LoadUpdatesOptions) {
    this.#options = options;
  }

  static create(options: LoadUpdatesOptions): LoadUpdates {
    return new LoadUpdates(options);
  }

  /** Records that this host's load on an engine has changed. */
  record(
    engine: endpoints.Endpoint,
    { prompt, first, signal, gap }: LoadChange = {},
  ): void {
    if (engine.cachedPrefixes === undefined) return;
    const update = this.#updateOf(engine);
    const shared = prompt?.parts.slice(0, -1) ?? [];
    if (shared.length > 0) update.cachedParts.push([...shared]);
    if (first !== undefined) update.firstEvents.push(first);
    if (signal !== undefined) update.signals.push(signal);
    if (gap !== undefined) update.gaps.push(gap);
    if (this.#isBatching) return;
    this.#isBatching = true;
    this.#options.clock.after(BATCH_INTERVAL_MS, () => this.#send());
  }

  #updateOf(engine: endpoints.Endpoint): EngineUpdate {
    const { id } = engine.identity;
    const pending = this.#pending.get(id);
    if (pending !== undefined) return pending;
    const created = {
      engine,
      cachedParts: [],
      firstEvents: [],
      signals: [],
      gaps: [],
    };
    this.#pending.set(id, created);
    return created;
  }

  #send(): void {
    this.#isBatching = false;
    const { clock, send } = this.#options;
    const updates = [...this.#pending.values()];
    this.#pending.clear();
    send(
      updates.map((
        {
          engine,
          cachedParts,
          firstEvents,
          signals,
          gaps,
        },
      ) => ({
        engine: engine.identity.id,
        tokens: Math.max(0, engine.backlog),
        streams: engine.inFlight,
        read: cachedParts,
        ...(firstEvents.length > 0 && { firsts: firstEvents }),
        ...(signals.length > 0 && { verdicts: signals }),
        ...(gaps.length > 0 && { gaps }),
      })),
    );
    for (const { engine } of updates) {
      if (engine.inFlight > 0) {
        clock.after(REFRESH_INTERVAL_MS, () => this.#refresh(engine));
      }
    }
  }

  #refresh(engine: endpoints.Endpoint): void {
    if (engine.inFlight > 0) this.record(engine);
  }
}
