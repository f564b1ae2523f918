/** Quarantine on entry hosts: reports calls that broke as if the endpoint had
 * crashed, and checks before each call whether the request may run.
 * @module */

import type * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import * as rendezvous from "../routing/rendezvous.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as codec from "./codec.ts";
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
/** Rendezvous key that selects the control host which grants leases. */
const LEASE_OWNER_KEY = "grants of runs";

/** Why a request may not run now. */
export interface Refusal {
  /** Milliseconds after which it may be retried. */
  readonly wait: number;
  /** Number of endpoints that are known to have crashed while running it. */
  readonly crashes: number;
}

/** Whether a request may run at an endpoint. */
export type Admission =
  | { type: "admitted" }
  /** Not at this one, where another suspected request runs. */
  | { type: "taken" } & Refusal
  | { type: "refused" } & Refusal;

/** A run of a request, for which a lease may be needed. */
export interface LeaseRequest {
  readonly fingerprint: string;
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

/** Admits requests to endpoints and reports crashes. */
export class Guard {
  readonly #options: GuardOptions;
  readonly #table = suspectTables.SuspectTable.create();
  /** Fingerprints of requests that run under a lease, with the control host
   * that granted it. */
  readonly #leases = new Map<string, string>();
  #unreported = new Set<string>();

  private constructor(options: GuardOptions) {
    this.#options = options;
  }

  static create(options: GuardOptions): Guard {
    return new Guard(options);
  }

  /** Whether no request has active crashes, so that fingerprints need not be
   * computed. */
  get hasNoSuspects(): boolean {
    return this.#table.hasNoSuspects;
  }

  /** Why a request may not run now, as far as this host knows; undefined if it
   * may. */
  refusal(fingerprint: string): Refusal | undefined {
    const suspect = this.#table.get(fingerprint);
    if (suspect.standing !== "quarantined") return undefined;
    const wait = this.#table.nextTrialAt(suspect) - this.#options.clock.now();
    if (wait <= 0) return undefined;
    return refusalOf(suspect, wait);
  }

  /** Checks a request before a call. A suspected request needs a lease, so that
   * it runs at one endpoint at a time. */
  async admit(
    { fingerprint, endpoint, remaining }: LeaseRequest,
  ): Promise<Admission> {
    const suspect = this.#table.get(fingerprint);
    if (suspect.standing === "free") return ADMITTED;
    const refusal = this.refusal(fingerprint);
    if (refusal !== undefined) return { type: "refused", ...refusal };
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
        this.#leases.set(fingerprint, owner);
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
  recordCrash(fingerprint: string, endpoint: string): void {
    const { clock, logger, metrics } = this.#options;
    const now = clock.now();
    const suspect = this.#table.get(fingerprint).addCrash(endpoint, now);
    this.#update(suspect);
    metrics.count("quarantine.breaks");
    const { standing, activeCrashes } = suspect;
    const crashes = activeCrashes.length;
    logger.info(
      { fingerprint, endpoint, crashes, standing },
      "Call broke as if the request had crashed its endpoint",
    );
    this.#endLease(fingerprint, suspect);
  }

  /** Records that an endpoint has run a request without crashing. */
  recordSuccess(fingerprint: string): void {
    const suspect = this.#table.get(fingerprint);
    if (suspect.activeCrashes.length === 0) return;
    const acquitted = suspect.acquit();
    this.#update(acquitted);
    this.#endLease(fingerprint, acquitted);
  }

  /** Ends the lease of a run that shows neither a crash nor a success. */
  endRun(fingerprint: string): void {
    this.#endLease(fingerprint);
  }

  /** Merges the records of a control host. */
  merge(records: readonly schema.Suspect[]): void {
    const now = this.#options.clock.now();
    for (const record of records) {
      this.#table.merge(codec.decode(record, now), now);
    }
    this.#table.expire(now);
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

  /** Ends a lease; the outcome of its run is sent before, so that it is known
   * when the next lease is granted. */
  #endLease(fingerprint: string, outcome?: suspects.Suspect): void {
    const owner = this.#leases.get(fingerprint);
    if (owner === undefined) return;
    this.#leases.delete(fingerprint);
    const { calls, clock } = this.#options;
    if (outcome !== undefined) {
      const suspects = codec.encodeAll([outcome], clock.now());
      calls.cast(owner, { type: "suspects", suspects });
    }
    calls.cast(owner, { type: "lease-over", fingerprint });
  }
}

const ADMITTED: Admission = { type: "admitted" };

function refused(suspect: suspects.Suspect, wait: number): Admission {
  return { type: "refused", ...refusalOf(suspect, wait) };
}

function refusalOf(
  { activeCrashes }: suspects.Suspect,
  wait: number,
): Refusal {
  return { wait, crashes: activeCrashes.length };
}
