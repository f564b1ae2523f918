/** Adapts how long the inputs of a call are retained after it is sent.
 *
 * An engine fetches the inputs before prefill, but its first event is the only
 * sign that it has done so. Retained inputs take up storage, which is the
 * bottleneck in a burst of requests with large inputs: until the first event
 * they would occupy it for twice the time that producing them takes. So they
 * are released earlier. An engine that misses an input reports so without
 * executing the call, and the retention time is learnt from these reports.
 * @module */

/** Initial milliseconds: without faults, a call arrives and some megabytes are
 * fetched in a tenth of it. */
const INITIAL_TIME_MS = 150;
/** Least milliseconds: the retransmission of a packet takes as long. */
const MIN_TIME_MS = 60;
/** Factor of the time after a call that missed no input. */
const SUCCESS_FACTOR = 0.99;
/** Factor of the time after a call that missed one: its stages run again, which
 * costs some hundreds of milliseconds. */
const MISS_FACTOR = 2;
/** Lower bound of the time, as a multiple of the last one that was too short,
 * and the factor of that bound after each call: it decays over some hundreds of
 * calls. */
const BOUND_FACTOR = 1.5;
const BOUND_DECAY_FACTOR = 0.998;
/** Most milliseconds: first events have arrived by then. */
const MAX_TIME_MS = 2000;

interface Retention {
  time: number;
  /** Lower bound of the time. */
  bound: number;
}

/** Retention times by service; changed in place. */
export class InputRetention {
  readonly #retentions = new Map<string, Retention>();

  static create(): InputRetention {
    return new InputRetention();
  }

  /** Milliseconds from a call to the release of its inputs. */
  time(service: string): number {
    return this.#retentionOf(service).time;
  }

  /** Records a call whose first event arrived after its inputs were
   * released. */
  recordSuccess(service: string): void {
    const retention = this.#retentionOf(service);
    retention.bound = Math.max(
      MIN_TIME_MS,
      retention.bound * BOUND_DECAY_FACTOR,
    );
    retention.time = Math.max(retention.bound, retention.time * SUCCESS_FACTOR);
  }

  /** Records a call that missed an input released after `time` milliseconds. */
  recordMissing(service: string, time: number): void {
    const retention = this.#retentionOf(service);
    retention.bound = Math.min(
      MAX_TIME_MS,
      Math.max(retention.bound, BOUND_FACTOR * time),
    );
    retention.time = Math.min(
      MAX_TIME_MS,
      Math.max(retention.time, MISS_FACTOR * time),
    );
  }

  #retentionOf(service: string): Retention {
    const known = this.#retentions.get(service);
    if (known !== undefined) return known;
    const created = { time: INITIAL_TIME_MS, bound: MIN_TIME_MS };
    this.#retentions.set(service, created);
    return created;
  }
}
