/** Quarantine on entry hosts: reports calls that broke as if the endpoint had
 * crashed, and checks before each call whether the request may run.
 * @module */

import type * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import * as rendezvous from "../routing/rendezvous.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as answeredParts from "./answered_parts.ts";
import * as codec from "./codec.ts";
import type * as identities from "./identity.ts";
import * as standingLogs from "./standing_log.ts";
import type * as suspects from "./suspect.ts";
import * as suspectTables from "./suspect_table.ts";

/** Time over which reports are collected: all calls at an endpoint break at
 * once when it crashes. */
const REPORT_DELAY_MS = 10;
/** Retry delay of a report that no control host has acknowledged. */
const REPORT_RETRY_MS = 1000;
/** Timeout of calls to a control host: several times the usual duration. */
const CALL_TIMEOUT_MS = 250;
/** Number of control hosts that are tried in turn. */
const MAX_HOSTS_TRIED = 2;
/** Retry delay if no control host responds. */
const NO_RESPONSE_RETRY_MS = 1000;

/** Retry delay if other suspected requests run at all endpoints. */
const TAKEN_RETRY_MS = 500;
/** How much longer a part waits for its trial by a request that has another part
 * with crashes: it may crash the endpoint for that one. */
const UNCLEAR_TRIAL_DELAY_MS = 5000;
/** How long after its trial has begun a part is expected to be known as good:
 * callers that return earlier are refused again. */
const TRIAL_DURATION_MS = 1000;
/** Rendezvous key that selects the control host which grants leases. */
const LEASE_OWNER_KEY = "grants of runs";

/** Why a request may not run now. */
export interface Refusal {
  /** Milliseconds after which it may be retried. */
  readonly wait: number;
  /** Number of endpoints that are known to have crashed while running it. */
  readonly crashes: number;
  /** Fingerprint of the request or part for which it is refused. */
  readonly suspect: string;
}

/** Whether a request may run at an endpoint. */
export type Admission =
  | { type: "admitted" }
  /** Not at this one, where another suspected request runs. */
  | { type: "taken" } & Refusal
  | { type: "refused" } & Refusal;

/** A run of a request, for which a lease may be needed. */
export interface LeaseRequest {
  readonly identity: identities.Identity;
  /** Incarnation of the endpoint that is to run it. */
  readonly endpoint: string;
  /** Milliseconds until it ends at the latest. */
  readonly remaining: number;
}

/** Options of a `Guard`. */
export interface GuardOptions {
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly calls: Pick<peers.Rpc, "ask" | "cast">;
  /** Control hosts, the one that responded last before the others. */
  controlHosts(): readonly string[];
}

/** A lease that this host holds. */
interface HeldLease {
  /** Control host that granted it. */
  readonly owner: string;
  /** Identity of the request that runs under it. */
  readonly holder: identities.Identity;
}

/** Admits requests to endpoints and reports crashes. */
export class Guard {
  readonly #options: GuardOptions;
  readonly #table = suspectTables.SuspectTable.create();
  readonly #answered = answeredParts.AnsweredParts.create();
  readonly #standings: standingLogs.StandingLog;
  /** Leases by the fingerprint that they were granted for. */
  readonly #leases = new Map<string, HeldLease>();
  #unreported = new Set<string>();

  private constructor(options: GuardOptions) {
    this.#options = options;
    this.#standings = standingLogs.StandingLog.create(options);
  }

  static create(options: GuardOptions): Guard {
    return new Guard(options);
  }

  /** Whether no request or part has active crashes, so that fingerprints need
   * not be computed. */
  get hasNoSuspects(): boolean {
    return this.#table.hasNoSuspects;
  }

  /** Why a request may not run now, as far as this host knows; undefined if it
   * may. */
  refusal(identity: identities.Identity): Refusal | undefined {
    if (this.hasNoSuspects) return undefined;
    return this.#worstRefusal(this.#suspectsOf(identity), identity);
  }

