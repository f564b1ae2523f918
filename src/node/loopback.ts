/** Transport of a single-host fleet, which delivers only messages to itself.
 * @module */

import type * as runtime from "../runtime/mod.ts";

/** Delivers envelopes to the sending host in a microtask, after the current
 * step. */
export class Loopback implements runtime.Transport {
  readonly #self: string;
  readonly #onEnvelope: (envelope: runtime.Envelope) => void;
  #open = false;

  private constructor(
    self: string,
    onEnvelope: (envelope: runtime.Envelope) => void,
  ) {
    this.#self = self;
    this.#onEnvelope = onEnvelope;
  }

  /** Creates a transport that delivers nothing before `start`. */
  static create(
    self: string,
    onEnvelope: (envelope: runtime.Envelope) => void,
  ): Loopback {
    return new Loopback(self, onEnvelope);
  }

  start(): Promise<void> {
    this.#open = true;
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.#open = false;
    return Promise.resolve();
  }

  send(envelope: runtime.Envelope): void {
    if (envelope.to !== this.#self) return;
    queueMicrotask(() => {
      if (this.#open) this.#onEnvelope(envelope);
    });
  }

  redial(): void {}

  dump(): unknown {
    return { type: "loopback" };
  }
}
