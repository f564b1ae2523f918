/** History of the software versions of each service, as one control host
 * reports them to entry hosts.
 * @module */

/** Time without an observation after which the history starts anew: endpoints
 * that came and went meanwhile may be missing from later observations. */
const MAX_GAP_MS = 10_000;

/** An endpoint that was seen, in whatever state. */
export interface SeenEndpoint {
  readonly service: string;
  readonly version: string;
}

/** Versions that a host has seen of a service. */
export interface SeenVersions {
  /** Distinct; an empty one stands for an unknown version. */
  readonly versions: string[];
  /** Whether the host has observed endpoints for the whole period. */
  readonly isComplete: boolean;
}

/** When each version was last seen; changed in place. */
export class VersionHistory {
  readonly #lastSeen = new Map<string, Map<string, number>>();
  #observedSince = Infinity;
  #observedAt = -Infinity;

  static create(): VersionHistory {
    return new VersionHistory();
  }

  /** Records endpoints that are known at present. All of them are due every few
   * seconds. */
  observe(endpoints: Iterable<SeenEndpoint>, now: number): void {
    if (now - this.#observedAt > MAX_GAP_MS) this.#observedSince = now;
    this.#observedAt = now;
    for (const { service, version } of endpoints) {
      const versions = this.#lastSeen.get(service) ?? new Map();
      this.#lastSeen.set(service, versions.set(version, now));
    }
  }

  /** The versions that endpoints of a service have had in the last `period`
   * milliseconds. */
  versionsOf(
    service: string,
    { now, period }: { now: number; period: number },
  ): SeenVersions {
    const versions = [...this.#lastSeen.get(service) ?? []]
      .filter(([, at]) => now - at < period)
      .map(([version]) => version);
    return { versions, isComplete: now - this.#observedSince >= period };
  }
}
