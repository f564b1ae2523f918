/** History of the software versions of each service, as one host observes them.
 * @module */

/** Time without an observation after which the history starts anew: endpoints
 * that came and went meanwhile may be missing from later observations. */
const MAX_GAP_MS = 10_000;

/** An endpoint that was seen, in whatever state. */
export interface SeenEndpoint {
  readonly service: string;
  readonly version: string;
}

/** When each version was last seen; changed in place. */
export class VersionHistory {
  readonly #lastSeen = new Map<string, Map<string, number>>();
  #observedSince = Infinity;
  #observedAt = -Infinity;

  static create(): VersionHistory {
    return new VersionHistory();
  }

  /** Records all endpoints that are known at present. */
  observe(endpoints: Iterable<SeenEndpoint>, now: number): void {
    if (now - this.#observedAt > MAX_GAP_MS) this.#observedSince = now;
    this.#observedAt = now;
    for (const { service, version } of endpoints) {
      const versions = this.#lastSeen.get(service) ?? new Map();
      this.#lastSeen.set(service, versions.set(version, now));
    }
  }

  /** The version that all endpoints of a service have had for `period`
   * milliseconds; undefined if there were several, one of them is unknown, or
   * the history is shorter. */
  onlyVersion(
    service: string,
    { now, period }: { now: number; period: number },
  ): string | undefined {
    if (now - this.#observedSince < period) return undefined;
    const seen = [...this.#lastSeen.get(service) ?? []]
      .filter(([, at]) => now - at < period)
      .map(([version]) => version);
    return seen.length === 1 && seen[0] !== "" ? seen[0] : undefined;
  }
}
