/** Replicated store of configuration and evacuations on a control host: a
 * replica of the log, and a client of its leader on whichever host that is.
 * @module */

import * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/fleet_types.ts";
import * as telemetry from "../../telemetry/mod.ts";
import * as log from "../log/mod.ts";
import * as configurationVersions from "./configuration_version.ts";
import * as errors from "./errors.ts";
import * as evacuations from "./evacuations.ts";
import * as leaderClient from "./leader_client.ts";
import * as leaderHint from "./leader_hint.ts";
import * as stateMachine from "./state_machine.ts";
import * as replicaStatus from "./replica_status.ts";

/** Delay before a failed replica is restarted from disk. */
const RESTART_DELAY_MS = 500;
/** Interval of the check for a missing leader: longer than an election, so that
 * a log line means that one has failed. */
const LEADER_CHECK_INTERVAL_MS = 1000;

/** Bounds of log lines about votes: some elections in a row with five voters. */
const ELECTION_LOG_BOUNDS = { rate: 5, burst: 100 };

/** Log sizes for commands that contain whole documents of about 100 kB each:
 * frequent snapshots keep disk usage small. */
const LOG_SIZES = {
  snapshotInterval: 64,
  charactersPerEntry: 50_000,
  trailingEntries: 16,
};
/** Silence after which a voter is replaced by a live host. The replacement must
 * be complete before the next loss that has to be tolerated. */
const LOG_TIMING = { inactivityTimeout: 1500 };

/** Opens the disk; called again after each failure. */
export type OpenStorage = () => Promise<Storage>;

/** Storage that can be closed. */
export interface Storage extends runtime.Storage {
  close?(): Promise<void>;
}

/** Dependencies of a store. */
export interface ConfigurationStoreOptions {
  self: string;
  /** Incarnation of this process, which makes the ids of its commands unique. */
  incarnation: string;
  /** Hosts that are the first voters of a new log. */
  initialVoters: readonly string[];
  /** Whether this host may create a new log. */
  isBootstrap: boolean;
  clock: runtime.Clock;
  random: runtime.Random;
  transport: runtime.Transport;
  openStorage: OpenStorage;
  callHost: leaderClient.HostCall;
  logger: telemetry.Logger;
  /** This host has been elected leader. */
  onElected?(): void;
}

/** RPC requests to the leader. */
export type LeaderQuestion =
  | schema.ConfirmQuestion
  | schema.ReplaceQuestion
  | schema.EvacuateQuestion;

/** Options of `ConfigurationStore.evacuate`. */
export interface EvacuateOptions {
  /** Milliseconds within which the command must be acknowledged. */
  readonly timeout: number;
  /** Whether the client no longer waits for the acknowledgement. */
  isAbandoned(): boolean;
}

type Runner = log.Runner<stateMachine.ControlState, stateMachine.CommandReply>;

/** The replica of this host, and a client of the leader. */
export class ConfigurationStore {
  readonly #options: ConfigurationStoreOptions;
  readonly #leaderClient: leaderClient.LeaderClient;
  #runner?: Runner;
  #desiredVoters: readonly string[];
  #knownHosts: readonly string[] = [];
  /** Logger of votes and slow writes, which may follow each other quickly. */
  readonly #electionLogger: telemetry.Logger;
  #commandCount = 0;
  #stopped = false;
  #indexWaiters: { index: number; resolve(): void }[] = [];
  #loggedMembers?: unknown;
  #leaderHint = leaderHint.LeaderHint.NONE;
  /** Newest version received from a leader on another host. */
  #fetchedConfiguration: configurationVersions.ConfigurationVersion =
    configurationVersions.NO_VERSION;
  /** Evacuations received from leaders on other hosts. */
  #fetchedEvacuations = evacuations.Evacuations.NONE;
  /** When the last log message of each host arrived. */
  readonly #lastHeardAt = new Map<string, number>();

