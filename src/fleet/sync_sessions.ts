/** The entry hosts that follow a host with a disk: those that ask it for what is
 * new, and are told of changes at once.
 * @module */

/** Milliseconds after which a host that has not asked follows another one: some
 * of its questions. */
const FOLLOWED = 3000;

/** Followers of one host; changed in place. */
export class SyncSessions {
  readonly #askedAt = new Map<string, number>();
  /** Orders of evacuations that each held when it asked last. */
  readonly #orders = new Map<string, number>();

  static create(): SyncSessions {
    return new SyncSessions();
  }

  /** Notes that a host has asked, and how many orders of evacuations it
   * holds. */
  record(host: string, { now, orders }: { now: number; orders: number }): void {
    this.#askedAt.set(host, now);
    this.#orders.set(host, orders);
  }

  /** Hosts that follow now and held fewer orders of evacuations. */
  behind(orders: number, now: number): string[] {
    return this.live(now).filter((host) => this.#orders.get(host)! < orders);
  }

  /** Hosts that follow now. */
  live(now: number): string[] {
    for (const [host, at] of this.#askedAt) {
      if (now - at <= FOLLOWED) continue;
      this.#askedAt.delete(host);
      this.#orders.delete(host);
    }
    return [...this.#askedAt.keys()];
  }
}
