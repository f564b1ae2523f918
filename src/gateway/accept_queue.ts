/** Queue of connections that the operating system has established and the host
 * has not accepted, as far as the host can see it: whether it is empty.
 *
 * The event loop accepts one connection in each of its turns. While each turn has
 * one, the queue is not empty; a turn without one shows that it is. A queue that
 * stays non-empty either grows, and callers whose requests are read at last have
 * waited too long, or is what came while the process did not run, and is short.
 * To tell them apart, connections are accepted and held unread until the queue is
 * empty: few are read, and many are closed. A caller whose connection was closed
 * unread may retry at another host, whatever its request.
 * @module */

/** Time for which the queue may be non-empty before its length is found out: well
 * below the second after which callers give up on a request that is not read. */
const MAX_BUSY_MS = 700;
/** Milliseconds that one turn of the event loop counts for at most. In a longer one
 * the process stood still (a suspended machine, a core that others used); that
 * connections waited then does not show that more come than it can serve. Turns
 * of a busy host take some milliseconds. */
const MAX_TURN_MS = 400;
/** Milliseconds of a turn in which the process does not run that count as a pause.
 * Shorter ones are those of a process that may use a part of a core only, which
 * is given out by periods of 100 ms. */
const MIN_PAUSE_MS = 100;
/** Milliseconds of pauses that do not count, before connections are held and as they
 * are: a sound host may not run for a second or two. More are those of a host that
 * can't serve. */
const MAX_PAUSED_MS = 2000;
/** Connections held at once at most: a host that reads each in 7 ms reads them in
 * less time than callers wait. */
export const MAX_HELD_COUNT = 50;
/** Time for which connections may be held. Accepting one without reading it takes
 * less than a millisecond: a queue that is not empty by then has many, or turns
 * are slow. */
const MAX_HOLDING_MS = 250;
/** Connections closed at once at most, the capacity of the queue. If they come
 * faster than they can be closed, some are still served. */
const MAX_SHED_COUNT = 511;

/** What to do with a connection: "hold" leaves it unread until the queue is empty,
 * or until a later one is closed, and these with it. */
export type Verdict = "read" | "hold" | "close";

/** Time at which a connection is accepted, in milliseconds. */
export interface Times {
  readonly now: number;
  /** Time for which the process has run. */
  readonly processor: number;
}

/** State of the queue. Mutable. */
export class AcceptQueue {
  /** Time for which it has not been empty, in milliseconds. */
  #busyMs = 0;
  /** Undefined while it is empty. */
  #last?: Times;
  /** Whether the process has stood still since it was empty. */
  #hasStoodStill = false;
  /** Pauses that did not count since it was empty, or since connections are held,
   * in milliseconds. */
  #pausedMs = 0;
  #heldCount = 0;
  /** Time for which connections have been held, in milliseconds. */
  #holdingMs = 0;
  #shedCount = 0;

  static create(): AcceptQueue {
    return new AcceptQueue();
  }

  /** Records that a connection was accepted. */
  accept(times: Times): Verdict {
    const turnMs = times.now - (this.#last ?? times).now;
    const runMs = times.processor - (this.#last ?? times).processor;
    this.#last = times;
    if (this.#isFull) return this.#shed(this.#withoutPause(turnMs, runMs));
    if (turnMs > MAX_TURN_MS && !this.#hasStoodStill) this.#restart();
    else {
      const countedMs = this.#withoutPause(turnMs, runMs);
      this.#busyMs += Math.min(MAX_TURN_MS, countedMs);
    }
    if (!this.#isFull) return "read";
    this.#pausedMs = 0;
    return this.#shed(0);
  }

  /** Records a turn of the event loop without a connection. */
  recordEmpty(): void {
    this.#last = undefined;
    this.#hasStoodStill = false;
    this.#pausedMs = 0;
    this.#busyMs = 0;
    this.#heldCount = 0;
    this.#holdingMs = 0;
    this.#shedCount = 0;
  }

  get #isFull(): boolean {
    return this.#busyMs > MAX_BUSY_MS;
  }

  /** Milliseconds of a turn that count. */
  #withoutPause(turnMs: number, runMs: number): number {
    const pauseMs = turnMs - runMs;
    if (pauseMs < MIN_PAUSE_MS) return turnMs;
    const freeMs = Math.min(pauseMs, MAX_PAUSED_MS - this.#pausedMs);
    this.#pausedMs += freeMs;
    return turnMs - freeMs;
  }

  #shed(turnMs: number): Verdict {
    this.#holdingMs += turnMs;
    this.#shedCount++;
    const isHeld = this.#heldCount < MAX_HELD_COUNT &&
      this.#holdingMs <= MAX_HOLDING_MS;
    if (isHeld) {
      this.#heldCount++;
      return "hold";
    }
    this.#heldCount = MAX_HELD_COUNT;
    if (this.#shedCount >= MAX_SHED_COUNT) this.recordEmpty();
    return "close";
  }

  /** Begins anew after a standstill: the whole time is left to serve what came in
   * it. Several in a row are slow turns. */
  #restart(): void {
    this.#hasStoodStill = true;
    this.#busyMs = 0;
  }
}
