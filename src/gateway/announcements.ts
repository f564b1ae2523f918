/** What an endpoint announces of itself in its answers: that it is leaving, and
 * that this host is to send nothing for a while. Applies to one incarnation.
 * @module */

/** Longest announced backoff that is kept; a longer one is shortened to it. */
export const MAX_BACKOFF_MS = 600_000;

/** Time after its last such answer for which an endpoint counts as leaving. One
 * that still sends heartbeats by then did not leave. */
export const LEAVING_LIFETIME_MS = 600_000;

/** Least time between log lines about an endpoint's unreadable announcements of
 * one kind, and between those about any endpoint: a new version of the software
 * of all endpoints may send what hosts can't read. */
const UNREADABLE_LOG_INTERVAL_MS = 10_000;
const UNREADABLE_LOG_INTERVAL_OF_ALL_MS = 1000;

/** What an announcement is about. */
export type Kind = "brittle" | "leaving" | "backoff" | "load";

/** When unreadable announcements of each kind were last logged, whichever
 * endpoint sent them; shared by the endpoints of a host. */
export type LastLogged = Map<Kind, number>;

/** State for diagnostics; times are ages and durations in milliseconds. */
export interface AnnouncementsDump {
  readonly leavingForMs?: number;
  readonly backoffLeftMs?: number;
  readonly backoffAgeMs?: number;
}

/** The announcements of one incarnation; changed in place. */
export class Announcements {
  #leavingSince = -Infinity;
  #leavingUntil = -Infinity;
  #backoffSince = -Infinity;
  #backoffUntil = -Infinity;
  readonly #loggedAt: LastLogged = new Map();
  readonly #allLoggedAt: LastLogged;

  private constructor(allLoggedAt: LastLogged) {
    this.#allLoggedAt = allLoggedAt;
  }

  static create(allLoggedAt: LastLogged = new Map()): Announcements {
    return new Announcements(allLoggedAt);
  }

  /** Records that it is leaving; returns whether that is new. */
  recordLeaving(now: number): boolean {
    const isNew = !this.isLeaving(now);
    if (isNew) this.#leavingSince = now;
    this.#leavingUntil = now + LEAVING_LIFETIME_MS;
    return isNew;
  }

  /** Records that it asks for no calls for `duration` milliseconds. A shorter
   * backoff does not end one in force. */
  recordBackoff(duration: number, now: number): void {
    const until = now + Math.min(MAX_BACKOFF_MS, duration);
    if (until <= this.#backoffUntil) return;
    this.#backoffSince = now;
    this.#backoffUntil = until;
  }

  /** Records an announcement that cannot be parsed; returns whether it is to be
   * logged. */
  recordUnreadable(kind: Kind, now: number): boolean {
    const since = now - (this.#loggedAt.get(kind) ?? -Infinity);
    const sinceAny = now - (this.#allLoggedAt.get(kind) ?? -Infinity);
    if (since < UNREADABLE_LOG_INTERVAL_MS) return false;
    if (sinceAny < UNREADABLE_LOG_INTERVAL_OF_ALL_MS) return false;
    this.#loggedAt.set(kind, now);
    this.#allLoggedAt.set(kind, now);
    return true;
  }

  /** Whether it is leaving. */
  isLeaving(now: number): boolean {
    return now < this.#leavingUntil;
  }

  /** Whether it has announced neither a departure nor a backoff. */
  get isEmpty(): boolean {
    return this.#leavingUntil === -Infinity &&
      this.#backoffUntil === -Infinity;
  }

  /** Milliseconds until the end of the announced backoff; 0 if there is none. */
  backoff(now: number): number {
    return Math.max(0, this.#backoffUntil - now);
  }

  /** State for diagnostics. */
  dump(now: number): AnnouncementsDump {
    const left = this.backoff(now);
    return {
      ...(this.isLeaving(now) &&
        { leavingForMs: Math.round(now - this.#leavingSince) }),
      ...(left > 0 && {
        backoffLeftMs: Math.round(left),
        backoffAgeMs: Math.round(now - this.#backoffSince),
      }),
    };
  }
}
