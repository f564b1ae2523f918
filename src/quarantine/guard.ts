/** What an entry host does about requests that crash endpoints: it reports what
 * breaks under its calls and, before each call, keeps a request that is known
 * to crash endpoints from them.
 * @module */

import type * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import * as rendezvous from "../routing/rendezvous.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as codec from "./codec.ts";
import type * as suspects from "./suspect.ts";
import * as suspectTables from "./suspect_table.ts";

/** Milliseconds over which reports gather: all calls at an endpoint break at
 * once. */
const GATHER = 10;
/** Milliseconds after which what no host has taken is reported again. */
const AGAIN = 1000;
/** Milliseconds in which a host with a disk answers: some times what it
 * takes. */
const PATIENCE = 250;
/** Hosts with disks that are asked in turn. */
const ASKED = 2;
/** Milliseconds after which a caller may come again where none answers. */
const UNANSWERED_WAIT = 1000;

/** Milliseconds after which a request may be asked for again where others run at
 * all endpoints. */
const TAKEN_WAIT = 500;
/** What decides which host with a disk grants runs. */
const GRANTS = "grants of runs";

/** Why a request can't run now. */
export interface Refusal {
  /** Milliseconds after which it may be asked for again. */
  readonly wait: number;
  /** Endpoints that have crashed under it, as far as is known. */
  readonly crashes: number;
}

/** Whether a request may go to an endpoint. */
export type Admission =
  | { type: "admitted" }
  /** Not to this one, where another suspected request runs. */
  | { type: "taken" } & Refusal
  | { type: "refused" } & Refusal;

/** A run that is asked for. */
export interface LeaseRequest {
  readonly fingerprint: string;
  /** Incarnation of the endpoint that is to run it. */
  readonly endpoint: string;
  /** Milliseconds within which it ends. */
  readonly remaining: number;
}

/** What a guard needs of its host. */
export interface GuardOptions {
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly calls: Pick<peers.Rpc, "ask" | "cast">;
  /** Hosts with disks, the one that answered last before the others. */
  cores(): readonly string[];
}

/** Keeps requests from endpoints that would crash under them. */
export class Guard {
  readonly #options: GuardOptions;
  readonly #table = suspectTables.SuspectTable.create();
  /** Requests that run under a lease, and who granted it. */
  readonly #leases = new Map<string, string>();
  #untold = new Set<string>();

  private constructor(options: GuardOptions) {
    this.#options = options;
  }

  static create(options: GuardOptions): Guard {
    return new Guard(options);
  }

  /** Whether no request is suspected: none needs to be identified. */
  get hasNoSuspects(): boolean {
    return this.#table.hasNoSuspects;
  }

  /** Why a request can't run now, as far as this host knows by itself. */
  refusal(fingerprint: string): Refusal | undefined {
    const suspect = this.#table.get(fingerprint);
    if (suspect.standing !== "quarantined") return undefined;
    const wait = this.#table.nextTrialAt(suspect) - this.#options.clock.now();
    if (wait <= 0) return undefined;
    return refusalOf(suspect, wait);
  }

