/** The suspected requests and prompt parts that one host knows.
 * @module */

import * as blames from "./blame.ts";
import * as suspects from "./suspect.ts";

/** Time after its last change for which a record with active crashes is
 * kept. */
const RETENTION_MS = 3_600_000;
/** Time for which a record without active crashes is kept: longer than a
 * delayed report of a crash is in transit. */
const INACTIVE_RETENTION_MS = 60_000;
/** Maximum number of records, and how many are evicted at once when there are
 * more. */
const MAX_ENTRIES = 4096;
const EVICTION_COUNT = 512;
/** Time from the last crash to the first trial of a quarantined request: the
 * endpoints may have been fixed meanwhile. */
const TRIAL_DELAY_MS = 300_000;
/** First trial of a request that may be innocent, since other quarantined
 * requests or parts ran at the same endpoints, and of a part, which keeps many
 * requests from endpoints. */
const AMBIGUOUS_TRIAL_DELAY_MS = 5000;
/** Number of crashes without another quarantined request from which a request
 * is not ambiguous. A single one may have another cause. */
const MIN_OWN_CRASHES = 2;
/** First trial of a request that has succeeded before. Once it is acquitted,
 * the requests that ran beside it need no trial. */
const ACQUITTED_TRIAL_DELAY_MS = 1000;
/** Time from the last crash to a second trial, and to a third one of a part that
 * has succeeded before. */
const LAST_TRIAL_DELAY_MS = 2 * TRIAL_DELAY_MS;

interface Entry {
  readonly suspect: suspects.Suspect;
  readonly revision: number;
  readonly changedAt: number;
}

/** A bounded table of suspects. Mutable. */
export class SuspectTable {
  readonly #entries = new Map<string, Entry>();
  #revision = 0;
  /** Number of entries with active crashes. */
  #activeCount = 0;
  #evictedCount = 0;
  #blame?: blames.Blame;

  static create(): SuspectTable {
    return new SuspectTable();
  }

  /** Increases with each change. */
  get revision(): number {
    return this.#revision;
  }

  /** Number of records evicted from a full table. */
  get evictedCount(): number {
    return this.#evictedCount;
  }

  /** Whether no request has active crashes. */
  get hasNoSuspects(): boolean {
    return this.#activeCount === 0;
  }

  get all(): suspects.Suspect[] {
    return [...this.#entries.values()].map(({ suspect }) => suspect);
  }

  get(fingerprint: string): suspects.Suspect {
    return this.#entries.get(fingerprint)?.suspect ??
      suspects.Suspect.create(fingerprint);
  }

  /** Standings of parts, derived from all records. */
  get blame(): blames.Blame {
    return this.#blame ??= blames.Blame.of(this.all);
  }

  standingOf(suspect: suspects.Suspect): suspects.Standing {
    return this.blame.standingOf(suspect);
  }

  /** Merges the record of another host; returns the merged record if it has
   * changed. */
  merge(record: suspects.Suspect, now: number): suspects.Suspect | undefined {
    return this.put(this.get(record.fingerprint).merge(record), now);
  }

  /** Replaces a record; returns it if it differs from the previous one. */
  put(next: suspects.Suspect, now: number): suspects.Suspect | undefined {
    const previous = this.get(next.fingerprint);
    if (previous.equals(next)) return undefined;
    this.#activeCount += weightOf(next) - weightOf(previous);
    this.#blame = undefined;
    this.#entries.set(next.fingerprint, {
      suspect: next,
      revision: ++this.#revision,
      changedAt: now,
    });
    if (this.#entries.size > MAX_ENTRIES) this.#evict();
    return next;
  }

  /** Records that have changed after a revision. */
  changedSince(revision: number): suspects.Suspect[] {
    return [...this.#entries.values()]
      .filter((entry) => entry.revision > revision)
      .map(({ suspect }) => suspect);
  }

  /** Removes expired records and old refuted crashes. */
  expire(now: number): void {
    for (const [fingerprint, entry] of [...this.#entries]) {
      const { suspect, changedAt } = entry;
      const retention = weightOf(suspect) > 0
        ? RETENTION_MS
        : INACTIVE_RETENTION_MS;
      if (now - changedAt > retention) this.#remove(suspect);
      else if (suspect.crashes.length > suspect.activeCrashes.length) {
        const pruned = suspect.prune(now - INACTIVE_RETENTION_MS);
        this.#entries.set(fingerprint, { ...entry, suspect: pruned });
      }
    }
  }

  /** Time of the next trial of a quarantined record; infinite if there is
   * none. */
  nextTrialAt(suspect: suspects.Suspect): number {
    const { trials, lastCrashAt } = suspect;
    return lastCrashAt + (this.#trialDelays(suspect)[trials] ?? Infinity);
  }

  /** Times from the last crash to the first trial, the second, and so on. There
   * are at most three: after its quarantine has begun a record must cost few
   * endpoints. */
  #trialDelays(suspect: suspects.Suspect): readonly number[] {
    const { hasSucceeded, isPart } = suspect;
    if (hasSucceeded) {
      const second = isPart ? [AMBIGUOUS_TRIAL_DELAY_MS] : [];
      return [ACQUITTED_TRIAL_DELAY_MS, ...second, LAST_TRIAL_DELAY_MS];
    }
    const isTriedSoon = isPart || this.#isAmbiguous(suspect);
    const first = isTriedSoon ? AMBIGUOUS_TRIAL_DELAY_MS : TRIAL_DELAY_MS;
    return [first, LAST_TRIAL_DELAY_MS];
  }

  /** Whether its crashes may have been caused by other quarantined requests or
   * parts. */
  #isAmbiguous(suspect: suspects.Suspect): boolean {
    const others = this.all.filter((other) =>
      other.fingerprint !== suspect.fingerprint &&
      this.standingOf(other) === "quarantined"
    );
    const sharedEndpoints = new Set(
      others.flatMap(({ activeCrashes }) =>
        activeCrashes.map(({ endpoint }) => endpoint)
      ),
    );
    const ownCrashes = suspect.activeCrashes.filter(({ endpoint }) =>
      !sharedEndpoints.has(endpoint)
    );
    return ownCrashes.length < MIN_OWN_CRASHES;
  }

  /** Evicts the records with the fewest active crashes, the oldest of them
   * first. */
  #evict(): void {
    const ranked = [...this.#entries.values()]
      .map((entry) => ({
        ...entry,
        weight: entry.suspect.activeCrashes.length,
      }))
      .sort((one, other) =>
        one.weight - other.weight || one.changedAt - other.changedAt
      );
    const evicted = ranked.slice(0, EVICTION_COUNT);
    evicted.forEach(({ suspect }) => this.#remove(suspect));
    this.#evictedCount += evicted.length;
  }

  #remove(suspect: suspects.Suspect): void {
    this.#activeCount -= weightOf(suspect);
    this.#entries.delete(suspect.fingerprint);
    this.#blame = undefined;
  }
}

function weightOf({ activeCrashes }: suspects.Suspect): number {
  return activeCrashes.length > 0 ? 1 : 0;
}
