/** Transport of a host that is alone: what it sends to itself arrives.
 * @module */

import type * as runtime from "../runtime/mod.ts";

/** Delivers to one host, after the present step. */
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

  /** A transport that delivers nothing before `start`. */
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