  /** Judges a request before a call. A suspected one needs a lease, so that it
   * runs at one endpoint at a time. */
  async admit(
    { fingerprint, endpoint, remaining }: LeaseRequest,
  ): Promise<Admission> {
    const suspect = this.#table.get(fingerprint);
    if (suspect.standing === "free") return ADMITTED;
    const refusal = this.refusal(fingerprint);
    if (refusal !== undefined) return { type: "refused", ...refusal };
    // One lease is for one run, also of two requests of this host.
    if (this.#leases.has(fingerprint)) {
      return refused(suspect, UNANSWERED_WAIT);
    }
    const { cores, logger } = this.#options;
    const owners = rendezvous.rank(GRANTS, cores()).slice(0, ASKED);
    for (const owner of owners) {
      try {
        const { granted, taken, wait } = await this.#ask(owner, {
          type: "lease",
          fingerprint,
          endpoint,
          remaining: Math.max(0, Math.round(remaining)),
        });
        if (taken) {
          return { type: "taken", ...refusalOf(suspect, TAKEN_WAIT) };
        }
        if (!granted) return refused(suspect, wait);
        this.#leases.set(fingerprint, owner);
        return ADMITTED;
      } catch (error) {
        const reason = `${error}`;
        logger.info(
          { owner, fingerprint, reason },
          "Lease to run not answered",
        );
      }
    }
    return refused(suspect, UNANSWERED_WAIT);
  }

  /** Notes that a call broke as if its endpoint had crashed. */
  recordCrash(fingerprint: string, endpoint: string): void {
    const { clock, logger, metrics } = this.#options;
    const now = clock.now();
    const suspect = this.#table.get(fingerprint).addCrash(endpoint, now);
    this.#put(suspect);
    metrics.count("quarantine.breaks");
    const { standing, activeCrashes: counted } = suspect;
    const crashes = counted.length;
    logger.info(
      { fingerprint, endpoint, crashes, standing },
      "Endpoint may have crashed under a request",
    );
    this.#endLease(fingerprint, suspect);
  }

  /** Notes that an endpoint has run a request and lives. */
  recordSuccess(fingerprint: string): void {
    const suspect = this.#table.get(fingerprint);
    if (suspect.activeCrashes.length === 0) return;
    const acquitted = suspect.acquit();
    this.#put(acquitted);
    this.#endLease(fingerprint, acquitted);
  }

  /** Notes that a run has ended, and says nothing. */
  endRun(fingerprint: string): void {
    this.#endLease(fingerprint);
  }

  /** Takes what a host with a disk knows. */
  merge(told: readonly schema.Suspect[]): void {
    const now = this.#options.clock.now();
    for (const each of told) {
      this.#table.merge(codec.decode(each, now), now);
    }
    this.#table.expire(now);
  }

  /** Tells a host with a disk all: it may have started since. */
  async sendAll(core: string): Promise<void> {
    if (this.hasNoSuspects) return;
    const { all } = this.#table;
    const isTold = await this.#report([core], all);
    const fingerprints = all.map(({ fingerprint }) => fingerprint);
    if (!isTold) this.#tellSoon(fingerprints, AGAIN);
  }

  /** State for people. */
  dump(): unknown {
    return codec.encodeAll(this.#table.all, this.#options.clock.now());
  }

  #put(suspect: suspects.Suspect): void {
    const { clock } = this.#options;
    const news = this.#table.put(suspect, clock.now());
    if (news !== undefined) this.#tellSoon([suspect.fingerprint], GATHER);
  }

  #tellSoon(fingerprints: readonly string[], delay: number): void {
    const { clock } = this.#options;
    if (this.#untold.size === 0) clock.after(delay, () => void this.#tell());
    fingerprints.forEach((each) => this.#untold.add(each));
  }

  async #tell(): Promise<void> {
    const fingerprints = [...this.#untold];
    this.#untold = new Set();
    const told = fingerprints.map((each) => this.#table.get(each));
    const isTold = await this.#report(this.#options.cores(), told);
    // A host that is cut off has to tell what it has seen meanwhile.
    if (!isTold) this.#tellSoon(fingerprints, AGAIN);
  }

  /** Tells the first of some hosts that answers; it tells the others. Resolves
   * with whether one did. */
  async #report(
    cores: readonly string[],
    told: readonly suspects.Suspect[],
  ): Promise<boolean> {
    const { calls, clock, logger } = this.#options;
    const question = {
      type: "suspects" as const,
      suspects: codec.encodeAll(told, clock.now()),
    };
    for (const core of cores) {
      try {
        const reply = await calls.ask(core, question, { timeout: PATIENCE });
        if (reply.type === "noted") return true;
        logger.info({ core, reason: reply.type }, "Suspects not taken");
      } catch (error) {
        logger.info({ core, reason: `${error}` }, "Suspects not taken");
      }
    }
    return false;
  }

  async #ask(
    owner: string,
    question: schema.LeaseQuestion,
  ): Promise<schema.LeaseReply> {
    const { calls } = this.#options;
    const reply = await calls.ask(owner, question, { timeout: PATIENCE });
    if (reply.type !== "lease") throw new Error(`answered ${reply.type}`);
    return reply;
  }

  /** Gives a lease back, behind what its run has shown. */
  #endLease(fingerprint: string, shown?: suspects.Suspect): void {
    const owner = this.#leases.get(fingerprint);
    if (owner === undefined) return;
    this.#leases.delete(fingerprint);
    const { calls, clock } = this.#options;
    if (shown !== undefined) {
      const suspects = codec.encodeAll([shown], clock.now());
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
  { activeCrashes: counted }: suspects.Suspect,
  wait: number,
): Refusal {
  return { wait, crashes: counted.length };
}
