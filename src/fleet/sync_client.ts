/** Client of an entry host that polls the control hosts for changes of
 * configuration, endpoints and hosts. A reply that a quorum has confirmed
 * proves that the host's configuration is current.
 * @module */

import * as evacuations from "../control/versions/evacuations.ts";
import * as endpoints from "../endpoints/mod.ts";
import type * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as controlHostDirectory from "./control_host_directory.ts";
import * as elapsedTime from "./elapsed_time.ts";
import * as reportedEndpoints from "./reported_endpoints.ts";
import * as rosterCodec from "./roster_codec.ts";

/** Poll interval. Drains and new configurations must reach every host within
 * two seconds, even when one control host does not respond. */
export const SYNC_INTERVAL_MS = 600;
/** Poll interval until the first confirmed reply; shorter, since a host rejects
 * all requests until then. */
const INITIAL_SYNC_INTERVAL_MS = 150;
/** Delay after which the next control host is polled as well: several times the
 * usual response time, which includes a quorum round trip. */
const HEDGE_DELAY_MS = 300;
/** Timeout of a sync request; later replies are too old to be of use. */
const TIMEOUT_MS = 900;
/** How long silent and removed endpoints are retained. Longer than any delayed
 * report can take, so that such a report does not bring one back. */
const RETENTION_MS = 60_000;

/** Least interval between log lines about missing confirmation. */
const LOG_INTERVAL_MS = 1000;

/** Maximum number of endpoints in a log line. */
const MAX_LOGGED = 20;

/** Requests the full state. */
const NO_REVISION = { epoch: "", revision: 0, suspectRevision: 0 };

/** Dependencies of a sync client. */
export interface SyncClientOptions {
  self: string;
  dataCentre: string;
  seeds: readonly string[];
  clock: runtime.Clock;
  random: runtime.Random;
  calls: Pick<peers.Rpc, "ask">;
  logger: telemetry.Logger;
  isReady(): boolean;
  /** Processor capacity of this host, in cores; absent if it announces none. */
  readonly capacity?: number;
  /** Whether the configuration that was applied last has a service. */
  isKnownService(service: string): boolean;
  /** A newer configuration than any before has arrived. */
  onVersion(version: number, document: string): void;
  /** Replies come from another control host, or from a restarted one, which has
   * no reports of this host yet. */
  onNewSource(controlHost: string): void;
  /** Suspects have arrived: requests that may crash endpoints. */
  onSuspects(suspects: readonly schema.Suspect[]): void;
  /** Rate limits that endpoints have announced have arrived. */
  onLimits(limits: readonly schema.EndpointLimit[]): void;
  /** Observations of slowness since the last call. */
  takeSlowness(): schema.SlownessReport[];
  /** Estimates of slowness from all hosts' observations have arrived. They
   * follow `onChange`, which makes their endpoints known. */
  onSlowness(estimates: readonly schema.SlownessReport[]): void;
  /** A reply has told which services are under contention. */
  onContended(services: readonly string[]): void;
  /** Endpoints or hosts may have changed. */
  onChange(): void;
}

/** Syncs with the control hosts. */
export class SyncClient {
  readonly roster: endpoints.Roster;
  readonly #options: SyncClientOptions;
  #revision = NO_REVISION;
  readonly #reported = reportedEndpoints.ReportedEndpoints.create();
  readonly #directory: controlHostDirectory.ControlHostDirectory;
  /** Why hosts gave no confirmed reply in this round. */
  #failures = new Map<string, string>();
  #loggedAt = -Infinity;
  #hosts: readonly schema.EntryHost[] = [];
  #hostsDigest = "";
  #version = 0;
  #provedAt?: elapsedTime.Instant;
  #source?: string;
  #evacuations = evacuations.Evacuations.NONE;
  #stopped = false;

