/** Thin shell of a replica: drives it and its journal and state machine over
 * clock, transport and storage, on one loop.
 * @module */

import * as crypto from "node:crypto";
import type * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/log_types.ts";
import validate from "../../schema/log_validators.ts";
import * as errors from "./errors.ts";
import * as journals from "./journal.ts";
import * as machines from "./state_machine.ts";
import * as pauses from "./pause_detector.ts";
import * as proposals from "./proposals.ts";
import * as reads from "./pending_reads.ts";
import * as replicaId from "./replica_id.ts";
import * as replicas from "./replica.ts";
import type * as shell from "./runner_options.ts";
import type * as states from "./state.ts";
import * as writers from "./writer.ts";

type Handler<T> = (effect: Extract<states.Effect, { type: T }>) => void;

/** A running replica. */
export class Runner<State, Reply> {
  readonly #options: shell.RunnerOptions<State, Reply>;
  readonly #writer: writers.Writer;
  readonly #pause: pauses.PauseDetector;
  readonly #counters: shell.Counters = {
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
  #cancel: runtime.Cancel = () => {};
  #timerAt = Infinity;

  readonly #proposals = new proposals.Proposals<Reply>();
  readonly #reads = new reads.PendingReads();
  /** Whether a round that confirms reads is due. */
  #isAsking = false;

