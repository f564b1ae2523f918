/** Queue of connections that the operating system has established and the host
 * has not accepted, as far as the host can see it: whether it is empty.
 *
 * The event loop accepts one connection in each of its turns. While each turn has
 * one, the queue is not empty; a turn without one shows that it is. A queue that
 * stays non-empty grows, and callers whose requests are read at last have waited
 * too long. It is emptied by closing connections unread: such a caller may retry
 * at another host, whatever its request.
 * @module */

/** Time for which the queue may be non-empty: well below the second after which
 * callers give up on a request that is not read. */
const MAX_BUSY_MS = 700;
/** Milliseconds that one turn of the event loop counts for at most. In a longer one
 * the process stood still (a suspended machine, a core that others used); that
 * connections waited then does not show that more come than it can serve. Turns
 * of a busy host take some milliseconds. */
const MAX_TURN_MS = 400;
/** Connections closed at once at most, the capacity of the queue. If they come
 * faster than they can be closed, some are still served. */
const MAX_SHED_COUNT = 511;

/** What to do with a connection. */
export type Verdict = "read" | "close";

/** State of the queue. Mutable. */
export class AcceptQueue {
  /** Time for which it has not been empty, in milliseconds. */
  #busyMs = 0;
  /** Undefined while it is empty. */
  #lastAcceptedAt?: number;
  /** Whether the process has stood still since it was empty. */
  #hasStoodStill = false;
  #shedCount = 0;

  static create(): AcceptQueue {
    return new AcceptQueue();
  }

  /** Records that a connection was accepted. */
  accept(now: number): Verdict {
    const turnMs = now - (this.#lastAcceptedAt ?? now);
    this.#lastAcceptedAt = now;
    if (turnMs > MAX_TURN_MS && !this.#hasStoodStill) this.#restart();
    else this.#busyMs += Math.min(MAX_TURN_MS, turnMs);
    if (this.#busyMs <= MAX_BUSY_MS) return "read";
    this.#shedCount++;
    if (this.#shedCount >= MAX_SHED_COUNT) this.recordEmpty();
    return "close";
  }

  /** Records a turn of the event loop without a connection. */
  recordEmpty(): void {
    this.#lastAcceptedAt = undefined;
    this.#hasStoodStill = false;
    this.#busyMs = 0;
    this.#shedCount = 0;
  }

  /** Begins anew after a standstill: the whole time is left to serve what came in
   * it. Several in a row are slow turns. */
  #restart(): void {
    this.#hasStoodStill = true;
    this.#busyMs = 0;
    this.#shedCount = 0;
  }
}
