/** Whether an endpoint is brittle: it fails when it has to reject too many calls
 * in a second, and announces so in all of its answers.
 *
 * All endpoints of a service are brittle at the same times, so an endpoint that
 * has not answered this host yet counts as brittle while others of its service
 * announce it.
 * @module */

/** Time for which an endpoint's own announcement counts without an answer. */
const OWN_LIFETIME_MS = 10_000;
/** Time for which the announcements of others of its service count. */
const SERVICE_LIFETIME_MS = 5000;

/** Announcements of all endpoints of one service; changed in place. */
export interface ServiceBrittleness {
  /** Time of the last announcement. */
  announcedAt: number;
}

/** The announcements of one incarnation; changed in place. */
export class Brittleness {
  readonly #service: ServiceBrittleness;
  #announcedAt = -Infinity;
  #deniedAt = -Infinity;

  private constructor(service: ServiceBrittleness) {
    this.#service = service;
  }

  static create(
    service: ServiceBrittleness = { announcedAt: -Infinity },
  ): Brittleness {
    return new Brittleness(service);
  }

  /** Records whether an answer carries the announcement; returns whether that
   * changes what is known of the endpoint. */
  record(isAnnounced: boolean, now: number): boolean {
    const before = this.isBrittle(now);
    if (isAnnounced) {
      this.#announcedAt = now;
      this.#service.announcedAt = now;
    } else this.#deniedAt = now;
    return before !== this.isBrittle(now);
  }

  isBrittle(now: number): boolean {
    if (this.#announcedAt > this.#deniedAt) {
      return now - this.#announcedAt < OWN_LIFETIME_MS;
    }
    const { announcedAt } = this.#service;
    return announcedAt > this.#deniedAt &&
      now - announcedAt < SERVICE_LIFETIME_MS;
  }
}
