/** What a host without a disk knows: it asks one host with a disk after the
 * other for what is new, and for the proof that nothing else is.
 * @module */

import * as orders from "../control/versions/evacuations.ts";
import * as endpoints from "../endpoints/mod.ts";
import type * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as controlHosts from "./control_host_directory.ts";
import * as freshness from "./elapsed_time.ts";
import * as rosterCodec from "./roster_codec.ts";

/** Milliseconds between questions: a drain must be known everywhere within
 * two seconds, a version too, also where one control host does not answer. */
export const SYNC_INTERVAL_MS = 600;
/** Milliseconds between questions before the first answer with a proof: a host
 * that has just started refuses all requests until then. */
const EAGER = 150;
/** Milliseconds after which another host is asked beside the one that has not
 * answered: some times the usual answer, with its wait for a round of the
 * log. */
const HEDGE = 300;
/** Milliseconds after which an answer is of no use any more. */
const TIMEOUT = 900;
/** Milliseconds after which an endpoint that is silent or gone is forgotten:
 * longer than any late report of it. */
const MEMORY = 60_000;

/** Milliseconds between log lines of a host that gets no proof. */
const LOGGED = 1000;

/** Asks for everything. */
const NO_REVISION = { epoch: "", revision: 0, suspectRevision: 0 };

/** What a follower needs of its host. */
export interface SyncClientOptions {
  self: string;
  dataCentre: string;
  seeds: readonly string[];
  clock: runtime.Clock;
  random: runtime.Random;
  calls: Pick<peers.Rpc, "ask">;
  logger: telemetry.Logger;
  isReady(): boolean;
  /** A newer version than any before. */
  onVersion(version: number, document: string): void;
  /** A host with a disk answers that knows nothing by this one. */
  onNewSource(core: string): void;
  /** Requests that may crash endpoints, as a host with a disk knows them. */
  onSuspects(suspects: readonly schema.Suspect[]): void;
  /** Rate limits that endpoints name, as a host with a disk knows them. */
  onLimits(limits: readonly schema.EndpointLimit[]): void;
  /** Endpoints or hosts may have changed. */
  onChange(): void;
}

/** Follows the hosts with disks. */
export class SyncClient {
  readonly roster = endpoints.Roster.create({
    silenceTimeoutMs: Infinity,
    retentionMs: MEMORY,
  });
  readonly #options: SyncClientOptions;
  #revision = NO_REVISION;
  readonly #controlHosts: controlHosts.ControlHostDirectory;
  /** Why hosts did not prove anything in this round. */
  #failures = new Map<string, string>();
  #loggedAt = -Infinity;
  #hosts: readonly schema.EntryHost[] = [];
  #mark = "";
  #version = 0;
  #proof?: freshness.Instant;
  #source?: string;
  #evacuations = orders.Evacuations.NONE;
  #stopped = false;

