/** For how long the results that a call needs are kept for its engine.
 *
 * An engine fetches them before it reads the prompt, and says so only by its
 * first event. Until they are given up they take up room, which in a burst of
 * requests with large results is what is short: kept until the first event they
 * hold it for twice the time that their making takes. So they are given up
 * sooner. An engine that lacks one says so and has not run the call: that is
 * what the time is learnt from.
 * @module */

/** Milliseconds at the beginning: a call arrives and some megabytes are fetched
 * in a tenth of it, where links and engines are well. */
const FIRST = 150;
/** Least milliseconds: a packet that is sent again takes as long. */
const LEAST = 60;
/** What the time is multiplied by after a call that lacked nothing. */
const SHRINK = 0.99;
/** What it is multiplied by after one that did: its results are made again,
 * which costs some hundreds of milliseconds. */
const GROWTH = 2;
/** Multiple of a time that was too short below which the time does not fall
 * again, and what that bound is multiplied by with each call: it is forgotten
 * over some hundreds of them. */
const MARGIN = 1.5;
const FORGETTING = 0.998;
/** Most milliseconds: first events have come by then. */
const MOST = 2000;

interface Hold {
  time: number;
  /** The time does not fall below this. */
  bound: number;
}

/** Times by service; changed in place. */
export class InputRetention {
  readonly #holds = new Map<string, Hold>();

  static create(): InputRetention {
    return new InputRetention();
  }

  /** Milliseconds from a call to when its results are given up. */
  time(service: string): number {
    return this.#hold(service).time;
  }

  /** Notes a call that came to its first event after its results had been given
   * up. */
  recordSuccess(service: string): void {
    const hold = this.#hold(service);
    hold.bound = Math.max(LEAST, hold.bound * FORGETTING);
    hold.time = Math.max(hold.bound, hold.time * SHRINK);
  }

  /** Notes a call that lacked a result that had been given up after `time`. */
  recordMissing(service: string, time: number): void {
    const hold = this.#hold(service);
    hold.bound = Math.min(MOST, Math.max(hold.bound, MARGIN * time));
    hold.time = Math.min(MOST, Math.max(hold.time, GROWTH * time));
  }

  #hold(service: string): Hold {
    const known = this.#holds.get(service);
    if (known !== undefined) return known;
    const made = { time: FIRST, bound: LEAST };
    this.#holds.set(service, made);
    return made;
  }
}
