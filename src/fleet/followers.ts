/** The entry hosts that follow a host with a disk: those that ask it for what is
 * new, and are told of changes at once.
 * @module */

/** Milliseconds after which a host that has not asked follows another one: some
 * of its questions. */
const FOLLOWED = 3000;

/** Followers of one host; changed in place. */
export class Followers {
  readonly #askedAt = new Map<string, number>();

  static create(): Followers {
    return new Followers();
  }

  /** Notes that a host has asked. */
  note(host: string, now: number): void {
    this.#askedAt.set(host, now);
  }

  /** Hosts that follow now. */
  live(now: number): string[] {
    for (const [host, at] of this.#askedAt) {
      if (now - at > FOLLOWED) this.#askedAt.delete(host);
    }
    return [...this.#askedAt.keys()];
  }
}
