/** Replicated store of the configuration on a host with a disk: a replica of the
 * log where the host votes, and the way to the leader, wherever that is.
 * @module */

import * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/fleet_types.ts";
import type * as telemetry from "../../telemetry/mod.ts";
import * as log from "../log/mod.ts";
import * as editions from "./configuration_version.ts";
import * as errors from "./errors.ts";
import * as evacuations from "./evacuations.ts";
import * as leaderCalls from "./leader_client.ts";
import * as leaderBeliefs from "./leader_hint.ts";
import * as machines from "./state_machine.ts";
import * as replicaStatuses from "./replica_status.ts";

/** Milliseconds after which a replica whose disk failed is started anew. */
const RESTART = 500;
/** Milliseconds between looks for a log without a leader: longer than one
 * election takes, so that a line says that it did not succeed. */
const WATCH = 1000;

/** Sizes of the log for commands that hold whole documents, of which a hundred
 * kilobytes each are expected: snapshots come often enough for a small disk. */
const SIZES = {
  snapshotInterval: 64,
  charactersPerEntry: 50_000,
  trailingEntries: 16,
};
/** Milliseconds of silence after which a voter is exchanged for a live host:
 * the exchange must end before a second loss is to be borne. */
const TIMING = { inactivityTimeout: 1500 };

/** Opens the disk. It is opened again after a failure. */
export type OpenStorage = () => Promise<Storage>;

/** A disk that can be closed. */
export interface Storage extends runtime.Storage {
  close?(): Promise<void>;
}

/** What a store needs of its host. */
export interface ConfigurationStoreOptions {
  self: string;
  /** Hosts that may found the log. */
  initialVoters: readonly string[];
  /** Whether this host may found it. */
  isBootstrap: boolean;
  clock: runtime.Clock;
  random: runtime.Random;
  transport: runtime.Transport;
  openStorage: OpenStorage;
  callHost: leaderCalls.HostCall;
  logger: telemetry.Logger;
  /** This host has come to lead. */
  onElected?(): void;
}

/** Questions that a host sends to the one that leads. */
export type LeaderQuestion =
  | schema.ConfirmQuestion
  | schema.ReplaceQuestion
  | schema.EvacuateQuestion;

/** How an evacuation is ordered. */
export interface EvacuateOptions {
  /** Milliseconds in which it should be acknowledged. */
  readonly timeout: number;
  /** Whether nobody waits for the acknowledgement any more. */
  isAbandoned(): boolean;
}

type Runner = log.Runner<machines.ControlState, machines.CommandReply>;

/** The replica of this host, and the way to its leader. */
export class ConfigurationStore {
  readonly #options: ConfigurationStoreOptions;
  readonly #calls: leaderCalls.LeaderClient;
  #runner?: Runner;
  #hosts: readonly string[];
  #contacts: readonly string[] = [];
  #orders = 0;
  #stopped = false;
  #waiting: { index: number; resolve(): void }[] = [];
  #members?: unknown;
  #told = leaderBeliefs.LeaderHint.NONE;
  /** Newest version that a leader elsewhere has told. */
  #fetched: editions.ConfigurationVersion = editions.NO_VERSION;
  /** Orders of evacuations that leaders elsewhere have told. */
  #fetchedEvacuations = evacuations.Evacuations.NONE;
  /** When a replica of each host was heard last. */
  readonly #heard = new Map<string, number>();

