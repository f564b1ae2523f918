/** Acknowledgements of the frames that arrive on one connection. Each covers all
 * frames up to its number: it rides on the next frame to the sender, or is sent
 * by itself after a delay.
 * @module */

/** Longest time for which an acknowledgement waits for a frame to ride on: longer
 * than the interval of keep-alives, of which one then covers two. */
export const DELAY_MS = 250;
/** Frames after which an acknowledgement does not wait. The sender stops at
 * twice as many, so that it is not held up. */
const MAX_UNACKNOWLEDGED = 4;

/** Options of `Acknowledgements`. */
export interface AcknowledgementsOptions {
  /** Whether the sender understands acknowledgements of several frames; hosts
   * of earlier releases are sent one for each frame at once. */
  readonly isCumulative: boolean;
  /** Sends an acknowledgement by itself. */
  send(id: number): void;
}

/** Acknowledgements of one connection. Mutable. */
export class Acknowledgements {
  readonly #options: AcknowledgementsOptions;
  /** Number of the last frame. */
  #last?: number;
  /** Frames that are not acknowledged yet. */
  #unacknowledged = 0;
  #timer?: NodeJS.Timeout;

  private constructor(options: AcknowledgementsOptions) {
    this.#options = options;
  }

  static create(options: AcknowledgementsOptions): Acknowledgements {
    return new Acknowledgements(options);
  }

  /** Records the arrival of a frame. */
  record(id: number): void {
    const { isCumulative } = this.#options;
    this.#last = id;
    this.#unacknowledged++;
    if (!isCumulative || this.#unacknowledged >= MAX_UNACKNOWLEDGED) {
      return this.#send();
    }
    this.#timer ??= setTimeout(() => this.#send(), DELAY_MS);
  }

  /** Returns the number of the last frame, to be sent with a frame; undefined if
   * all frames are acknowledged. */
  take(): number | undefined {
    if (this.#unacknowledged === 0) return undefined;
    this.#reset();
    return this.#last;
  }

  /** Sends the last acknowledgement again, since the frame that it rode on may
   * be lost. */
  repeat(): void {
    if (this.#last !== undefined) this.#send();
  }

  /** Sends nothing more. */
  close(): void {
    this.#reset();
    this.#last = undefined;
  }

  #send(): void {
    this.#reset();
    this.#options.send(this.#last!);
  }

  #reset(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#unacknowledged = 0;
  }
}
