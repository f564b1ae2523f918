/** The entry hosts that sync with a control host, which pushes urgent changes
 * to them.
 * @module */

/** Time without a sync request after which an entry host is assumed to sync
 * with another control host: several sync intervals. */
const SESSION_TIMEOUT_MS = 3000;

/** Sync sessions of one control host; mutable. */
export class SyncSessions {
  readonly #lastSyncAt = new Map<string, number>();
  /** Total revision of evacuations that each host had at its last sync. */
  readonly #totalRevisions = new Map<string, number>();

  static create(): SyncSessions {
    return new SyncSessions();
  }

  /** Records a sync request and the total revision of evacuations in it. */
  record(
    host: string,
    { now, totalRevision }: { now: number; totalRevision: number },
  ): void {
    this.#lastSyncAt.set(host, now);
    this.#totalRevisions.set(host, totalRevision);
  }

  /** Live hosts whose total revision of evacuations is lower than
   * `totalRevision`. */
  behind(totalRevision: number, now: number): string[] {
    return this.live(now).filter((host) =>
      this.#totalRevisions.get(host)! < totalRevision
    );
  }

  /** Entry hosts that sync with this control host at present. */
  live(now: number): string[] {
    for (const [host, at] of this.#lastSyncAt) {
      if (now - at <= SESSION_TIMEOUT_MS) continue;
      this.#lastSyncAt.delete(host);
      this.#totalRevisions.delete(host);
    }
    return [...this.#lastSyncAt.keys()];
  }
}