  private constructor(options: ConfigurationStoreOptions) {
    this.#options = options;
    this.#hosts = options.initialVoters;
    this.#calls = leaderCalls.LeaderClient.create({
      ...options,
      leader: () => this.leader,
      onNotLeader: (leader) => this.#told = this.#told.invalidate(leader),
    });
  }

  /** Reads the disk and takes part from then on. */
  static async start(
    options: ConfigurationStoreOptions,
  ): Promise<ConfigurationStore> {
    const store = new ConfigurationStore(options);
    await store.#start();
    store.#watch();
    return store;
  }

  /** Who leads, as the replica of this host knows: other hosts may be told. */
  get leadership(): schema.Leadership | undefined {
    const runner = this.#runner;
    if (runner?.leader === undefined) return undefined;
    const { term, leader } = runner;
    return { term, leader, voters: this.#ownVoters };
  }

  /** Notes who leads, as a member tells. */
  updateLeaderHint(told: schema.Leadership): void {
    this.#told = this.#told.update(told, this.#options.clock.now());
    this.#calls.handleLeaderChange();
  }

  /** Hosts of the voters as this host knows them. */
  get voters(): readonly string[] {
    const newest = this.#newestLeadership?.voters ?? this.#told.voters;
    return newest.length > 0 ? newest : this.#ownVoters;
  }

  get leader(): string | undefined {
    return this.#newestLeadership?.leader;
  }

  get isLeader(): boolean {
    return this.#runner?.replica.state.role === "leader";
  }

  /** The newest version known here, which may not be the newest of all. */
  get configuration(): editions.ConfigurationVersion {
    const applied = this.#runner?.state.configuration ?? editions.NO_VERSION;
    return applied.version >= this.#fetched.version ? applied : this.#fetched;
  }

  /** Evacuations known here, of which some may be newer elsewhere. */
  get evacuations(): evacuations.Evacuations {
    const applied = this.#runner?.state.evacuations;
    return this.#fetchedEvacuations.merge(applied?.list);
  }

  /** Names the hosts that should be voters. */
  setDesiredVoters(hosts: readonly string[]): void {
    if (hosts.join() !== this.#hosts.join()) {
      this.#hosts = hosts;
      this.#runner?.setDesiredVoters(hosts);
    }
    this.#dropSurplus();
  }

  /** Names the hosts with disks that are known, whoever named them. */
  setKnownHosts(hosts: readonly string[]): void {
    if (hosts.join() === this.#contacts.join()) return;
    this.#contacts = hosts;
    this.#runner?.setKnownHosts(hosts);
  }

  /** Takes a message of another replica. */
  receive(envelope: runtime.Envelope): void {
    this.#heard.set(envelope.from, this.#options.clock.now());
    this.#runner?.receive(envelope);
  }

  /** Orders a version; resolves once a majority has it on disk. Rejects with
   * `VersionError` when that is not known after `patience` milliseconds. */
  async replace(
    order: editions.ConfigurationVersion,
    patience: number,
  ): Promise<schema.ReplacedReply> {
    const reply = await this.#calls.call(patience, {
      question: { type: "replace", ...order },
      handleLocally: () => this.#replaceHere(order),
    });
    return reply as schema.ReplacedReply;
  }

  /** Begins or ends an evacuation; resolves once a majority has that on disk.
   * Nothing in such an order says which one is newer, so it follows the last one
   * that a majority knows, and is given up where nobody waits for it any more: a
   * host that was frozen may take it long after another one was
   * acknowledged. Rejects with `VersionError`. */
  async evacuate(
    wanted: Pick<evacuations.EvacuationCommand, "dataCentre" | "active">,
    { timeout: patience, isAbandoned }: EvacuateOptions,
  ): Promise<schema.EvacuatedReply> {
    const { clock } = this.#options;
    const until = clock.now() + patience;
    for (;;) {
      await this.read(until - clock.now());
      if (isAbandoned()) throw new errors.StoreError("abandoned");
      const after = this.evacuations.revisionOf(wanted.dataCentre);
      const order = { ...wanted, after, orderedAt: clock.wall() };
      const reply = await this.#calls.call(until - clock.now(), {
        question: { type: "evacuate", ...order },
        handleLocally: () => this.#evacuateHere(order),
      }) as schema.EvacuatedReply;
      if (reply.verdict !== "outdated") return reply;
    }
  }

  /** The newest version of all at some moment after the call, confirmed by a
   * majority, and the evacuations of that moment are known then. Rejects with
   * `VersionError`. */
  async read(patience: number): Promise<editions.ConfigurationVersion> {
    const { version } = this.configuration;
    const reply = await this.#calls.call(patience, {
      question: { type: "confirm", version },
      handleLocally: () => this.#confirmHere(version),
    });
    await this.#take(reply as schema.ConfirmedReply, patience);
    return this.configuration;
  }

  /** Answers a question that another host has sent to the leader. */
  handle(
    question: LeaderQuestion,
  ): Promise<schema.Reply> {
    switch (question.type) {
      case "confirm":
        return this.#confirmHere(question.version);
      case "replace":
        return this.#replaceHere(question);
      case "evacuate":
        return this.#evacuateHere(question);
    }
  }

  /** Hands leadership over, before a stop. */
  transferLeadership(): void {
    this.#runner?.transferLeadership();
  }

  stop(): void {
    this.#stopped = true;
    this.#calls.stop();
    this.#runner?.stop();
  }

  /** What this host knows of leader and majority; undefined while the replica
   * does not run. */
  get status(): replicaStatuses.ReplicaStatus | undefined {
    const replica = this.#runner?.replica;
    if (replica === undefined) return undefined;
    const now = this.#options.clock.now();
    const told = this.#told.at(now);
    return replicaStatuses.statusOf(replica, { heard: this.#heard, told, now });
  }

  /** State for people. */
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
    const { self, isBootstrap: founds, clock, random, transport, logger } =
      this.#options;
    let storage: Storage | undefined;
    try {
      storage = await this.#options.openStorage();
      const opened = storage;
      this.#runner = await log.Runner.start<
        machines.ControlState,
        machines.CommandReply
      >({
        host: self,
        hosts: this.#hosts,
        isBootstrap: founds,
        machine: machines.stateMachine,
        clock,
        random,
        transport,
        storage,
        sizes: SIZES,
        timing: TIMING,
        onChange: (_, index) => this.#noteApplied(index),
        onRole: (role, term, { leader }) => {
          logger.info({ role, term, leader }, "Role in the log changed");
          // The step that has led to it is not over yet.
          queueMicrotask(() => this.#calls.handleLeaderChange());
          if (role === "leader") queueMicrotask(() => this.#lead());
        },
        onFailure: (failure) => void this.#restart(failure, opened),
      });
    } catch (error) {
      void this.#restart(error, storage);
      return;
    }
    this.#runner.setKnownHosts(this.#contacts);
    const { id, term, index, state } = this.#runner;
    const { version } = state.configuration;
    logger.info({ id, term, index, version }, "Replica of the log started");
  }

  /** Takes out a voter that is not named once all that are vote: each voter more
   * is one more that changes and elections may have to wait for. */
  #dropSurplus(): void {
    const runner = this.#runner;
    if (runner === undefined || !this.isLeader) return;
    const { voters } = runner.replica.members;
    const voting = this.#ownVoters;
    if (!this.#hosts.every((host) => voting.includes(host))) return;
    const surplus = voters.find((id) =>
      id !== runner.id && !this.#hosts.includes(log.replicaId.host(id))
    );
    if (surplus !== undefined) runner.remove(surplus);
  }

  /** Begins to lead, with the voters that there are: those that it knew of as
   * wanted may be of the time when its settings were written. */
  #lead(): void {
    if (!this.isLeader) return;
    const voters = this.#ownVoters;
    if (voters.length > 0) this.setDesiredVoters(voters);
    this.#options.onElected?.();
  }

  /** Starts the replica anew from what its disk holds. */
  async #restart(error: unknown, storage?: Storage): Promise<void> {
    const { clock, logger } = this.#options;
    this.#runner = undefined;
    logger.error({ err: error, retryMs: RESTART }, "Replica of the log failed");
    try {
      await storage?.close?.();
    } catch (cause) {
      logger.warn({ err: cause }, "Disk was not closed");
    }
    clock.after(RESTART, () => {
      if (!this.#stopped) void this.#start();
    });
  }

  /** Says so, time and again, while this host knows of no leader. */
  #watch(): void {
    const { clock, logger } = this.#options;
    clock.after(WATCH, () => {
      if (this.#stopped) return;
      if (this.leader === undefined) {
        logger.info({ ...this.status }, "Log without a leader");
      }
      this.#watch();
    });
  }

  get #ownVoters(): string[] {
    const { voters = [] } = this.#runner?.replica.members ?? {};
    return voters.map((id) => log.replicaId.host(id));
  }

  /** Leaders talk to members only: what a host without a vote hears itself, if
   * anything, is of the time when it had one. */
  get #newestLeadership(): schema.Leadership | undefined {
    const own = this.leadership;
    const told = this.#told.at(this.#options.clock.now());
    if (own === undefined || told === undefined) return own ?? told;
    return told.term > own.term ? told : own;
  }

  #noteApplied(index: number): void {
    const ready = this.#waiting.filter((each) => each.index <= index);
    this.#waiting = this.#waiting.filter((each) => each.index > index);
    ready.forEach(({ resolve }) => resolve());
    this.#noteMembers();
  }

  #noteMembers(): void {
    const members = this.#runner?.replica.members;
    if (members === undefined || members === this.#members) return;
    this.#members = members;
    const { leader } = this;
    this.#options.logger.info(
      { ...members, leader },
      "Members of the log changed",
    );
  }

  /** Waits until this host has applied an index. */
  #reach(index: number, patience: number): Promise<void> {
    const applied = this.#runner?.index ?? -1;
    if (applied >= index) return Promise.resolve();
    return new Promise((resolve, reject) => {
      const cancel = this.#options.clock.after(patience, () => {
        this.#waiting = this.#waiting.filter((each) => each !== entry);
        reject(new errors.StoreError("no-leader"));
      });
      const entry = {
        index,
        resolve() {
          cancel();
          resolve();
        },
      };
      this.#waiting.push(entry);
    });
  }

  /** Takes what a leader has confirmed. One of the release before tells no
   * version: the own replica has it soon. */
  async #take(
    { index, version, document, digest, evacuations }: schema.ConfirmedReply,
    patience: number,
  ): Promise<void> {
    this.#fetchedEvacuations = this.#fetchedEvacuations.merge(evacuations);
    if (version === undefined) return await this.#reach(index, patience);
    if (document === undefined || digest === undefined) return;
    if (version <= this.configuration.version) return;
    this.#fetched = { version, document, digest };
  }

  /** Confirms what is in force; tells it an asker that holds an older one. */
  async #confirmHere(known?: number): Promise<schema.Reply> {
    const runner = this.#runner;
    if (runner === undefined) return { type: "failed", reason: "stopped" };
    try {
      const index = await runner.readIndex();
      const { configuration: edition, evacuations: { list } } = runner.state;
      const { version } = edition;
      const confirmed = {
        type: "confirmed" as const,
        index,
        ...(list.length > 0 && { evacuations: list }),
      };
      if (known === undefined) return confirmed;
      return version > known
        ? { ...confirmed, ...edition }
        : { ...confirmed, version };
    } catch (error) {
      return failure(error);
    }
  }

  #replaceHere(
    { version, document, digest }: editions.ConfigurationVersion,
  ): Promise<schema.Reply> {
    const edition = { version, document, digest };
    return this.#propose((id) => machines.replaceCommand(id, edition));
  }

  #evacuateHere(
    { dataCentre, active, after, orderedAt }: evacuations.EvacuationCommand,
  ): Promise<schema.Reply> {
    const order = { dataCentre, active, after, orderedAt };
    return this.#propose((id) => machines.evacuateCommand(id, order));
  }

  async #propose(
    command: (id: string) => log.Command,
  ): Promise<schema.Reply> {
    const runner = this.#runner;
    if (runner === undefined) return { type: "failed", reason: "stopped" };
    const { self, clock } = this.#options;
    const id = `${self}/${Math.floor(clock.wall())}/${++this.#orders}`;
    try {
      return await runner.propose(command(id));
    } catch (error) {
      return failure(error);
    }
  }
}

function failure(error: unknown): schema.FailedReply {
  if (!(error instanceof log.LogError)) throw error;
  const reasons: Partial<Record<log.LogFault, schema.FailedReply["reason"]>> = {
    "not-leader": "not-leader",
    "no-quorum": "no-quorum",
    stopped: "stopped",
  };
  return { type: "failed", reason: reasons[error.kind] ?? "unknown" };
}
