/** What is known of one request that may crash the endpoints that run it.
 *
 * A connection that breaks may be a crash, a cut or a reset, so each break
 * counts until its endpoint is heard again in the same incarnation. What ran
 * beside a poison request breaks with it; a run that ends well acquits.
 * @module */

/** Crashes after which a request is kept from endpoints. */
export const QUARANTINE_CRASH_COUNT = 3;
/** Crashes after which it runs at one endpoint at a time. */
const SUSPECTED = QUARANTINE_CRASH_COUNT - 1;

/** A call that broke as if its endpoint had crashed. */
export interface Crash {
  /** One incarnation of it. */
  readonly endpoint: string;
  /** Milliseconds of the clock of the host that holds it. */
  readonly at: number;
  /** Whether the endpoint was heard again: it had not crashed. */
  readonly isRefuted: boolean;
}

/** How far a request is to be trusted. */
export type Standing = "free" | "suspected" | "quarantined";

/** What a record holds. */
export interface SuspectFields {
  readonly fingerprint: string;
  /** One for each endpoint, in the order of their names. */
  readonly crashes: readonly Crash[];
  /** Times that it ended well or an operator released it. What was held against
   * it before an acquittal is forgotten. */
  readonly acquittals: number;
  /** Times that it was let run after its quarantine had begun. */
  readonly trials: number;
}

/** An immutable record. Those of one request merge in any order to the same. */
export class Suspect implements SuspectFields {
  readonly fingerprint: string;
  readonly crashes: readonly Crash[];
  readonly acquittals: number;
  readonly trials: number;

  private constructor(fields: SuspectFields) {
    this.fingerprint = fields.fingerprint;
    this.crashes = fields.crashes;
    this.acquittals = fields.acquittals;
    this.trials = fields.trials;
  }

  /** A request of which nothing is known. */
  static create(fingerprint: string): Suspect {
    return new Suspect({ fingerprint, crashes: [], acquittals: 0, trials: 0 });
  }

  /** With what another host tells. */
  static of(fields: SuspectFields): Suspect {
    return new Suspect(fields);
  }

  /** Crashes that speak against it. */
  get activeCrashes(): readonly Crash[] {
    return this.crashes.filter(({ isRefuted }) => !isRefuted);
  }

  get standing(): Standing {
    const { length } = this.activeCrashes;
    if (length >= QUARANTINE_CRASH_COUNT) return "quarantined";
    return length >= SUSPECTED ? "suspected" : "free";
  }

  /** When an endpoint last crashed under it; endless before any did. */
  get lastCrashAt(): number {
    return Math.max(...this.activeCrashes.map(({ at }) => at));
  }

  /** Adds a crash of an endpoint under it. */
  addCrash(endpoint: string, at: number): Suspect {
    const crashes = [{ endpoint, at, isRefuted: false }];
    return this.merge(new Suspect({ ...this.#fields, crashes }));
  }

  /** Notes which endpoints were heard since they seemed to crash. */
  refute(wasHeard: (crash: Crash) => boolean): Suspect {
    const crashes = this.crashes.map((crash) => ({
      ...crash,
      isRefuted: crash.isRefuted || wasHeard(crash),
    }));
    return new Suspect({ ...this.#fields, crashes });
  }

  /** Forgets crashes before `before` that were refuted. */
  prune(before: number): Suspect {
    const crashes = this.crashes.filter(({ isRefuted, at }) =>
      !isRefuted || at >= before
    );
    return new Suspect({ ...this.#fields, crashes });
  }

  /** Forgets what was held against it. */
  acquit(): Suspect {
    const acquittals = this.acquittals + 1;
    return new Suspect({
      ...this.#fields,
      crashes: [],
      acquittals,
      trials: 0,
    });
  }

  /** Notes that it is let run once more. */
  addTrial(): Suspect {
    return new Suspect({ ...this.#fields, trials: this.trials + 1 });
  }

  /** What both know. */
  merge(other: Suspect): Suspect {
    if (this.acquittals !== other.acquittals) {
      return this.acquittals > other.acquittals ? this : other;
    }
    const crashes = new Map(this.crashes.map((each) => [each.endpoint, each]));
    for (const crash of other.crashes) {
      const known = crashes.get(crash.endpoint);
      crashes.set(crash.endpoint, known ? mergeCrashes(known, crash) : crash);
    }
    return new Suspect({
      ...this.#fields,
      crashes: [...crashes.values()].sort((one, another) =>
        one.endpoint < another.endpoint ? -1 : 1
      ),
      trials: Math.max(this.trials, other.trials),
    });
  }

  /** Whether another record says the same. Times, which drift by the way of
   * messages, do not count. */
  equals(other: Suspect): boolean {
    return textOf(this) === textOf(other);
  }

  get #fields(): SuspectFields {
    const { fingerprint, crashes, acquittals, trials } = this;
    return { fingerprint, crashes, acquittals, trials };
  }
}

function mergeCrashes(one: Crash, other: Crash): Crash {
  return {
    endpoint: one.endpoint,
    at: Math.min(one.at, other.at),
    isRefuted: one.isRefuted || other.isRefuted,
  };
}

function textOf({ crashes, acquittals, trials }: Suspect): string {
  const told = crashes.map(({ endpoint, isRefuted }) => [endpoint, isRefuted]);
  return JSON.stringify([told, acquittals, trials]);
}