  private constructor(options: SyncClientOptions) {
    this.#options = options;
    this.roster = endpoints.Roster.create({
      silenceTimeoutMs: Infinity,
      retentionMs: RETENTION_MS,
      isKnownService: options.isKnownService,
    });
    this.#directory = controlHostDirectory.ControlHostDirectory.create(
      options.seeds,
    );
  }

  static create(options: SyncClientOptions): SyncClient {
    return new SyncClient(options);
  }

  /** Starts to poll. */
  start(): void {
    void this.#poll();
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Replaces the seeds after a reload of the settings. */
  setSeeds(seeds: readonly string[]): void {
    this.#directory.setSeeds(seeds);
  }

  /** Milliseconds since the current configuration was last proved to be the
   * newest; infinite before the first confirmed reply. */
  get proofAge(): number {
    if (this.#provedAt === undefined) return Infinity;
    return elapsedTime.elapsedSince(this.#provedAt, this.#options.clock);
  }

  /** Evacuations, confirmed together with the configuration. */
  get evacuations(): evacuations.Evacuations {
    return this.#evacuations;
  }

  /** Entry hosts in the last confirmed list. */
  get hosts(): readonly schema.EntryHost[] {
    return this.#hosts;
  }

  /** Present control hosts, starting with the one that is in use. */
  get controlHosts(): readonly string[] {
    const { current } = this.#directory;
    const others = current.filter((host) => host !== this.#source);
    return this.#source === undefined ? others : [this.#source, ...others];
  }

  /** Control hosts that may have reported endpoints to entry hosts of late. */
  get reportingHosts(): readonly string[] {
    return this.#directory.listed;
  }

  /** Diagnostic state, for operators. */
  dump(): unknown {
    return {
      version: this.#version,
      proofAgeMs: Math.round(this.proofAge),
      source: this.#source,
      cores: this.#directory.all,
      evacuations: this.#evacuations.list,
      hosts: this.#hosts,
      endpoints: [...this.roster.entries],
    };
  }

  async #poll(): Promise<void> {
    const { clock } = this.#options;
    if (this.#stopped) return;
    const started = clock.now();
    this.#failures.clear();
    const isConfirmed = await this.#syncWithAny();
    if (!isConfirmed) this.#logFailures();
    this.roster.expire(clock.now());
    const elapsed = clock.now() - started;
    const interval = this.#provedAt === undefined
      ? INITIAL_SYNC_INTERVAL_MS
      : SYNC_INTERVAL_MS;
    clock.after(Math.max(20, interval - elapsed), () => void this.#poll());
  }

  /** Polls control hosts one after the other, hedging to the next when one is
   * slow, including hosts that replies list. Resolves with true at the first
   * confirmed reply, and with false when all hosts have failed. */
  #syncWithAny(): Promise<boolean> {
    const { clock, random } = this.#options;
    const tried = new Set<string>();
    return new Promise((resolve) => {
      let pending = 0;
      let isDone = false;
      let cancelHedge: runtime.Cancel = () => {};
      const tryNext = () => {
        cancelHedge();
        if (isDone) return;
        const controlHost = this.#directory.inOrderOfPreference(
          this.#source,
          random,
        )
          .find((each) => !tried.has(each));
        if (controlHost === undefined) {
          if (pending === 0) resolve(false);
          return;
        }
        tried.add(controlHost);
        pending++;
        cancelHedge = clock.after(HEDGE_DELAY_MS, tryNext);
        void this.#sync(controlHost).then((isConfirmed) => {
          pending--;
          if (!isConfirmed) return tryNext();
          isDone = true;
          cancelHedge();
          resolve(true);
        });
      };
      tryNext();
    });
  }

  async #sync(controlHost: string): Promise<boolean> {
    const { clock, calls, self, dataCentre, isReady, capacity, takeSlowness } =
      this.#options;
    const sentAt = elapsedTime.instant(clock);
    // Revisions of one control host mean nothing to another.
    const revision = controlHost === this.#source
      ? this.#revision
      : NO_REVISION;
    const host = {
      host: self,
      dataCentre,
      ready: isReady(),
      ...(capacity !== undefined && { capacity }),
      age: 0,
    };
    // Lost with a question that fails: it may have arrived.
    const slowness = takeSlowness();
    const question: schema.SyncQuestion = {
      type: "sync",
      version: this.#version,
      ...revision,
      mark: this.#hostsDigest,
      host,
      evacuationOrders: this.#evacuations.totalRevision,
      ...(slowness.length > 0 && { slowness }),
    };
    try {
      const reply = await calls.ask(controlHost, question, {
        timeout: TIMEOUT_MS,
      });
      if (reply.type !== "synced") throw new Error(`not synced: ${reply.type}`);
      this.#applyReply(controlHost, reply, sentAt);
      if (reply.confirmed) this.#markMissing(question, reply);
      if (!reply.confirmed) this.#recordFailure(controlHost, "no quorum");
      return reply.confirmed;
    } catch (error) {
      this.#recordFailure(controlHost, error);
      return false;
    }
  }

  #recordFailure(controlHost: string, reason: unknown): void {
    const { clock, logger } = this.#options;
    this.#directory.recordFailure(controlHost, clock.now());
    this.#failures.set(controlHost, `${reason}`);
    if (this.#source !== controlHost) return;
    this.#source = undefined;
    logger.info(
      { core: controlHost, reason: `${reason}` },
      "Control host gave no confirmed reply; trying others",
    );
  }

  #logFailures(): void {
    const { clock, logger } = this.#options;
    const now = clock.now();
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt = now;
    const asked = Object.fromEntries(this.#failures);
    const age = this.proofAge;
    const proofAgeMs = age === Infinity ? undefined : Math.round(age);
    const version = this.#version;
    logger.info(
      { asked, proofAgeMs, version },
      "No control host gave a confirmed reply",
    );
  }

  #applyReply(
    controlHost: string,
    reply: schema.SyncedReply,
    sentAt: elapsedTime.Instant,
  ): void {
    const { clock, onChange, onSuspects, onLimits, onSlowness, onContended } =
      this.#options;
    const now = clock.now();
    if (reply.suspects !== undefined) onSuspects(reply.suspects);
    onLimits(reply.limits ?? []);
    onContended(reply.contended ?? []);
    try {
      if (reply.confirmed) this.#applyConfirmed(controlHost, reply, sentAt);
      else this.#directory.addReported(reply.cores, now);
    } finally {
      // After the configuration, which decides what services are known.
      this.#mergeSightings(reply);
      onChange();
      if (reply.slowness !== undefined) onSlowness(reply.slowness);
    }
  }

  #mergeSightings(reply: schema.SyncedReply): void {
    const now = this.#options.clock.now();
    // A partitioned control host receives few heartbeats, so endpoints that it
    // reports as silent may be live.
    const judges = !reply.confirmed;
    for (const sighting of reply.sightings) {
      this.roster.merge(rosterCodec.decode(sighting, { now, judges }));
    }
  }

  /** Marks endpoints as silent that a control host would have reported if they
   * were alive. */
  #markMissing(question: schema.SyncQuestion, reply: schema.SyncedReply): void {
    const { clock, logger, onChange } = this.#options;
    const now = clock.now();
    const { epoch, sightings } = reply;
    const isFull = question.epoch !== epoch;
    this.#reported.record({ epoch, isFull, endpoints: sightings }, now);
    const missing = this.#reported.missing(this.roster.entries, now);
    if (missing.length === 0) return;
    for (const status of missing) {
      this.roster.merge({ status, heardAt: now, isSilent: true });
    }
    onChange();
    logger.info(
      { endpoints: missing.map(({ id }) => id).slice(0, MAX_LOGGED), epoch },
      "Control hosts do not report these endpoints; marked silent",
    );
  }

  #applyConfirmed(
    controlHost: string,
    reply: schema.SyncedReply,
    sentAt: elapsedTime.Instant,
  ): void {
    const { clock, logger, onVersion, onNewSource } = this.#options;
    if (reply.hosts !== undefined) {
      this.#hosts = reply.hosts;
      this.#hostsDigest = reply.mark;
    }
    this.#directory.setConfirmed(reply.cores, clock.now());
    if (reply.version > this.#version && reply.document !== undefined) {
      onVersion(reply.version, reply.document);
      this.#version = reply.version;
      const { version } = reply;
      logger.info({ version, core: controlHost }, "Configuration applied");
    }
    this.#applyEvacuations(controlHost, reply.evacuations);
    if (reply.version > this.#version) return;
    if (this.#provedAt === undefined || sentAt.now > this.#provedAt.now) {
      this.#provedAt = sentAt;
    }
    this.#directory.recordSuccess(controlHost);
    const { epoch, revision, suspectRevision = 0 } = reply;
    const isNewSource = this.#source !== controlHost ||
      this.#revision.epoch !== epoch;
    this.#revision = { epoch, revision, suspectRevision };
    if (isNewSource) onNewSource(controlHost);
    if (this.#source === controlHost) return;
    this.#source = controlHost;
    logger.info(
      { core: controlHost, version: this.#version },
      "Syncing with control host",
    );
  }

  #applyEvacuations(
    controlHost: string,
    received: schema.Evacuation[] = [],
  ): void {
    const { logger } = this.#options;
    const known = this.#evacuations;
    this.#evacuations = known.merge(received);
    for (const evacuation of this.#evacuations.newerThan(known)) {
      logger.info(
        { ...evacuation, core: controlHost },
        "Evacuation state applied",
      );
    }
  }
}
