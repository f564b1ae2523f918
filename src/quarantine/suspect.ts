/** Crash record of one request, or of one prompt part that requests share.
 *
 * A connection that breaks may be due to a crash, a partition or a reset, so
 * each break counts as a crash until the endpoint sends a heartbeat in the same
 * incarnation. Requests that run beside the cause of a crash break with it; a
 * run that succeeds acquits its request and the parts of its prompt.
 * @module */

import * as fingerprints from "./fingerprint.ts";

/** Number of crashes from which a request or a part is quarantined. */
export const QUARANTINE_CRASH_COUNT = 3;
/** The same for a part that endpoints have written answers on. */
const ANSWERED_PART_CRASH_COUNT = 5;
/** Number of crashes from which a request runs at one endpoint at a time. */
const SUSPECT_CRASH_COUNT = QUARANTINE_CRASH_COUNT - 1;

/** A call that broke as if its endpoint had crashed. */
export interface Crash {
  /** Identifies one incarnation of the endpoint. */
  readonly endpoint: string;
  /** Time on the clock of the host that holds the record, in milliseconds. */
  readonly at: number;
  /** Whether the endpoint has sent a heartbeat since, and so had not
   * crashed. */
  readonly isRefuted: boolean;
}

/** Whether a request may run without limits, under a lease, or only as a
 * trial. */
export type Standing = "free" | "suspected" | "quarantined";

/** Fields of a record. */
export interface SuspectFields {
  readonly fingerprint: string;
  /** At most one per endpoint, sorted by endpoint. */
  readonly crashes: readonly Crash[];
  /** Number of times that it succeeded or was released by an operator. Crashes
   * before an acquittal do not count. */
  readonly acquittals: number;
  /** Number of times that it was run after its quarantine had begun. */
  readonly trials: number;
  /** Most whole answers on the part that any host remembers; 0 for a request. */
  readonly answers: number;
}

/** The crash record of one request or part. Immutable; merging is commutative,
 * associative and idempotent. */
export class Suspect implements SuspectFields {
  readonly fingerprint: string;
  readonly crashes: readonly Crash[];
  readonly acquittals: number;
  readonly trials: number;
  readonly answers: number;

  private constructor(fields: SuspectFields) {
    this.fingerprint = fields.fingerprint;
    this.crashes = fields.crashes;
    this.acquittals = fields.acquittals;
    this.trials = fields.trials;
    this.answers = fields.answers;
  }

  /** An empty record. */
  static create(fingerprint: string): Suspect {
    return new Suspect({
      fingerprint,
      crashes: [],
      acquittals: 0,
      trials: 0,
      answers: 0,
    });
  }

  /** A record with the given fields. */
  static of(fields: SuspectFields): Suspect {
    return new Suspect(fields);
  }

  /** Crashes that are not refuted. */
  get activeCrashes(): readonly Crash[] {
    return this.crashes.filter(({ isRefuted }) => !isRefuted);
  }

  /** Whether it is the record of a prompt part. */
  get isPart(): boolean {
    return fingerprints.isOfPart(this.fingerprint);
  }

  /** Whether it has ever succeeded. */
  get hasSucceeded(): boolean {
    return this.acquittals > 0 || this.answers > 0;
  }

  /** Standing by its crashes. A part is never suspected: a lease would serialize
   * all requests that share it. */
  get standing(): Standing {
    const { length } = this.activeCrashes;
    const quarantineCount = this.isPart && this.hasSucceeded
      ? ANSWERED_PART_CRASH_COUNT
      : QUARANTINE_CRASH_COUNT;
    if (length >= quarantineCount) return "quarantined";
    if (this.isPart) return "free";
    return length >= SUSPECT_CRASH_COUNT ? "suspected" : "free";
  }

  /** Time of the last active crash; -Infinity without one. */
  get lastCrashAt(): number {
    return Math.max(...this.activeCrashes.map(({ at }) => at));
  }

  /** Adds a crash of an endpoint. */
  addCrash(endpoint: string, at: number): Suspect {
    const crashes = [{ endpoint, at, isRefuted: false }];
    return this.merge(new Suspect({ ...this.#fields, crashes }));
  }

  /** Removes the crashes of some endpoints. */
  without(endpoints: ReadonlySet<string>): Suspect {
    const crashes = this.crashes.filter(({ endpoint }) =>
      !endpoints.has(endpoint)
    );
    return crashes.length === this.crashes.length
      ? this
      : new Suspect({ ...this.#fields, crashes });
  }

  /** Refutes the crashes whose endpoints have sent a heartbeat since. */
  refute(isAlive: (crash: Crash) => boolean): Suspect {
    if (!this.activeCrashes.some(isAlive)) return this;
    const crashes = this.crashes.map((crash) => ({
      ...crash,
      isRefuted: crash.isRefuted || isAlive(crash),
    }));
    return new Suspect({ ...this.#fields, crashes });
  }

  /** Removes refuted crashes before `before`. */
  prune(before: number): Suspect {
    const crashes = this.crashes.filter(({ isRefuted, at }) =>
      !isRefuted || at >= before
    );
    return new Suspect({ ...this.#fields, crashes });
  }

  /** Removes all trials and the crashes before a time, and counts an acquittal if
   * there are any. A run shows nothing of crashes after it began. */
  acquit(before = Infinity): Suspect {
    if (this.activeCrashes.every(({ at }) => at >= before)) return this;
    return new Suspect({
      ...this.#fields,
      crashes: this.crashes.filter(({ at }) => at >= before),
      acquittals: this.acquittals + 1,
      trials: 0,
    });
  }

  /** Counts a trial. */
  addTrial(): Suspect {
    return new Suspect({ ...this.#fields, trials: this.trials + 1 });
  }

  /** Raises the number of answers to one that a host remembers. */
  raiseAnswers(answers: number): Suspect {
    return answers <= this.answers
      ? this
      : new Suspect({ ...this.#fields, answers });
  }

  /** Merges two records of the same request or part. */
  merge(other: Suspect): Suspect {
    const answers = Math.max(this.answers, other.answers);
    if (this.acquittals !== other.acquittals) {
      const newer = this.acquittals > other.acquittals ? this : other;
      return newer.raiseAnswers(answers);
    }
    const crashes = new Map(this.crashes.map((each) => [each.endpoint, each]));
    for (const crash of other.crashes) {
      const existing = crashes.get(crash.endpoint);
      crashes.set(
        crash.endpoint,
        existing ? mergeCrashes(existing, crash) : crash,
      );
    }
    return new Suspect({
      ...this.#fields,
      crashes: [...crashes.values()].sort((one, another) =>
        one.endpoint < another.endpoint ? -1 : 1
      ),
      trials: Math.max(this.trials, other.trials),
      answers,
    });
  }

  /** Whether another record is equal, apart from times, which change in
   * transit. */
  equals(other: Suspect): boolean {
    return comparableText(this) === comparableText(other);
  }

  get #fields(): SuspectFields {
    const { fingerprint, crashes, acquittals, trials, answers } = this;
    return { fingerprint, crashes, acquittals, trials, answers };
  }
}

function mergeCrashes(one: Crash, other: Crash): Crash {
  return {
    endpoint: one.endpoint,
    at: Math.min(one.at, other.at),
    isRefuted: one.isRefuted || other.isRefuted,
  };
}

function comparableText(
  { crashes, acquittals, trials, answers }: Suspect,
): string {
  const entries = crashes.map((
    { endpoint, isRefuted },
  ) => [endpoint, isRefuted]);
  return JSON.stringify([entries, acquittals, trials, answers]);
}
