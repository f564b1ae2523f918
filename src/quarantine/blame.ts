/** Which suspects are to blame for crashes.
 *
 * A crash breaks all calls that run at the endpoint, so it counts against each
 * request there and each part of its prompt. A quarantined part explains the
 * crashes that it was in, which then no longer count against the others. Records
 * without a success are blamed first, since a poison part never has one; among
 * these the one with the most crashes, and a request before a part, since it
 * keeps fewer requests from endpoints.
 * @module */

import * as suspects from "./suspect.ts";

/** The blame that follows from some records. Immutable. */
export class Blame {
  /** Quarantined records, with the crashes that count against them. */
  readonly #quarantined = new Map<string, suspects.Suspect>();
  /** Endpoints whose crashes quarantined parts explain. */
  readonly #explainedByParts = new Set<string>();
  /** The same for quarantined parts and requests. */
  readonly #explained = new Set<string>();

  private constructor(all: readonly suspects.Suspect[]) {
    const candidates = all.filter((suspect) =>
      suspect.crashes.length >= suspects.QUARANTINE_CRASH_COUNT &&
      suspect.standing === "quarantined"
    );
    for (const candidate of candidates.sort(compareBlame)) {
      const rest = this.#withoutExplained(candidate);
      if (rest.standing !== "quarantined") continue;
      this.#quarantined.set(candidate.fingerprint, rest);
      for (const { endpoint } of candidate.activeCrashes) {
        this.#explained.add(endpoint);
        if (candidate.isPart) this.#explainedByParts.add(endpoint);
      }
    }
  }

  static of(all: readonly suspects.Suspect[]): Blame {
    return new Blame(all);
  }

  /** The record with the crashes that count against it. */
  remainderOf(suspect: suspects.Suspect): suspects.Suspect {
    return this.#quarantined.get(suspect.fingerprint) ??
      this.#withoutExplained(suspect);
  }

  standingOf(suspect: suspects.Suspect): suspects.Standing {
    return this.remainderOf(suspect).standing;
  }

  /** Fingerprints of the quarantined requests and parts. */
  get quarantined(): readonly string[] {
    return [...this.#quarantined.keys()];
  }

  #withoutExplained(suspect: suspects.Suspect): suspects.Suspect {
    return suspect.without(
      suspect.isPart ? this.#explained : this.#explainedByParts,
    );
  }
}

function compareBlame(one: suspects.Suspect, other: suspects.Suspect): number {
  return Math.sign(one.acquittals) - Math.sign(other.acquittals) ||
    other.activeCrashes.length - one.activeCrashes.length ||
    Number(one.isPart) - Number(other.isPart) ||
    (one.fingerprint < other.fingerprint ? -1 : 1);
}