  private constructor(options: SyncClientOptions) {
    this.#options = options;
    this.#controlHosts = controlHosts.ControlHostDirectory.create(
      options.seeds,
    );
  }

  static create(options: SyncClientOptions): SyncClient {
    return new SyncClient(options);
  }

  /** Begins to ask. */
  start(): void {
    void this.#round();
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Adds hosts that the settings name now. */
  setSeeds(seeds: readonly string[]): void {
    this.#controlHosts.setSeeds(seeds);
  }

  /** Milliseconds by which the version in force here may be too old; endless
   * before the first proof. */
  get proofAge(): number {
    if (this.#proof === undefined) return Infinity;
    return freshness.elapsedSince(this.#proof, this.#options.clock);
  }

  /** Data centres that are evacuated, as proved with the version in force. */
  get evacuations(): orders.Evacuations {
    return this.#evacuations;
  }

  /** Hosts that take requests, as last heard. */
  get hosts(): readonly schema.EntryHost[] {
    return this.#hosts;
  }

  /** Hosts with disks, the one that answers first. */
  get controlHosts(): readonly string[] {
    const { current } = this.#controlHosts;
    const others = current.filter((core) => core !== this.#source);
    return this.#source === undefined ? others : [this.#source, ...others];
  }

  /** State for people. */
  dump(): unknown {
    return {
      version: this.#version,
      proofAgeMs: Math.round(this.proofAge),
      source: this.#source,
      cores: this.#controlHosts.all,
      evacuations: this.#evacuations.list,
      hosts: this.#hosts,
      endpoints: [...this.roster.entries],
    };
  }

  async #round(): Promise<void> {
    const { clock } = this.#options;
    if (this.#stopped) return;
    const started = clock.now();
    this.#failures.clear();
    const isProved = await this.#ask();
    if (!isProved) this.#logFailures();
    this.roster.expire(clock.now());
    const spent = clock.now() - started;
    const interval = this.#proof === undefined ? EAGER : SYNC_INTERVAL_MS;
    clock.after(Math.max(20, interval - spent), () => void this.#round());
  }

  /** Asks hosts in turn, another one beside each that is slow, and those that
   * answers name; resolves with true at the first confirmed answer, with false
   * when all have failed. */
  #ask(): Promise<boolean> {
    const { clock, random } = this.#options;
    const asked = new Set<string>();
    return new Promise((resolve) => {
      let open = 0;
      let isDone = false;
      let cancel: runtime.Cancel = () => {};
      const next = () => {
        cancel();
        if (isDone) return;
        const core = this.#controlHosts.inOrderOfPreference(
          this.#source,
          random,
        )
          .find((each) => !asked.has(each));
        if (core === undefined) {
          if (open === 0) resolve(false);
          return;
        }
        asked.add(core);
        open++;
        cancel = clock.after(HEDGE, next);
        void this.#sync(core).then((isConfirmed) => {
          open--;
          if (!isConfirmed) return next();
          isDone = true;
          cancel();
          resolve(true);
        });
      };
      next();
    });
  }

  async #sync(core: string): Promise<boolean> {
    const { clock, calls, self, dataCentre, isReady } = this.#options;
    const sent = freshness.instant(clock);
    // Another host's changes say nothing of what this one has told before.
    const known = core === this.#source ? this.#revision : NO_REVISION;
    const host = { host: self, dataCentre, ready: isReady(), age: 0 };
    const question: schema.SyncQuestion = {
      type: "sync",
      version: this.#version,
      ...known,
      mark: this.#mark,
      host,
      evacuationOrders: this.#evacuations.totalRevision,
    };
    try {
      const reply = await calls.ask(core, question, { timeout: TIMEOUT });
      if (reply.type !== "synced") throw new Error(`answered ${reply.type}`);
      this.#take(core, reply, sent);
      if (!reply.confirmed) this.#noteFailure(core, "no quorum");
      return reply.confirmed;
    } catch (error) {
      this.#noteFailure(core, error);
      return false;
    }
  }

  #noteFailure(core: string, reason: unknown): void {
    const { clock, logger } = this.#options;
    this.#controlHosts.recordFailure(core, clock.now());
    this.#failures.set(core, `${reason}`);
    if (this.#source !== core) return;
    this.#source = undefined;
    logger.info({ core, reason: `${reason}` }, "Control host lost");
  }

  #logFailures(): void {
    const { clock, logger } = this.#options;
    const now = clock.now();
    if (now - this.#loggedAt < LOGGED) return;
    this.#loggedAt = now;
    const asked = Object.fromEntries(this.#failures);
    const age = this.proofAge;
    const proofAgeMs = age === Infinity ? undefined : Math.round(age);
    const version = this.#version;
    logger.info({ asked, proofAgeMs, version }, "No control host proves");
  }

  #take(
    core: string,
    reply: schema.SyncedReply,
    sent: freshness.Instant,
  ): void {
    const { clock, onChange, onSuspects, onLimits } = this.#options;
    const now = clock.now();
    if (reply.suspects !== undefined) onSuspects(reply.suspects);
    onLimits(reply.limits ?? []);
    // A host that is cut off from the others hears few endpoints: what it
    // holds for silent may not be.
    const judges = !reply.confirmed;
    for (const sighting of reply.sightings) {
      this.roster.merge(rosterCodec.decode(sighting, { now, judges }));
    }
    if (reply.confirmed) this.#takeProof(core, reply, sent);
    else this.#controlHosts.addReported(reply.cores, now);
    onChange();
  }

  #takeProof(
    core: string,
    reply: schema.SyncedReply,
    sent: freshness.Instant,
  ): void {
    const { clock, logger, onVersion, onNewSource: onSource } = this.#options;
    if (reply.hosts !== undefined) {
      this.#hosts = reply.hosts;
      this.#mark = reply.mark;
    }
    this.#controlHosts.setConfirmed(reply.cores, clock.now());
    if (reply.version > this.#version && reply.document !== undefined) {
      onVersion(reply.version, reply.document);
      this.#version = reply.version;
      const { version } = reply;
      logger.info({ version, core }, "Configuration in force");
    }
    this.#takeEvacuations(core, reply.evacuations);
    if (reply.version > this.#version) return;
    if (this.#proof === undefined || sent.now > this.#proof.now) {
      this.#proof = sent;
    }
    this.#controlHosts.recordSuccess(core);
    const { epoch, revision, suspectRevision = 0 } = reply;
    const isNew = this.#source !== core || this.#revision.epoch !== epoch;
    this.#revision = { epoch, revision, suspectRevision };
    if (isNew) onSource(core);
    if (this.#source === core) return;
    this.#source = core;
    logger.info({ core, version: this.#version }, "Control host found");
  }

  #takeEvacuations(core: string, told: schema.Evacuation[] = []): void {
    const { logger } = this.#options;
    const known = this.#evacuations;
    this.#evacuations = known.merge(told);
    for (const each of this.#evacuations.newerThan(known)) {
      logger.info({ ...each, core }, "Evacuation in force");
    }
  }
}
