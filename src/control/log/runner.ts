/** Runs a replica on the event loop: carries out its effects with the journal,
 * the state machine, the timer and the transport.
 * @module */

import * as crypto from "node:crypto";
import type * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/log_types.ts";
import validate from "../../schema/log_validators.ts";
import * as errors from "./errors.ts";
import * as journals from "./journal.ts";
import * as pauseDetectors from "./pause_detector.ts";
import * as pendingReads from "./pending_reads.ts";
import * as proposals from "./proposals.ts";
import * as replicaId from "./replica_id.ts";
import * as replicas from "./replica.ts";
import type * as runnerOptions from "./runner_options.ts";
import type * as states from "./state.ts";
import * as stateMachines from "./state_machine.ts";
import * as writers from "./writer.ts";

type Handler<T> = (effect: Extract<states.Effect, { type: T }>) => void;

/** A running replica. */
export class Runner<State, Reply> {
  readonly #options: runnerOptions.RunnerOptions<State, Reply>;
  readonly #writer: writers.Writer;
  readonly #pauseDetector: pauseDetectors.PauseDetector;
  readonly #counters: runnerOptions.Counters = {
    writes: 0,
    proposals: 0,
    commits: 0,
    sent: 0,
    received: 0,
    malformed: 0,
    pauses: 0,
  };
  #replica: replicas.Replica;
  #state: State;
  #index: number;
  #stopped = false;
  #cancelTimer: runtime.Cancel = () => {};
  #timerAt = Infinity;

  readonly #proposals = new proposals.Proposals<Reply>();
  readonly #reads = new pendingReads.PendingReads();
  /** Whether a round of heartbeats that confirms reads is scheduled. */
  #isRoundScheduled = false;

  private constructor(
    options: runnerOptions.RunnerOptions<State, Reply>,
    journal: journals.Journal,
  ) {
    const { clock, machine, hosts, random, timing, sizes, isBootstrap } =
      options;
    const { durable, id } = journal;
    const { snapshot } = durable;
    this.#options = options;
    this.#writer = new writers.Writer({
      journal,
      clock,
      onSynced: (write, durationMs) => {
        const { heartbeat } = this.#replica.state.timing;
        if (durationMs > heartbeat) options.onSlowWrite?.(durationMs);
        this.#handleSynced(write);
      },
      onFailure: (cause) => this.#fail("storage", cause),
    });
    this.#pauseDetector = new pauseDetectors.PauseDetector(clock);
    this.#state = stateMachines.restore(machine, snapshot?.data);
    this.#index = snapshot?.position.index ?? 0;
    const start = { id, hosts, random, durable, timing, sizes, isBootstrap };
    const now = clock.now();
    // The wall clock in milliseconds exceeds every term of a former log of these
    // hosts, because an election takes longer than a millisecond. So terms stay
    // unique per leader, also for endpoints that use them as fencing tokens.
    const minBootstrapTerm = Math.floor(clock.wall());
    this.#replica = replicas.Replica.create({
      ...start,
      now,
      minBootstrapTerm,
    });
  }

  /** Recovers the replica from its disk and starts it. */
  static async start<State, Reply>(
    options: runnerOptions.RunnerOptions<State, Reply>,
  ): Promise<Runner<State, Reply>> {
    const { host, storage } = options;
    const incarnation = options.incarnation ??
      crypto.randomBytes(4).toString("hex");
    const journal = await journals.Journal.open(storage, { host, incarnation });
    const runner = new Runner(options, journal);
    runner.#armTimer();
    return runner;
  }

  /** State of the local state machine, which may lag behind the leader's. */
  get state(): State {
    return this.#state;
  }

  /** Index of the last entry applied to `state`. */
  get index(): number {
    return this.#index;
  }

  get id(): schema.ReplicaId {
    return this.#replica.id;
  }

  get term(): number {
    return this.#replica.state.term;
  }

  get counters(): Readonly<runnerOptions.Counters> {
    return { ...this.#counters, writes: this.#writer.writes };
  }

  /** Host of the leader, if known. */
  get leader(): string | undefined {
    const { leader } = this.#replica.state;
    return leader === undefined ? undefined : replicaId.host(leader);
  }

  /** Current value of the replica, for state dumps and tests. */
  get replica(): replicas.Replica {
    return this.#replica;
  }

  /** Whether this host is leader and holds its lease now. */
  leaseHeld(): boolean {
    const now = this.#now();
    return !this.#stopped && this.#replica.leaseHeld(now);
  }

  /** Returns the state for a linearizable read under the leader lease; throws on
   * any other host and without a lease. */
  read(): State {
    if (!this.#stopped && this.#replica.isReadable(this.#now())) {
      return this.#state;
    }
    throw this.#errorOf(
      this.#replica.state.role === "leader" ? "no-quorum" : "not-leader",
    );
  }

  /** Resolves with the index of the log that a state must have applied to serve
   * a linearizable read. Does not depend on clocks: a majority has answered
   * messages that were sent after the call. */
  readIndex(): Promise<number> {
    return new Promise((resolve, reject) => {
      const isLeader = this.#replica.state.role === "leader";
      if (this.#stopped) return reject(this.#errorOf("stopped"));
      if (!isLeader) return reject(this.#errorOf("not-leader"));
      this.#reads.add({
        time: Math.floor(this.#now()) + 1,
        index: this.#replica.state.commit,
        resolve,
        reject,
      });
      this.#scheduleReadRound();
    });
  }

  /** Commits a command and resolves with the state machine's reply. After a
   * `LogError` of any kind but `unknown` the command has no effect. */
  propose(command: schema.Command): Promise<Reply> {
    return new Promise((resolve, reject) => {
      if (this.#stopped) return reject(this.#errorOf("stopped"));
      const isFirst = this.#proposals.add({ command, resolve, reject });
      // Commands that arrive during a write are batched into the next one.
      if (isFirst && !this.#writer.isBusy) queueMicrotask(() => this.#flush());
    });
  }

  /** Handles a message from another host. */
  receive(envelope: runtime.Envelope): void {
    if (this.#stopped) return;
    this.#counters.received++;
    if (!validate(envelope.body)) {
      this.#counters.malformed++;
      return;
    }
    const body = envelope.body as schema.LogMessage;
    this.#handle({ type: "message", host: envelope.from, body });
  }

  /** Transfers leadership to another voter before a shutdown. */
  transferLeadership(): void {
    this.#handle({ type: "transfer" });
  }

  /** Removes a replica that will not return. */
  remove(id: schema.ReplicaId): void {
    this.#handle({ type: "remove", id });
  }

  /** Sets the hosts that the settings configure as voters. */
  setDesiredVoters(hosts: readonly string[]): void {
    this.#handle({ type: "hosts", hosts });
  }

  /** Sets the other hosts that may run a replica. A replica that is no member
   * also probes these to be added. */
  setKnownHosts(hosts: readonly string[]): void {
    this.#handle({ type: "contacts", hosts });
  }

  /** Stops the replica and rejects all pending proposals and reads. */
  stop(): void {
    this.#stopped = true;
    this.#cancelTimer();
    this.#proposals.rejectWaiting(this.#errorOf("stopped"));
    this.#proposals.rejectAppended(this.#errorOf("unknown"));
    this.#reads.reject(this.#errorOf("stopped"));
  }

  /** Schedules rounds of heartbeats while reads are pending. At most one round is
   * scheduled; it serves all reads that arrive before it, even if those that it
   * was scheduled for have already been answered. */
  #scheduleReadRound(): void {
    if (this.#isRoundScheduled) return;
    this.#isRoundScheduled = true;
    this.#options.clock.after(pendingReads.READ_ROUND_MS, () => {
      this.#isRoundScheduled = false;
      if (this.#stopped) return;
      this.#reads.expire(this.#now(), this.#errorOf("no-quorum"));
      if (this.#reads.size === 0) return;
      this.#handle({ type: "confirm" });
      this.#scheduleReadRound();
    });
  }

  #settleReads(): void {
    if (this.#reads.size === 0) return;
    if (this.#replica.state.role === "leader") {
      this.#reads.resolveConfirmed(this.#replica);
    } else this.#reads.reject(this.#errorOf("not-leader"));
  }

  #handle(event: states.Event): void {
    if (this.#stopped) return;
    try {
      this.#step(event, this.#now());
    } catch (cause) {
      return this.#fail("contradiction", cause);
    }
    this.#settleReads();
    this.#armTimer();
    void this.#writer.flush();
  }

  #step(event: states.Event, now: number): void {
    const { replica, effects } = this.#replica.step(event, now);
    this.#replica = replica;
    for (const effect of effects) {
      (this.#handlers[effect.type] as Handler<string>)(effect as never);
    }
  }

  /** Reads the clock, and reports a detected pause to the replica. */
  #now(): number {
    const now = this.#options.clock.now();
    if (!this.#stopped && this.#pauseDetector.hasPaused()) {
      this.#counters.pauses++;
      this.#step({ type: "resumed" }, now);
    }
    return now;
  }

  readonly #handlers: { [T in states.Effect["type"]]: Handler<T> } = {
    send: ({ to, body }) => {
      this.#counters.sent++;
      const { host, transport } = this.#options;
      const envelope = { from: host, to: replicaId.host(to), body };
      transport.send({ ...envelope, channel: "log" });
    },
    persist: ({ write, record }) => this.#writer.add(write, record),
    apply: ({ entries }) => this.#apply(entries),
    restore: ({ snapshot }) => {
      this.#state = stateMachines.restore(this.#options.machine, snapshot.data);
      this.#index = snapshot.position.index;
      this.#options.onChange?.(this.#state, this.#index);
    },
    appended: ({ index, term }) => {
      this.#proposals.append(index, term);
    },
    reject: ({ reason }) => this.#proposals.rejectTaken(this.#errorOf(reason)),
    role: ({ role, term, leader }) => {
      if (role !== "leader") {
        this.#proposals.rejectAppended(this.#errorOf("unknown"));
      }
      this.#options.onRole?.(role, term, { leader });
    },
    "vote-decision": ({ decision }) => this.#options.onVoteDecision?.(decision),
    "election-timeout": ({ timeout }) =>
      this.#options.onElectionTimeout?.(timeout),
    "need-snapshot": ({ index }) => {
      const { machine } = this.#options;
      const data = JSON.stringify(machine.toJSON(this.#state));
      // The step that requests the snapshot has not completed yet.
      queueMicrotask(() => this.#handle({ type: "snapshot", index, data }));
    },
  };

  #apply(entries: readonly schema.Entry[]): void {
    for (const { index, term, command } of entries) {
      this.#index = index;
      if (command === undefined) continue;
      const { machine } = this.#options;
      const { state, reply } = machine.apply(this.#state, command, index);
      this.#state = state;
      this.#counters.commits++;
      this.#proposals.resolve({ index, term }, reply);
    }
    this.#options.onChange?.(this.#state, this.#index);
  }

  #flush(): void {
    const commands = this.#proposals.take();
    if (commands.length === 0) return;
    this.#counters.proposals += commands.length;
    this.#handle({ type: "propose", commands });
  }

  #handleSynced(write: number): void {
    this.#handle({ type: "synced", write });
    this.#flush();
  }

  /** If the current write takes as long as an election timeout, rejects waiting
   * proposals and transfers leadership. */
  #checkStall(): void {
    if (
      this.#writer.currentWriteMs <
        this.#replica.state.timing.maxElectionTimeout
    ) return;
    this.#proposals.rejectWaiting(this.#errorOf("no-quorum"));
    this.#handle({ type: "transfer" });
  }

  /** Stops permanently after a failed write or an inconsistency, because the
   * replica must not act on state that is not durable or not consistent. */
  #fail(kind: errors.LogFault, cause: unknown): void {
    if (this.#stopped) return;
    this.stop();
    const failure = errors.LogError.ofKind(kind, this.leader, { cause });
    this.#options.onFailure?.(failure);
  }

  #armTimer(): void {
    const { clock } = this.#options;
    const { wakeAt } = this.#replica;
    if (this.#stopped || this.#timerAt <= wakeAt) return;
    this.#cancelTimer();
    this.#timerAt = wakeAt;
    const delay = Math.ceil(wakeAt - clock.now());
    this.#cancelTimer = clock.after(Math.max(0, delay), () => {
      this.#timerAt = Infinity;
      this.#handle({ type: "tick" });
      this.#checkStall();
      this.#armTimer();
    });
  }

  #errorOf(kind: errors.LogFault): errors.LogError {
    return errors.LogError.ofKind(kind, this.leader);
  }
}
