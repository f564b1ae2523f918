/** Quarantine on control hosts: merges the crash records of entry hosts,
 * broadcasts changes, refutes records of endpoints that are still alive, and
 * grants leases so that a suspected request, or one with a quarantined part,
 * runs at one endpoint at a time.
 *
 * All control hosts hold the same records. Rendezvous hashing selects the one
 * that grants leases. Nothing is sent while nothing is suspected.
 * @module */

import type * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as codec from "./codec.ts";
import * as standingLogs from "./standing_log.ts";
import type * as suspects from "./suspect.ts";
import * as suspectTables from "./suspect_table.ts";

/** Time for which a change is sent to the other control hosts repeatedly, since
 * messages may be lost. */
const REPEAT_PERIOD_MS = 1500;
/** Retry delay while the request runs elsewhere: about the duration of a short
 * run. */
const RETRY_DELAY_MS = 500;
/** Maximum retry delay. */
const MAX_RETRY_DELAY_MS = 60_000;
/** Time for which a lease remains valid after the deadline of its run, while
 * the report of the run is in transit. */
const LEASE_MARGIN_MS = 500;

/** Options of a `Coordinator`. */
export interface CoordinatorOptions {
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly calls: Pick<peers.Rpc, "cast">;
  /** Heartbeat interval of endpoints, in milliseconds. */
  readonly heartbeat: number;
  /** The other control hosts that are alive. */
  controlHosts(): readonly string[];
  /** Entry hosts that receive their state from this host. */
  entryHosts(): readonly string[];
  /** Time of the last heartbeat of an incarnation of an endpoint; undefined if
   * it is not known. */
  lastHeartbeatAt(endpoint: string): number | undefined;
}

interface Lease {
  readonly host: string;
  readonly endpoint: string;
  readonly until: number;
  /** Whether it is the trial of a quarantined request or part. */
  readonly isTrial: boolean;
}

/** Maintains the suspects of the fleet and grants leases to run them. */
export class Coordinator {
  readonly #options: CoordinatorOptions;
  readonly #table = suspectTables.SuspectTable.create();
  readonly #standings: standingLogs.StandingLog;
  readonly #leases = new Map<string, Lease>();
  /** Recent changes, which are sent repeatedly, and when they were made. */
  #recent: { suspect: suspects.Suspect; at: number }[] = [];

  private constructor(options: CoordinatorOptions) {
    this.#options = options;
    this.#standings = standingLogs.StandingLog.create(options);
  }

  static create(options: CoordinatorOptions): Coordinator {
    return new Coordinator(options);
  }

  /** Merges the records of another host. */
  merge(records: readonly schema.Suspect[]): void {
    const now = this.#options.clock.now();
    this.#broadcast(
      records.map((each) => this.#table.merge(codec.decode(each, now), now)),
    );
  }

