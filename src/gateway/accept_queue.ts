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
/** Time without a connection after which turns of the event loop have been
 * missing, so that nothing is known of the queue: the process stood still. Turns
 * of a busy host take some milliseconds. */
const MAX_TURN_MS = 400;
/** Connections closed at once at most, the capacity of the queue. If they come
 * faster than they can be closed, some are still served. */
const MAX_SHED_COUNT = 511;

/** What to do with a connection. */
export type Verdict = "read" | "close";

/** State of the queue. Mutable. */
export class AcceptQueue {
  /** Since when it has not been empty; undefined while it is. */
  #busySince?: number;
  #shedCount = 0;
  #acceptedAt = -Infinity;

  static create(): AcceptQueue {
    return new AcceptQueue();
  }

  /** Records that a connection was accepted. */
  accept(now: number): Verdict {
    if (now - this.#acceptedAt > MAX_TURN_MS) this.recordEmpty();
    this.#acceptedAt = now;
    this.#busySince ??= now;
    if (now - this.#busySince <= MAX_BUSY_MS) return "read";
    this.#shedCount++;
    if (this.#shedCount >= MAX_SHED_COUNT) this.recordEmpty();
    return "close";
  }

  /** Records a turn of the event loop without a connection. */
  recordEmpty(): void {
    this.#busySince = undefined;
    this.#shedCount = 0;
  }
}
