/** Backoff of a host from an endpoint that rejects its calls.
 *
 * A rejection takes hardly any time, so an endpoint that rejects all calls has
 * the lowest load. After a rejection other endpoints are preferred for a while,
 * which doubles with each rejected probe; then single probes are sent until one
 * is accepted.
 * @module */

/** First and longest backoff, in milliseconds. */
const MIN_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 4000;
/** Time between probes, in milliseconds: most calls are accepted or rejected
 * within it. */
const PROBE_INTERVAL_MS = 500;

/** State for diagnostics. */
export interface RejectionBackoffDump {
  /** Backoffs in a row without an accepted call. */
  readonly rejections?: number;
  readonly avoidedForMs?: number;
}

/** The rejections of one endpoint; changed in place. */
export class RejectionBackoff {
  /** Backoffs in a row without an accepted call. */
  #count = 0;
  #rejectedAt = -Infinity;
  #blockedUntil = -Infinity;
  #nextProbeAt = -Infinity;

  static create(): RejectionBackoff {
    return new RejectionBackoff();
  }

  /** Records a rejected call. One that was sent before the backoff in force
   * does not extend it. */
  recordRejection(now: number): void {
    if (now < this.#blockedUntil) return;
    const duration = MIN_BACKOFF_MS * 2 ** this.#count;
    this.#count++;
    this.#rejectedAt = now;
    this.#blockedUntil = now + Math.min(MAX_BACKOFF_MS, duration);
  }

  /** Records that a call sent at `startedAt` was accepted. */
  recordAcceptance(startedAt: number): void {
    if (startedAt < this.#rejectedAt) return;
    this.#count = 0;
  }

  /** Records that a call is sent now, which is a probe after a rejection. */
  recordCall(now: number): void {
    if (this.#count > 0) this.#nextProbeAt = now + PROBE_INTERVAL_MS;
  }

  /** Milliseconds for which other endpoints are preferred. */
  left(now: number): number {
    if (this.#count === 0) return 0;
    return Math.max(0, Math.max(this.#blockedUntil, this.#nextProbeAt) - now);
  }

  /** State for diagnostics. */
  dump(now: number): RejectionBackoffDump {
    if (this.#count === 0) return {};
    const avoidedForMs = Math.round(this.left(now));
    return { rejections: this.#count, avoidedForMs };
  }
}