  private constructor(options: ConfigurationStoreOptions) {
    this.#options = options;
    this.#electionLogger = telemetry.boundLogger(
      options.logger,
      options.clock,
      ELECTION_LOG_BOUNDS,
    );
    this.#desiredVoters = options.initialVoters;
    this.#leaderClient = leaderClient.LeaderClient.create({
      ...options,
      leader: () => this.leader,
      onNotLeader: (leader) =>
        this.#leaderHint = this.#leaderHint.invalidate(leader),
    });
  }

  /** Recovers from disk and joins the log. */
  static async start(
    options: ConfigurationStoreOptions,
  ): Promise<ConfigurationStore> {
    const store = new ConfigurationStore(options);
    await store.#start();
    store.#watchLeader();
    return store;
  }

  /** Leader as known to the replica of this host, to be sent to other hosts. */
  get leadership(): schema.Leadership | undefined {
    const runner = this.#runner;
    if (runner?.leader === undefined) return undefined;
    const { term, leader } = runner;
    return { term, leader, voters: this.#ownVoters };
  }

  /** Updates the leader hint from a message of another host. */
  updateLeaderHint(leadership: schema.Leadership): void {
    this.#leaderHint = this.#leaderHint.update(
      leadership,
      this.#options.clock.now(),
    );
    this.#leaderClient.handleLeaderChange();
  }

  /** Hosts of the voters, as far as this host knows. */
  get voters(): readonly string[] {
    const newest = this.#newestLeadership?.voters ?? this.#leaderHint.voters;
    return newest.length > 0 ? newest : this.#ownVoters;
  }

  get leader(): string | undefined {
    return this.#newestLeadership?.leader;
  }

  get isLeader(): boolean {
    return this.#runner?.replica.state.role === "leader";
  }

  /** Newest version known to this host; others may have a newer one. */
  get configuration(): configurationVersions.ConfigurationVersion {
    const applied = this.#runner?.state.configuration ??
      configurationVersions.NO_VERSION;
    return applied.version >= this.#fetchedConfiguration.version
      ? applied
      : this.#fetchedConfiguration;
  }

  /** Evacuations known to this host; others may have newer ones. */
  get evacuations(): evacuations.Evacuations {
    const applied = this.#runner?.state.evacuations;
    return this.#fetchedEvacuations.merge(applied?.list);
  }

  /** Sets the hosts that should be voters. */
  setDesiredVoters(hosts: readonly string[]): void {
    if (hosts.join() !== this.#desiredVoters.join()) {
      this.#desiredVoters = hosts;
      this.#runner?.setDesiredVoters(hosts);
    }
    this.#removeSurplusVoter();
  }

  /** Sets the control hosts that are known from any source. */
  setKnownHosts(hosts: readonly string[]): void {
    if (hosts.join() === this.#knownHosts.join()) return;
    this.#knownHosts = hosts;
    this.#runner?.setKnownHosts(hosts);
  }

  /** Handles a message from another replica. */
  receive(envelope: runtime.Envelope): void {
    this.#lastHeardAt.set(envelope.from, this.#options.clock.now());
    this.#runner?.receive(envelope);
  }

  /** Replaces the configuration; resolves once a majority has the command on
   * disk. Rejects with `StoreError` when that is not known after `timeout`
   * milliseconds. */
  async replace(
    version: configurationVersions.ConfigurationVersion,
    timeout: number,
  ): Promise<schema.ReplacedReply> {
    const reply = await this.#leaderClient.call(timeout, {
      question: { type: "replace", ...version },
      handleLocally: () => this.#handleReplace(version),
    });
    return reply as schema.ReplacedReply;
  }

  /** Begins or ends an evacuation; resolves once a majority has the command on
   * disk. Rejects with `StoreError`.
   *
   * Operators send no version number with this command, so it is conditional on
   * the last committed revision. It is dropped when the client has
   * disconnected: a host that was frozen may handle it long after a later
   * command of the client was acknowledged by another host. */
  async evacuate(
    target: Pick<evacuations.EvacuationCommand, "dataCentre" | "active">,
    { timeout, isAbandoned }: EvacuateOptions,
  ): Promise<schema.EvacuatedReply> {
    const { clock } = this.#options;
    const deadline = clock.now() + timeout;
    for (;;) {
      await this.read(deadline - clock.now());
      if (isAbandoned()) throw new errors.StoreError("abandoned");
      const after = this.evacuations.revisionOf(target.dataCentre);
      const command = { ...target, after, orderedAt: clock.wall() };
      const reply = await this.#leaderClient.call(deadline - clock.now(), {
        question: { type: "evacuate", ...command },
        handleLocally: () => this.#handleEvacuate(command),
      }) as schema.EvacuatedReply;
      if (reply.verdict !== "outdated") return reply;
    }
  }

  /** Linearizable read: returns the newest version as of some moment after the
   * call, confirmed by a majority, and updates the evacuations to that moment.
   * Rejects with `StoreError`. */
  async read(
    timeout: number,
  ): Promise<configurationVersions.ConfigurationVersion> {
    const { version } = this.configuration;
    const reply = await this.#leaderClient.call(timeout, {
      question: { type: "confirm", version },
      handleLocally: () => this.#handleConfirm(version),
    }) as schema.ConfirmedReply;
    await this.#applyConfirmation(reply, timeout);
    const { configuration } = this;
    const confirmed = reply.version ?? version;
    if (configuration.version >= confirmed) return configuration;
    this.#options.logger.warn(
      {
        confirmed,
        held: configuration.version,
        fetched: this.#fetchedConfiguration.version,
        isRunning: this.#runner !== undefined,
      },
      "Read not answered: a newer version is confirmed than this host holds",
    );
    throw new errors.StoreError("behind");
  }

  /** Handles an RPC request that another host has sent to the leader. */
  handle(
    question: LeaderQuestion,
  ): Promise<schema.Reply> {
    switch (question.type) {
      case "confirm":
        return this.#handleConfirm(question.version);
      case "replace":
        return this.#handleReplace(question);
      case "evacuate":
        return this.#handleEvacuate(question);
    }
  }

  /** Transfers leadership to another voter before a stop. */
  transferLeadership(): void {
    this.#runner?.transferLeadership();
  }

  stop(): void {
    this.#stopped = true;
    this.#leaderClient.stop();
    this.#runner?.stop();
  }

  /** This host's view of leader and members; undefined while the replica does
   * not run. */
  get status(): replicaStatus.ReplicaStatus | undefined {
    const replica = this.#runner?.replica;
    if (replica === undefined) return undefined;
    const now = this.#options.clock.now();
    const leadership = this.#leaderHint.at(now);
    return replicaStatus.statusOf(replica, {
      lastHeardAt: this.#lastHeardAt,
      leaderHint: leadership,
      now,
    });
  }

  /** Diagnostic state, for operators. */
  dump(): unknown {
    if (this.#runner === undefined) return { runs: false };
    const { index, counters, replica, state } = this.#runner;
    const now = this.#options.clock.now();
    const { version, digest } = state.configuration;
    return {
      ...log.dump(replica, now) as object,
      index,
      counters,
      version,
      digest,
      evacuations: this.evacuations.list,
    };
  }

  async #start(): Promise<void> {
    const { self, isBootstrap, clock, random, transport, logger } =
      this.#options;
    let storage: Storage | undefined;
    try {
      storage = await this.#options.openStorage();
      const opened = storage;
      this.#runner = await log.Runner.start<
        stateMachine.ControlState,
        stateMachine.CommandReply
      >({
        host: self,
        hosts: this.#desiredVoters,
        isBootstrap,
        machine: stateMachine.stateMachine,
        clock,
        random,
        transport,
        storage,
        sizes: LOG_SIZES,
        timing: LOG_TIMING,
        onChange: (_, index) => this.#handleApplied(index),
        onRole: (role, term, { leader }) => {
          logger.info({ role, term, leader }, "Role in the log changed");
          // The replica is still in the step that changed the role.
          queueMicrotask(() => this.#leaderClient.handleLeaderChange());
          if (role === "leader") queueMicrotask(() => this.#handleElected());
        },
        onVoteDecision: (decision) =>
          this.#electionLogger.info(decision, "Vote request answered"),
        onElectionTimeout: (timeout) =>
          this.#electionLogger.info(timeout, "Election timeout passed"),
        onSlowWrite: (durationMs) =>
          this.#electionLogger.info(
            { durationMs: Math.round(durationMs) },
            "Slow write to the disk of the log",
          ),
        onFailure: (failure) => void this.#restart(failure, opened),
      });
    } catch (error) {
      void this.#restart(error, storage);
      return;
    }
    this.#runner.setKnownHosts(this.#knownHosts);
    const { id, term, index, state } = this.#runner;
    const { version } = state.configuration;
    logger.info({ id, term, index, version }, "Replica of the log started");
  }

  /** Removes one surplus voter once all desired hosts are voters: each
   * additional voter is one more that commits and elections may have to wait
   * for. */
  #removeSurplusVoter(): void {
    const runner = this.#runner;
    if (runner === undefined || !this.isLeader) return;
    const { voters } = runner.replica.members;
    const voting = this.#ownVoters;
    if (!this.#desiredVoters.every((host) => voting.includes(host))) return;
    const surplus = voters.find((id) =>
      id !== runner.id && !this.#desiredVoters.includes(log.replicaId.host(id))
    );
    if (surplus !== undefined) runner.remove(surplus);
  }

  /** Keeps the present voters as the desired ones after an election, since
   * those that this host knew before may date from when its settings were
   * written. */
  #handleElected(): void {
    if (!this.isLeader) return;
    const voters = this.#ownVoters;
    if (voters.length > 0) this.setDesiredVoters(voters);
    this.#options.onElected?.();
  }

  /** Restarts the replica from disk after a failure. */
  async #restart(error: unknown, storage?: Storage): Promise<void> {
    const { clock, logger } = this.#options;
    // Leaders confirm what this host has applied without sending it again.
    this.#fetchedConfiguration = this.configuration;
    this.#fetchedEvacuations = this.evacuations;
    this.#runner = undefined;
    logger.error(
      { err: error, retryMs: RESTART_DELAY_MS },
      "Replica of the log failed; restarting it from disk",
    );
    try {
      await storage?.close?.();
    } catch (cause) {
      logger.warn({ err: cause }, "Storage of the failed replica not closed");
    }
    clock.after(RESTART_DELAY_MS, () => {
      if (!this.#stopped) void this.#start();
    });
  }

  /** Logs periodically while this host knows of no leader. */
  #watchLeader(): void {
    const { clock, logger } = this.#options;
    clock.after(LEADER_CHECK_INTERVAL_MS, () => {
      if (this.#stopped) return;
      if (this.leader === undefined) {
        logger.info({ ...this.status }, "No leader of the log known");
      }
      this.#watchLeader();
    });
  }

  get #ownVoters(): string[] {
    const { voters = [] } = this.#runner?.replica.members ?? {};
    return voters.map((id) => log.replicaId.host(id));
  }

  /** Newest leadership from the own replica and the leader hint. Leaders send
   * heartbeats to members only, so what the replica of a non-voter knows dates
   * from when it was a voter. */
  get #newestLeadership(): schema.Leadership | undefined {
    const own = this.leadership;
    const hinted = this.#leaderHint.at(this.#options.clock.now());
    if (own === undefined || hinted === undefined) return own ?? hinted;
    return hinted.term > own.term ? hinted : own;
  }

  #handleApplied(index: number): void {
    const ready = this.#indexWaiters.filter((each) => each.index <= index);
    this.#indexWaiters = this.#indexWaiters.filter((each) =>
      each.index > index
    );
    ready.forEach(({ resolve }) => resolve());
    this.#logMembers();
  }

  #logMembers(): void {
    const members = this.#runner?.replica.members;
    if (members === undefined || members === this.#loggedMembers) return;
    this.#loggedMembers = members;
    const { leader } = this;
    this.#options.logger.info(
      { ...members, leader },
      "Members of the log changed",
    );
  }

  /** Waits until the replica of this host has applied an index. */
  #waitForIndex(index: number, timeout: number): Promise<void> {
    const applied = this.#runner?.index ?? -1;
    if (applied >= index) return Promise.resolve();
    return new Promise((resolve, reject) => {
      const cancel = this.#options.clock.after(timeout, () => {
        this.#indexWaiters = this.#indexWaiters.filter((each) =>
          each !== waiter
        );
        reject(new errors.StoreError("no-leader"));
      });
      const waiter = {
        index,
        resolve() {
          cancel();
          resolve();
        },
      };
      this.#indexWaiters.push(waiter);
    });
  }

  /** Applies a leader's confirmation. Leaders of the previous release send no
   * version; the replica of this host then catches up to the index. */
  async #applyConfirmation(
    { index, version, document, digest, evacuations }: schema.ConfirmedReply,
    timeout: number,
  ): Promise<void> {
    this.#fetchedEvacuations = this.#fetchedEvacuations.merge(evacuations);
    if (version === undefined) return await this.#waitForIndex(index, timeout);
    if (document === undefined || digest === undefined) return;
    if (version <= this.configuration.version) return;
    this.#fetchedConfiguration = { version, document, digest };
  }

  /** Confirms the current state with a quorum. The reply includes the
   * configuration when it is newer than version `known`. */
  async #handleConfirm(known?: number): Promise<schema.Reply> {
    const runner = this.#runner;
    if (runner === undefined) return { type: "failed", reason: "stopped" };
    try {
      const index = await runner.readIndex();
      const { configuration, evacuations: { list } } = runner.state;
      const { version } = configuration;
      const confirmed = {
        type: "confirmed" as const,
        index,
        ...(list.length > 0 && { evacuations: list }),
      };
      if (known === undefined) return confirmed;
      return version > known
        ? { ...confirmed, ...configuration }
        : { ...confirmed, version };
    } catch (error) {
      return failedReply(error);
    }
  }

  #handleReplace(
    { version, document, digest }: configurationVersions.ConfigurationVersion,
  ): Promise<schema.Reply> {
    const configuration = { version, document, digest };
    return this.#propose((id) =>
      stateMachine.replaceCommand(id, configuration)
    );
  }

  #handleEvacuate(
    { dataCentre, active, after, orderedAt }: evacuations.EvacuationCommand,
  ): Promise<schema.Reply> {
    const command = { dataCentre, active, after, orderedAt };
    return this.#propose((id) => stateMachine.evacuateCommand(id, command));
  }

  async #propose(
    createCommand: (id: string) => log.Command,
  ): Promise<schema.Reply> {
    const runner = this.#runner;
    if (runner === undefined) return { type: "failed", reason: "stopped" };
    const { self, incarnation } = this.#options;
    const id = `${self}/${incarnation}/${++this.#commandCount}`;
    try {
      return await runner.propose(createCommand(id));
    } catch (error) {
      return failedReply(error);
    }
  }
}

function failedReply(error: unknown): schema.FailedReply {
  if (!(error instanceof log.LogError)) throw error;
  const reasons: Partial<Record<log.LogFault, schema.FailedReply["reason"]>> = {
    "not-leader": "not-leader",
    "no-quorum": "no-quorum",
    stopped: "stopped",
  };
  return { type: "failed", reason: reasons[error.kind] ?? "unknown" };
}