  /** Checks a request before a call. A suspected request needs a lease, so that
   * it runs at one endpoint at a time. */
  async admit(
    { identity, endpoint, remaining }: LeaseRequest,
  ): Promise<Admission> {
    if (this.hasNoSuspects) return ADMITTED;
    const held = this.#suspectsOf(identity);
    const refusal = this.#worstRefusal(held, identity);
    if (refusal !== undefined) return { type: "refused", ...refusal };
    const suspect = this.#leasedOf(held);
    if (suspect === undefined) return ADMITTED;
    const { fingerprint } = suspect;
    // A lease covers a single run, even if this host has two requests with this
    // fingerprint.
    if (this.#leases.has(fingerprint)) {
      return refused(suspect, NO_RESPONSE_RETRY_MS);
    }
    const { controlHosts: cores, logger } = this.#options;
    const owners = rendezvous.rank(LEASE_OWNER_KEY, cores()).slice(
      0,
      MAX_HOSTS_TRIED,
    );
    for (const owner of owners) {
      try {
        const { granted, taken, wait } = await this.#requestLease(owner, {
          type: "lease",
          fingerprint,
          endpoint,
          remaining: Math.max(0, Math.round(remaining)),
        });
        if (taken) {
          return { type: "taken", ...refusalOf(suspect, TAKEN_RETRY_MS) };
        }
        if (!granted) return refused(suspect, wait);
        this.#leases.set(fingerprint, { owner, holder: identity });
        return ADMITTED;
      } catch (error) {
        const reason = `${error}`;
        logger.info(
          { owner, fingerprint, reason },
          "Control host did not answer a lease request; trying the next one",
        );
      }
    }
    return refused(suspect, NO_RESPONSE_RETRY_MS);
  }

  /** Records that a call broke as if its endpoint had crashed. */
  recordCrash(identity: identities.Identity, endpoint: string): void {
    const { clock, logger, metrics } = this.#options;
    const now = clock.now();
    const records = this.#recordsOf(identity).map((suspect) =>
      suspect.raiseAnswers(this.#answered.countOf(suspect.fingerprint))
        .addCrash(endpoint, now)
    );
    records.forEach((record) => this.#update(record));
    metrics.count("quarantine.breaks");
    const { fingerprint, standing, activeCrashes } = records[0];
    const crashes = activeCrashes.length;
    const { parts } = identity;
    logger.info(
      { fingerprint, parts, endpoint, crashes, standing },
      "Call broke as if the request had crashed its endpoint",
    );
    this.#standings.update(this.#table);
    this.#endLeases(identity, records);
  }

  /** Records that an endpoint has run a request without crashing. The answer
   * acquits the parts of the prompt of crashes before the run, and only if it is
   * whole. */
  recordSuccess(
    identity: identities.Identity,
    { isWhole, startedAt }: { isWhole: boolean; startedAt: number },
  ): void {
    if (isWhole) this.#answered.add(identity.parts);
    if (this.hasNoSuspects) return this.#endLeases(identity);
    const acquitted = this.#recordsOf(identity)
      .filter(({ isPart, activeCrashes }) =>
        activeCrashes.length > 0 && (isWhole || !isPart)
      )
      .map((suspect) => suspect.acquit(suspect.isPart ? startedAt : Infinity));
    acquitted.forEach((suspect) => this.#update(suspect));
    this.#standings.update(this.#table);
    this.#endLeases(identity, acquitted);
  }

  /** Ends the lease of a run that shows neither a crash nor a success; `isUnused`
   * if no endpoint ran the request. */
  endRun(
    identity: identities.Identity,
    { isUnused }: { isUnused: boolean },
  ): void {
    this.#endLeases(identity, [], { isUnused });
  }

  /** Merges the records of a control host. */
  merge(records: readonly schema.Suspect[]): void {
    const now = this.#options.clock.now();
    for (const record of records) {
      const merged = this.#table.merge(codec.decode(record, now), now);
      if (merged !== undefined) this.#vouchFor(merged);
    }
    this.#table.expire(now);
    this.#standings.update(this.#table);
  }

  /** Sends all records to a control host, which may have restarted and lost
   * them. */
  async sendAll(core: string): Promise<void> {
    if (this.hasNoSuspects) return;
    const { all } = this.#table;
    const isAcknowledged = await this.#reportTo([core], all);
    const fingerprints = all.map(({ fingerprint }) => fingerprint);
    if (!isAcknowledged) this.#scheduleReport(fingerprints, REPORT_RETRY_MS);
  }

  /** State for the state dump. */
  dump(): unknown {
    return codec.encodeAll(this.#table.all, this.#options.clock.now());
  }

  #recordsOf(identity: identities.Identity): suspects.Suspect[] {
    return identity.all.map((fingerprint) => this.#table.get(fingerprint));
  }

  /** Suspected or quarantined records of a request. */
  #suspectsOf(identity: identities.Identity): suspects.Suspect[] {
    return this.#recordsOf(identity)
      .filter((suspect) => this.#table.standingOf(suspect) !== "free");
  }

  /** The refusal that lasts longest, of those for each suspect. */
  #worstRefusal(
    held: readonly suspects.Suspect[],
    identity: identities.Identity,
  ): Refusal | undefined {
    return held.map((suspect) => this.#refusalOf(suspect, identity))
      .filter((refusal) => refusal !== undefined)
      .sort((one, other) => other.wait - one.wait)[0];
  }

  #refusalOf(
    suspect: suspects.Suspect,
    identity: identities.Identity,
  ): Refusal | undefined {
    if (this.#table.standingOf(suspect) !== "quarantined") return undefined;
    const delay = suspect.isPart && this.#hasOtherCrashes(suspect, identity)
      ? UNCLEAR_TRIAL_DELAY_MS
      : 0;
    const wait = this.#table.nextTrialAt(suspect) + delay -
      this.#options.clock.now();
    if (wait <= 0) return undefined;
    const duration = suspect.isPart ? TRIAL_DURATION_MS : 0;
    return refusalOf(suspect, wait + duration);
  }

  /** Whether another part of a request has active crashes. */
  #hasOtherCrashes(
    { fingerprint }: suspects.Suspect,
    { parts }: identities.Identity,
  ): boolean {
    return parts.some((part) =>
      part !== fingerprint && this.#table.get(part).activeCrashes.length > 0
    );
  }

  /** The record for which a request needs a lease: a trial of a quarantined one
   * comes first. */
  #leasedOf(
    held: readonly suspects.Suspect[],
  ): suspects.Suspect | undefined {
    return held.find((suspect) =>
      this.#table.standingOf(suspect) === "quarantined"
    ) ?? held[0];
  }

  /** Adds what this host remembers of answers on a part, if no host has yet. */
  #vouchFor(suspect: suspects.Suspect): void {
    const answers = this.#answered.countOf(suspect.fingerprint);
    if (suspect.answers > 0 || answers === 0) return;
    this.#update(suspect.raiseAnswers(answers));
  }

  #update(suspect: suspects.Suspect): void {
    const { clock } = this.#options;
    const changed = this.#table.put(suspect, clock.now());
    if (changed !== undefined) {
      this.#scheduleReport([suspect.fingerprint], REPORT_DELAY_MS);
    }
  }

  #scheduleReport(fingerprints: readonly string[], delay: number): void {
    const { clock } = this.#options;
    if (this.#unreported.size === 0) {
      clock.after(delay, () => void this.#reportPending());
    }
    fingerprints.forEach((each) => this.#unreported.add(each));
  }

  async #reportPending(): Promise<void> {
    const fingerprints = [...this.#unreported];
    this.#unreported = new Set();
    const records = fingerprints.map((each) => this.#table.get(each));
    const isAcknowledged = await this.#reportTo(
      this.#options.controlHosts(),
      records,
    );
    // After a partition, the crashes that were recorded meanwhile still have to
    // be reported.
    if (!isAcknowledged) this.#scheduleReport(fingerprints, REPORT_RETRY_MS);
  }

  /** Sends records to the first of the control hosts that acknowledges them,
   * which forwards them to the others; resolves with whether one did. */
  async #reportTo(
    cores: readonly string[],
    records: readonly suspects.Suspect[],
  ): Promise<boolean> {
    const { calls, clock, logger } = this.#options;
    const question = {
      type: "suspects" as const,
      suspects: codec.encodeAll(records, clock.now()),
    };
    for (const core of cores) {
      try {
        const reply = await calls.ask(core, question, {
          timeout: CALL_TIMEOUT_MS,
        });
        if (reply.type === "noted") return true;
        logger.info(
          { core, reason: reply.type },
          "Control host did not take a report of suspects",
        );
      } catch (error) {
        logger.info(
          { core, reason: `${error}` },
          "Control host did not take a report of suspects",
        );
      }
    }
    return false;
  }

  async #requestLease(
    owner: string,
    question: schema.LeaseQuestion,
  ): Promise<schema.LeaseReply> {
    const { calls } = this.#options;
    const reply = await calls.ask(owner, question, {
      timeout: CALL_TIMEOUT_MS,
    });
    if (reply.type !== "lease") {
      throw new Error(`expected reply "lease", got "${reply.type}"`);
    }
    return reply;
  }

  /** Ends the leases of a request's run; the outcome is sent before, so that it
   * is known when the next lease is granted. */
  #endLeases(
    identity: identities.Identity,
    outcome: readonly suspects.Suspect[] = [],
    { isUnused = false } = {},
  ): void {
    const { calls, clock } = this.#options;
    for (const [fingerprint, { owner, holder }] of this.#leases) {
      if (holder !== identity) continue;
      this.#leases.delete(fingerprint);
      if (outcome.length > 0) {
        const suspects = codec.encodeAll(outcome, clock.now());
        calls.cast(owner, { type: "suspects", suspects });
      }
      calls.cast(owner, {
        type: "lease-over",
        fingerprint,
        ...(isUnused && { unused: true }),
      });
    }
  }
}

const ADMITTED: Admission = { type: "admitted" };

function refused(suspect: suspects.Suspect, wait: number): Admission {
  return { type: "refused", ...refusalOf(suspect, wait) };
}

function refusalOf(
  { fingerprint, activeCrashes }: suspects.Suspect,
  wait: number,
): Refusal {
  return { wait, crashes: activeCrashes.length, suspect: fingerprint };
}
