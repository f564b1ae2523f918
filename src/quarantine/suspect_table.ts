/** Requests that may crash endpoints, as one host knows them.
 * @module */

import * as suspects from "./suspect.ts";

/** Milliseconds after its last crash for which a request is remembered. */
const MEMORY = 3_600_000;
/** Milliseconds for which one is remembered that nothing speaks against: longer
 * than any late word against it is under way. */
const SHORT_MEMORY = 60_000;
/** Most requests that are remembered, and how many of them go at once when
 * there are more. */
const MOST = 4096;
const DROPPED = 512;
/** Milliseconds from the last crash until a quarantined request is tried once
 * more, doubled by each trial: endpoints may have been mended. */
const REST = 300_000;
/** The same for the first trial of one that may be innocent, since others
 * crashed with it: it is tried soon. */
const AMBIGUOUS_REST = 5000;
/** Crashes of its own, with no other quarantined request there, from which a
 * request is not ambiguous: one may be a crash for another reason. */
const OWN_CRASHES = 2;
/** The same for the first trial of one that has ended well before. Once it is
 * acquitted, who crashed with it needs no trial. */
const ACQUITTED_REST = 1000;
/** Trials of one request at the most: after its quarantine has begun it must
 * reach no more than three endpoints, also where two hosts let it run at
 * once. */
const TRIALS = 2;

interface Entry {
  readonly suspect: suspects.Suspect;
  readonly revision: number;
  readonly changedAt: number;
}

/** A bounded table of suspects; changed in place. */
export class SuspectTable {
  readonly #entries = new Map<string, Entry>();
  #revision = 0;
  /** Entries that something speaks against. */
  #counted = 0;

  static create(): SuspectTable {
    return new SuspectTable();
  }

  /** Grows with each change. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether no request is under any suspicion. */
  get hasNoSuspects(): boolean {
    return this.#counted === 0;
  }

  get all(): suspects.Suspect[] {
    return [...this.#entries.values()].map(({ suspect }) => suspect);
  }

  get(fingerprint: string): suspects.Suspect {
    return this.#entries.get(fingerprint)?.suspect ??
      suspects.Suspect.create(fingerprint);
  }

  /** Takes what a host knows; returns the merged record where that is news. */
  merge(told: suspects.Suspect, now: number): suspects.Suspect | undefined {
    return this.put(this.get(told.fingerprint).merge(told), now);
  }

  /** Replaces a record; returns it where it says something else than before. */
  put(next: suspects.Suspect, now: number): suspects.Suspect | undefined {
    const known = this.get(next.fingerprint);
    if (known.equals(next)) return undefined;
    this.#counted += weightOf(next) - weightOf(known);
    this.#entries.set(next.fingerprint, {
      suspect: next,
      revision: ++this.#revision,
      changedAt: now,
    });
    if (this.#entries.size > MOST) this.#dropLeast();
    return next;
  }

  /** What has changed after a revision. */
  changedSince(revision: number): suspects.Suspect[] {
    return [...this.#entries.values()]
      .filter((entry) => entry.revision > revision)
      .map(({ suspect }) => suspect);
  }

  /** Forgets what is long ago. */
  expire(now: number): void {
    for (const [fingerprint, entry] of [...this.#entries]) {
      const { suspect, changedAt } = entry;
      const memory = weightOf(suspect) > 0 ? MEMORY : SHORT_MEMORY;
      if (now - changedAt > memory) this.#drop(suspect);
      else if (suspect.crashes.length > suspect.activeCrashes.length) {
        const pruned = suspect.prune(now - SHORT_MEMORY);
        this.#entries.set(fingerprint, { ...entry, suspect: pruned });
      }
    }
  }

  /** When a quarantined request is let run once more; endless where it is
   * not. */
  nextTrialAt(suspect: suspects.Suspect): number {
    const { trials, lastCrashAt: lastAt, acquittals } = suspect;
    if (trials >= TRIALS) return Infinity;
    if (trials > 0) return lastAt + REST * 2 ** trials;
    if (acquittals > 0) return lastAt + ACQUITTED_REST;
    return lastAt + (this.#isAmbiguous(suspect) ? AMBIGUOUS_REST : REST);
  }

  /** Whether its crashes may be those of other quarantined requests. */
  #isAmbiguous(suspect: suspects.Suspect): boolean {
    const others = this.all.filter(({ fingerprint, standing }) =>
      fingerprint !== suspect.fingerprint && standing === "quarantined"
    );
    const crashed = new Set(
      others.flatMap(({ activeCrashes: counted }) =>
        counted.map(({ endpoint }) => endpoint)
      ),
    );
    const own = suspect.activeCrashes.filter(({ endpoint }) =>
      !crashed.has(endpoint)
    );
    return own.length < OWN_CRASHES;
  }

  /** Drops what is least suspected, of these the oldest. */
  #dropLeast(): void {
    const ranked = [...this.#entries.values()]
      .map((entry) => ({
        ...entry,
        weight: entry.suspect.activeCrashes.length,
      }))
      .sort((one, other) =>
        one.weight - other.weight || one.changedAt - other.changedAt
      );
    ranked.slice(0, DROPPED).forEach(({ suspect }) => this.#drop(suspect));
  }

  #drop(suspect: suspects.Suspect): void {
    this.#counted -= weightOf(suspect);
    this.#entries.delete(suspect.fingerprint);
  }
}

function weightOf({ activeCrashes: counted }: suspects.Suspect): number {
  return counted.length > 0 ? 1 : 0;
}