  /** Returns the records that have changed since a revision, for a host that
   * requests them. */
  changesSince(revision: number): {
    suspectRevision: number;
    suspects: schema.Suspect[];
  } {
    const now = this.#options.clock.now();
    const suspects = codec.encodeAll(this.#table.changedSince(revision), now);
    return { suspectRevision: this.#table.revision, suspects };
  }

  /** Sends all records to a host, if there are any. */
  sendAll(host: string): void {
    this.#send([host], this.#table.all);
  }

  /** Handles a host's request for a lease to run a suspected request. */
  requestLease(
    { fingerprint, endpoint, remaining }: schema.LeaseQuestion,
    host: string,
  ): schema.LeaseReply {
    const { clock, logger, metrics } = this.#options;
    const now = clock.now();
    const suspect = this.#table.get(fingerprint);
    const standing = this.#table.standingOf(suspect);
    const wait = this.#retryDelay(suspect, now);
    const taken = wait === 0 && this.#isEndpointLeased(endpoint, now);
    const granted = wait === 0 && !taken;
    if (granted) {
      const until = now + remaining + LEASE_MARGIN_MS;
      const isTrial = standing === "quarantined";
      this.#leases.set(fingerprint, { host, endpoint, until, isTrial });
    }
    metrics.count("quarantine.trials", 1, { granted: `${granted}` });
    const { activeCrashes, trials } = suspect;
    const crashes = activeCrashes.length;
    logger.info(
      { fingerprint, host, endpoint, granted, wait, standing, crashes, trials },
      "Lease to run a suspected request handled",
    );
    return {
      type: "lease",
      granted,
      taken,
      wait: Math.min(MAX_RETRY_DELAY_MS, wait),
    };
  }

  /** Ends a lease whose run has ended; it counts as a trial unless no endpoint
   * ran the request. */
  endLease(
    { fingerprint, unused = false }: Omit<schema.LeaseOverNotice, "type">,
    host: string,
  ): void {
    const lease = this.#leases.get(fingerprint);
    if (lease?.host !== host) return;
    this.#leases.delete(fingerprint);
    if (lease.isTrial && !unused) this.#addTrial(fingerprint);
  }

  /** Releases a request from quarantine by an operator's command; returns
   * whether it was suspected. */
  release(fingerprint: string): boolean {
    const now = this.#options.clock.now();
    const suspect = this.#table.get(fingerprint);
    if (suspect.activeCrashes.length === 0) return false;
    this.#options.logger.info(
      { fingerprint },
      "Request released from quarantine by an operator",
    );
    this.#broadcast([this.#table.put(suspect.acquit(), now)]);
    return true;
  }

  /** Refutes crashes of endpoints that are alive, removes expired records and
   * leases, and repeats recent changes. */
  tick(): void {
    const { clock, controlHosts: cores } = this.#options;
    const now = clock.now();
    this.#broadcast(
      this.#table.all.map((suspect) =>
        this.#table.put(
          suspect.refute((crash) => this.#hasHeartbeatSince(crash)),
          now,
        )
      ),
    );
    this.#table.expire(now);
    for (const [fingerprint, { until, isTrial }] of this.#leases) {
      if (until >= now) continue;
      this.#leases.delete(fingerprint);
      if (isTrial) this.#addTrial(fingerprint);
    }
    this.#options.metrics.gauge(
      "quarantine.evicted",
      this.#table.evictedCount,
    );
    this.#recent = this.#recent.filter(({ at }) => now - at < REPEAT_PERIOD_MS);
    this.#send(cores(), this.#recent.map(({ suspect }) => suspect));
  }

  /** State for the state dump. */
  dump(): unknown {
    return codec.encodeAll(this.#table.all, this.#options.clock.now());
  }

  /** Counts a trial, unless the request or part was acquitted by it. */
  #addTrial(fingerprint: string): void {
    const suspect = this.#table.get(fingerprint);
    if (suspect.activeCrashes.length === 0) return;
    const now = this.#options.clock.now();
    this.#broadcast([this.#table.put(suspect.addTrial(), now)]);
  }

  #retryDelay(suspect: suspects.Suspect, now: number): number {
    const lease = this.#leases.get(suspect.fingerprint);
    if (lease !== undefined && lease.until > now) return RETRY_DELAY_MS;
    if (this.#table.standingOf(suspect) !== "quarantined") return 0;
    return Math.max(0, this.#table.nextTrialAt(suspect) - now);
  }

  /** Whether another suspected request runs at an endpoint. If the endpoint
   * crashed, the crash would count against both. */
  #isEndpointLeased(endpoint: string, now: number): boolean {
    return [...this.#leases.values()].some((lease) =>
      lease.endpoint === endpoint && lease.until > now
    );
  }

  /** Whether an endpoint has sent a heartbeat after a recorded crash. A crashed
   * endpoint sends none, but one sent before the crash may arrive up to an
   * interval later. */
  #hasHeartbeatSince({ endpoint, at }: suspects.Crash): boolean {
    const { lastHeartbeatAt, heartbeat } = this.#options;
    const heartbeatAt = lastHeartbeatAt(endpoint);
    return heartbeatAt !== undefined && heartbeatAt > at + heartbeat;
  }

  /** Broadcasts the records that have changed. */
  #broadcast(records: readonly (suspects.Suspect | undefined)[]): void {
    const { clock, controlHosts: cores, entryHosts: followers } = this.#options;
    const changed = records.filter((record) => record !== undefined);
    if (changed.length === 0) return;
    const at = clock.now();
    this.#recent.push(...changed.map((suspect) => ({ suspect, at })));
    this.#send([...cores(), ...followers()], changed);
    changed.filter(({ isPart }) => !isPart)
      .forEach((suspect) => this.#logChange(suspect));
    this.#standings.update(this.#table);
  }

  #logChange(
    { fingerprint, standing, activeCrashes, acquittals, trials }:
      suspects.Suspect,
  ) {
    const { logger, metrics } = this.#options;
    metrics.count("quarantine.changes", 1, { standing });
    const endpoints = activeCrashes.map(({ endpoint }) => endpoint);
    logger.info(
      { fingerprint, standing, endpoints, acquittals, trials },
      "Record of a suspected request changed",
    );
  }

  #send(
    hosts: readonly string[],
    records: readonly suspects.Suspect[],
  ): void {
    if (records.length === 0) return;
    const { calls, clock } = this.#options;
    const suspects = codec.encodeAll(records, clock.now());
    const notice = { type: "suspects" as const, suspects };
    hosts.forEach((host) => calls.cast(host, notice));
  }
}