  private constructor(
    options: shell.RunnerOptions<State, Reply>,
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
      onSynced: (write) => this.#takeSynced(write),
      onFailure: (cause) => this.#fail("storage", cause),
    });
    this.#pause = new pauses.PauseDetector(clock);
    this.#state = machines.restore(machine, snapshot?.data);
    this.#index = snapshot?.position.index ?? 0;
    const start = { id, hosts, random, durable, timing, sizes, isBootstrap };
    const now = clock.now();
    // Whatever a former log of these hosts came to, no election is as short as
    // a millisecond: a term names one leader, also for endpoints that fence.
    const foundingTerm = Math.floor(clock.wall());
    this.#replica = replicas.Replica.create({
      ...start,
      now,
      minBootstrapTerm: foundingTerm,
    });
  }

  /** Reads the disk and takes part from then on. */
  static async start<State, Reply>(
    options: shell.RunnerOptions<State, Reply>,
  ): Promise<Runner<State, Reply>> {
    const { host, storage } = options;
    const incarnation = options.incarnation ??
      crypto.randomBytes(4).toString("hex");
    const journal = await journals.Journal.open(storage, { host, incarnation });
    const runner = new Runner(options, journal);
    runner.#arm();
    return runner;
  }

  /** State of the state machine here, which may lag behind the leader's. */
  get state(): State {
    return this.#state;
  }

  /** Index of the last command applied to `state`. */
  get index(): number {
    return this.#index;
  }

  get id(): schema.ReplicaId {
    return this.#replica.id;
  }

  get term(): number {
    return this.#replica.state.term;
  }

  get counters(): Readonly<shell.Counters> {
    return { ...this.#counters, writes: this.#writer.writes };
  }

  /** Host of the leader, where it is known. */
  get leader(): string | undefined {
    const { leader } = this.#replica.state;
    return leader === undefined ? undefined : replicaId.host(leader);
  }

  /** The replica as it is now, for a dump of the state and for tests. */
  get replica(): replicas.Replica {
    return this.#replica;
  }

  /** Whether this host leads and its lease lasts at this very moment. */
  leaseHeld(): boolean {
    const now = this.#now();
    return !this.#stopped && this.#replica.leaseHeld(now);
  }

  /** State that has all that was accepted before the call; on the leader. */
  read(): State {
    if (!this.#stopped && this.#replica.isReadable(this.#now())) {
      return this.#state;
    }
    throw this.#refusal(
      this.#replica.state.role === "leader" ? "no-quorum" : "not-leader",
    );
  }

  /** Resolves with an index of the log: a state that has it applied has all
   * that was accepted anywhere before the call. Needs no clock to be right: a
   * majority answers messages that were sent after the call. */
  readIndex(): Promise<number> {
    return new Promise((resolve, reject) => {
      const isLeader = this.#replica.state.role === "leader";
      if (this.#stopped) return reject(this.#refusal("stopped"));
      if (!isLeader) return reject(this.#refusal("not-leader"));
      this.#reads.add({
        time: Math.floor(this.#now()) + 1,
        index: this.#replica.state.commit,
        resolve,
        reject,
      });
      this.#askSoon();
    });
  }

  /** Commits a command; resolves with what the state machine replies. A
   * `LogError` of any kind but `unknown` says that it has no effect. */
  propose(command: schema.Command): Promise<Reply> {
    return new Promise((resolve, reject) => {
      if (this.#stopped) return reject(this.#refusal("stopped"));
      const isFirst = this.#proposals.add({ command, resolve, reject });
      // While a write runs, commands gather; they go out with the next.
      if (isFirst && !this.#writer.isBusy) queueMicrotask(() => this.#flush());
    });
  }

  /** Takes a message of another host. */
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

  /** Hands leadership over, before a stop. */
  transferLeadership(): void {
    this.#handle({ type: "transfer" });
  }

  /** Takes out a replica that will not come back. */
  remove(id: schema.ReplicaId): void {
    this.#handle({ type: "remove", id });
  }

  /** Follows settings that name other voters. */
  setDesiredVoters(hosts: readonly string[]): void {
    this.#handle({ type: "hosts", hosts });
  }

  /** Names other hosts that may hold a replica: one that is no member asks
   * them too to be taken in. */
  setKnownHosts(hosts: readonly string[]): void {
    this.#handle({ type: "contacts", hosts });
  }

  /** Takes no further part; what is open is answered at once. */
  stop(): void {
    this.#stopped = true;
    this.#cancel();
    this.#proposals.rejectWaiting(this.#refusal("stopped"));
    this.#proposals.rejectAppended(this.#refusal("unknown"));
    this.#reads.reject(this.#refusal("stopped"));
  }

  /** Asks the majority while reads wait. A round that is due serves whoever comes
   * before it, also where none waits any more of those that it was meant for. */
  #askSoon(): void {
    if (this.#isAsking) return;
    this.#isAsking = true;
    this.#options.clock.after(reads.READ_ROUND_MS, () => {
      this.#isAsking = false;
      if (this.#stopped) return;
      this.#reads.expire(this.#now(), this.#refusal("no-quorum"));
      if (this.#reads.size === 0) return;
      this.#handle({ type: "confirm" });
      this.#askSoon();
    });
  }

  #settleReads(): void {
    if (this.#reads.size === 0) return;
    if (this.#replica.state.role === "leader") {
      this.#reads.settle(this.#replica);
    } else this.#reads.reject(this.#refusal("not-leader"));
  }

  #handle(event: states.Event): void {
    if (this.#stopped) return;
    try {
      this.#step(event, this.#now());
    } catch (cause) {
      return this.#fail("contradiction", cause);
    }
    this.#settleReads();
    this.#arm();
    void this.#writer.flush();
  }

  #step(event: states.Event, now: number): void {
    const { replica, effects } = this.#replica.step(event, now);
    this.#replica = replica;
    for (const effect of effects) {
      (this.#handlers[effect.type] as Handler<string>)(effect as never);
    }
  }

  /** Reads the clock; tells the replica of time that it did not count. */
  #now(): number {
    const now = this.#options.clock.now();
    if (!this.#stopped && this.#pause.hasPaused()) {
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
      this.#state = machines.restore(this.#options.machine, snapshot.data);
      this.#index = snapshot.position.index;
      this.#options.onChange?.(this.#state, this.#index);
    },
    appended: ({ index, term }) => {
      this.#proposals.append(index, term);
    },
    reject: ({ reason }) => this.#proposals.rejectTaken(this.#refusal(reason)),
    role: ({ role, term, leader }) => {
      if (role !== "leader") {
        this.#proposals.rejectAppended(this.#refusal("unknown"));
      }
      this.#options.onRole?.(role, term, { leader });
    },
    "need-snapshot": ({ index }) => {
      const { machine } = this.#options;
      const data = JSON.stringify(machine.toJSON(this.#state));
      // The step that asks is not over yet.
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

  #takeSynced(write: number): void {
    this.#handle({ type: "synced", write });
    this.#flush();
  }

  /** A disk that does not answer must not keep proposals waiting. */
  #noticeStall(): void {
    if (
      this.#writer.currentWriteMs <
        this.#replica.state.timing.maxElectionTimeout
    ) return;
    this.#proposals.rejectWaiting(this.#refusal("no-quorum"));
    this.#handle({ type: "transfer" });
  }

  /** Stops for good: what cannot be written, or contradicts itself, must not
   * be acted on. */
  #fail(kind: errors.LogFault, cause: unknown): void {
    if (this.#stopped) return;
    this.stop();
    const failure = errors.LogError.ofKind(kind, this.leader, { cause });
    this.#options.onFailure?.(failure);
  }

  #arm(): void {
    const { clock } = this.#options;
    const { wakeAt } = this.#replica;
    if (this.#stopped || this.#timerAt <= wakeAt) return;
    this.#cancel();
    this.#timerAt = wakeAt;
    const delay = Math.ceil(wakeAt - clock.now());
    this.#cancel = clock.after(Math.max(0, delay), () => {
      this.#timerAt = Infinity;
      this.#handle({ type: "tick" });
      this.#noticeStall();
      this.#arm();
    });
  }

  #refusal(kind: errors.LogFault): errors.LogError {
    return errors.LogError.ofKind(kind, this.leader);
  }
}
