/** What a host with a disk does about requests that crash endpoints: it merges
 * what entry hosts have seen, tells all hosts at once, refutes breaks that were
 * no crashes, and lets a suspected request run at one endpoint at a time.
 *
 * All of them hold the same; one of them, the same for all hosts that know the
 * same, grants runs. Without a suspect nothing is sent.
 * @module */

import type * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as codec from "./codec.ts";
import * as suspects from "./suspect.ts";
import * as suspectTables from "./suspect_table.ts";

/** Milliseconds for which a change is told to the other hosts with disks again:
 * a message may be lost. */
const AGAIN = 1500;
/** Milliseconds after which to ask again while the request runs elsewhere:
 * about a short run. */
const WAIT = 500;
/** Most milliseconds that an asker is told to wait. */
const LONGEST_WAIT = 60_000;
/** Milliseconds after the deadline of a run for which its lease still holds:
 * its report is under way. */
const MARGIN = 500;

/** What a coordinator needs of its host. */
export interface CoordinatorOptions {
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly calls: Pick<peers.Rpc, "cast">;
  /** Milliseconds between the heartbeats of an endpoint. */
  readonly heartbeat: number;
  /** The other hosts with disks that are there. */
  cores(): readonly string[];
  /** Entry hosts that follow this host. */
  followers(): readonly string[];
  /** When an incarnation of an endpoint was last heard, if it is known. */
  lastHeartbeatAt(endpoint: string): number | undefined;
}

interface Lease {
  readonly host: string;
  readonly endpoint: string;
  readonly until: number;
}

/** Keeps the suspects of the fleet. */
export class Coordinator {
  readonly #options: CoordinatorOptions;
  readonly #table = suspectTables.SuspectTable.create();
  readonly #leases = new Map<string, Lease>();
  /** Changes that are told again, and when they came. */
  #recent: { suspect: suspects.Suspect; at: number }[] = [];

  private constructor(options: CoordinatorOptions) {
    this.#options = options;
  }

  static create(options: CoordinatorOptions): Coordinator {
    return new Coordinator(options);
  }

  /** Takes what another host knows. */
  merge(told: readonly schema.Suspect[]): void {
    const now = this.#options.clock.now();
    this.#announce(
      told.map((each) => this.#table.merge(codec.decode(each, now), now)),
    );
  }

  /** What has changed since a revision, for a host that asks. */
  changesSince(revision: number): {
    suspectRevision: number;
    suspects: schema.Suspect[];
  } {
    const now = this.#options.clock.now();
    const suspects = codec.encodeAll(this.#table.changedSince(revision), now);
    return { suspectRevision: this.#table.revision, suspects };
  }

  /** Tells a host everything, where there is anything. */
  sendAll(host: string): void {
    this.#tell([host], this.#table.all);
  }

  /** Judges whether a host may run a suspected request now. */
  requestLease(
    { fingerprint, endpoint, remaining }: schema.LeaseQuestion,
    host: string,
  ): schema.LeaseReply {
    const { clock, logger, metrics } = this.#options;
    const now = clock.now();
    const suspect = this.#table.get(fingerprint);
    const wait = this.#waitFor(suspect, now);
    const taken = wait === 0 && this.#isTaken(endpoint, now);
    const granted = wait === 0 && !taken;
    if (granted) {
      const until = now + remaining + MARGIN;
      this.#leases.set(fingerprint, { host, endpoint, until });
      if (suspect.standing === "quarantined") {
        this.#announce([this.#table.put(suspect.addTrial(), now)]);
      }
    }
    metrics.count("quarantine.trials", 1, { granted: `${granted}` });
    const { standing, activeCrashes: counted, trials } = suspect;
    const crashes = counted.length;
    logger.info(
      { fingerprint, host, endpoint, granted, wait, standing, crashes, trials },
      "Run of a suspected request asked for",
    );
    return {
      type: "lease",
      granted,
      taken,
      wait: Math.min(LONGEST_WAIT, wait),
    };
  }

  /** Notes that a run under a lease has ended. */
  endLease(fingerprint: string, host: string): void {
    if (this.#leases.get(fingerprint)?.host !== host) return;
    this.#leases.delete(fingerprint);
  }

  /** Releases a request by an operator's order; returns whether it was known. */
  release(fingerprint: string): boolean {
    const now = this.#options.clock.now();
    const suspect = this.#table.get(fingerprint);
    if (suspect.activeCrashes.length === 0) return false;
    this.#options.logger.info({ fingerprint }, "Request released by operator");
    this.#announce([this.#table.put(suspect.acquit(), now)]);
    return true;
  }

  /** Refutes, forgets, and tells again what may not have arrived. */
  tick(): void {
    const { clock, cores } = this.#options;
    const now = clock.now();
    this.#announce(
      this.#table.all.map((suspect) =>
        this.#table.put(suspect.refute((each) => this.#wasHeard(each)), now)
      ),
    );
    this.#table.expire(now);
    for (const [fingerprint, { until }] of this.#leases) {
      if (until < now) this.#leases.delete(fingerprint);
    }
    this.#recent = this.#recent.filter(({ at }) => now - at < AGAIN);
    this.#tell(cores(), this.#recent.map(({ suspect }) => suspect));
  }

  /** State for people. */
  dump(): unknown {
    return codec.encodeAll(this.#table.all, this.#options.clock.now());
  }

  #waitFor(suspect: suspects.Suspect, now: number): number {
    const lease = this.#leases.get(suspect.fingerprint);
    if (lease !== undefined && lease.until > now) return WAIT;
    if (suspect.standing !== "quarantined") return 0;
    return Math.max(0, this.#table.nextTrialAt(suspect) - now);
  }

  /** Whether another suspected request runs at an endpoint: if it crashed, each
   * would speak against the other. */
  #isTaken(endpoint: string, now: number): boolean {
    return [...this.#leases.values()].some((lease) =>
      lease.endpoint === endpoint && lease.until > now
    );
  }

  /** An endpoint that crashed says nothing more; a heartbeat that it had sent
   * before may still be on its way. */
  #wasHeard({ endpoint, at }: suspects.Crash): boolean {
    const { lastHeartbeatAt: heardAt, heartbeat } = this.#options;
    const heard = heardAt(endpoint);
    return heard !== undefined && heard > at + heartbeat;
  }

  /** Tells all hosts of the changes that are news. */
  #announce(changes: readonly (suspects.Suspect | undefined)[]): void {
    const { clock, cores, followers } = this.#options;
    const news = changes.filter((change) => change !== undefined);
    if (news.length === 0) return;
    const at = clock.now();
    this.#recent.push(...news.map((suspect) => ({ suspect, at })));
    this.#tell([...cores(), ...followers()], news);
    news.forEach((suspect) => this.#log(suspect));
  }

  #log(
    { fingerprint, standing, activeCrashes: counted, acquittals, trials }:
      suspects.Suspect,
  ) {
    const { logger, metrics } = this.#options;
    metrics.count("quarantine.changes", 1, { standing });
    const endpoints = counted.map(({ endpoint }) => endpoint);
    logger.info(
      { fingerprint, standing, endpoints, acquittals, trials },
      "Suspected request changed",
    );
  }

  #tell(
    hosts: readonly string[],
    told: readonly suspects.Suspect[],
  ): void {
    if (told.length === 0) return;
    const { calls, clock } = this.#options;
    const suspects = codec.encodeAll(told, clock.now());
    const notice = { type: "suspects" as const, suspects };
    hosts.forEach((host) => calls.cast(host, notice));
  }
}
