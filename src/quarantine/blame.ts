/** Which prompt parts are to blame for crashes.
 *
 * A crash breaks all calls that run at the endpoint, so it counts against each
 * part of their prompts. The crashes of a quarantined part are explained by it and
 * no longer count against others. Parts with the fewest answers are blamed first:
 * a poison part has none, and what many requests share has the most. Among these
 * the one with the most crashes comes first.
 *
 * Requests are not excused: one that crashes endpoints by itself would go free
 * with each poison part that runs beside it.
 * @module */

import * as suspects from "./suspect.ts";

/** Crashes that a part may be in beyond those of another part with fewer answers,
 * which is then blamed for it: they may have other causes. */
const MAX_CRASHES_APART = 1;

/** The blame that follows from some records. Immutable. */
export class Blame {
  /** Fingerprints of the quarantined parts. */
  readonly #quarantined = new Set<string>();
  /** Endpoints whose crashes these explain. */
  readonly #explained = new Set<string>();

  private constructor(all: readonly suspects.Suspect[]) {
    const candidates = all.filter(({ isPart, activeCrashes }) =>
      isPart && activeCrashes.length >= suspects.QUARANTINE_CRASH_COUNT
    ).sort(compareBlame);
    candidates.forEach((candidate, pos) => {
      const { length } = candidate.without(this.#explained).activeCrashes;
      if (length < suspects.QUARANTINE_CRASH_COUNT) return;
      const isToBlame = isQuarantined(candidate) ||
        candidates.slice(pos + 1).some((other) =>
          isQuarantined(other) && covers(candidate, other)
        );
      if (isToBlame) this.#blame(candidate);
    });
  }

  static of(all: readonly suspects.Suspect[]): Blame {
    return new Blame(all);
  }

  standingOf(suspect: suspects.Suspect): suspects.Standing {
    if (!suspect.isPart) return suspect.standing;
    return this.#quarantined.has(suspect.fingerprint) ? "quarantined" : "free";
  }

  /** Fingerprints of the quarantined parts. */
  get quarantinedParts(): ReadonlySet<string> {
    return this.#quarantined;
  }

  #blame({ fingerprint, activeCrashes }: suspects.Suspect): void {
    this.#quarantined.add(fingerprint);
    activeCrashes.forEach(({ endpoint }) => this.#explained.add(endpoint));
  }
}

function isQuarantined({ standing }: suspects.Suspect): boolean {
  return standing === "quarantined";
}

/** Whether a part was in nearly all crashes of another one. */
function covers(part: suspects.Suspect, other: suspects.Suspect): boolean {
  const endpoints = new Set(
    part.activeCrashes.map(({ endpoint }) => endpoint),
  );
  const { length } = other.without(endpoints).activeCrashes;
  return length <= MAX_CRASHES_APART;
}

function compareBlame(one: suspects.Suspect, other: suspects.Suspect): number {
  return one.answers - other.answers ||
    other.activeCrashes.length - one.activeCrashes.length ||
    (one.fingerprint < other.fingerprint ? -1 : 1);
}
