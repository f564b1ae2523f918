/** A host with a disk: a replica of the log, which publishes the table and
 * takes the commands of other hosts.
 * @module */

import * as runtime from "../../runtime/mod.ts";
import type * as command from "../../schema/command_types.ts";
import type * as control from "../../schema/control_types.ts";
import type * as edits from "../../schema/table_types.ts";
import type * as schema from "../../schema/watch_types.ts";
import type * as telemetry from "../../telemetry/mod.ts";
import * as log from "../log/mod.ts";
import type * as orders from "../orders/mod.ts";
import * as table from "../table/mod.ts";
import * as watch from "../watch/mod.ts";

/** Milliseconds between looks at the lease, and at the first rows. */
const LOOK = 200;

/** What a voter needs of its host. */
export interface VoterOptions {
  self: string;
  /** Hosts that the settings name as voters. */
  voters: readonly string[];
  clock: runtime.Clock;
  random: runtime.Random;
  transport: runtime.Transport;
  storage: runtime.Storage;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
  /** Edits that fill an empty table. */
  initialEdits: readonly edits.Edit[];
  /** The journal failed: the host must not go on as a voter. */
  onFailure(failure: Error): void;
}

/** Runs the replicated log on this host. */
export class Voter {
  readonly #options: VoterOptions;
  readonly #commands: watch.CommandServer;
  readonly #alarm: runtime.Timer;
  readonly #look: runtime.Timer;
  #runner!: log.Runner<table.State, table.Reply>;
  #publisher = watch.Publisher.create(table.Table.create());
  #editions: table.Table[] = [];
  #written: (readonly table.CellWrite[])[] = [];
  #timekeeper = table.CommandClock.create(0, 0);
  #seeded = false;
  #members: log.Replica["members"] | undefined;

  private constructor(options: VoterOptions) {
    const { clock } = options;
    this.#options = options;
    this.#commands = watch.CommandServer.create({
      propose: (command) => this.#propose(command),
      commandTime: () => this.#timekeeper.at(clock.now()),
      send: (to, body) => this.#send("control", to, body),
    });
    this.#alarm = runtime.Timer.create(
      clock,
      () => this.#publish({ type: "tick" }),
    );
    this.#look = runtime.Timer.create(clock, () => this.#lookAround());
  }

  /** Reads the disk and takes part from then on. */
  static async start(options: VoterOptions): Promise<Voter> {
    const voter = new Voter(options);
    const { self, voters, clock, random, transport, storage } = options;
    voter.#runner = await log.Runner.start<table.State, table.Reply>({
      host: self,
      hosts: voters,
      machine: voter.#machine(),
      clock,
      random,
      transport,
      storage,
      onChange: (state) => voter.#takeState(state),
      onRole: (role, term, { leader }) =>
        voter.#takeRole({ role, term, leader }),
      onFailure: (failure) => options.onFailure(failure),
    });
    voter.#takeState(voter.#runner.state);
    voter.#lookAround();
    return voter;
  }

  /** Whether this host leads and its lease lasts at this very moment. */
  leaseHeld(): boolean {
    return this.#runner.leaseHeld();
  }

  /** Term of the log, which fences the orders of earlier leaders. */
  get term(): number {
    return this.#runner.term;
  }

  /** The lease as it is at this very moment; undefined without one. */
  lease(): orders.Lease | undefined {
    if (!this.#runner.leaseHeld()) return undefined;
    const { leaseUntil, state } = this.#runner.replica;
    return { token: state.term, since: state.electedAt, until: leaseUntil };
  }

  /** Whether the replica is in touch with the quorum. */
  get current(): boolean {
    const { leader } = this.#runner;
    if (leader === this.#options.self) return this.#runner.leaseHeld();
    return leader !== undefined;
  }

  /** Takes a message of another replica. */
  receiveLog(envelope: runtime.Envelope): void {
    this.#runner.receive(envelope);
  }

  /** Takes a message of a host that watches. */
  receiveWatch(from: string, body: schema.Message): void {
    this.#publish({ type: "message", from, body });
  }

  /** Takes a command of another host, or of this one. */
  receiveForward(from: string, body: control.Forward): void {
    void this.#commands.receive(from, body);
  }

  /** Hands leadership over, before a stop. */
  transferLeadership(): void {
    this.#runner.transferLeadership();
  }

  /** Takes no further part. */
  stop(): void {
    this.#alarm.cancel();
    this.#look.cancel();
    this.#runner.stop();
  }

  /** State for people. */
  dump(): unknown {
    const { index, counters, replica } = this.#runner;
    const now = this.#options.clock.now();
    const { operations, claims } = this.#runner.state;
    return {
      log: { ...log.dump(replica, now), index, counters },
      leaseHeld: this.leaseHeld(),
      operations: operations.size,
      claims: { count: claims.size, answerBytes: claims.bytes },
      publisher: this.#publisher.dump(),
    };
  }

  /** The machine, which notes what each command writes for watchers. */
  #machine(): log.StateMachine<table.State, table.Reply> {
    const machine = table.createStateMachine();
    return {
      empty: machine.empty,
      toJSON: (state) => machine.toJSON(state),
      fromJSON: (json) => machine.fromJSON(json as table.StateJSON),
      apply: (state, entry) => {
        const step = machine.apply(state, entry as unknown as command.Command);
        this.#note(step.state);
        return step;
      },
    };
  }

  #note({ table, written }: table.State): void {
    if (written.length === 0) return;
    this.#editions.push(table);
    this.#written.push(written);
  }

  #takeState(state: table.State): void {
    const [editions, written] = [this.#editions, this.#written];
    this.#editions = [];
    this.#written = [];
    editions.forEach((table, pos) =>
      this.#publish({ type: "commit", table, written: written[pos] })
    );
    // After a restore the table has moved without an edit; else nothing is new.
    this.#publish({ type: "commit", table: state.table });
  }

  #takeRole(
    { role, term, leader }: { role: string; term: number; leader?: string },
  ): void {
    const { clock, logger, metrics } = this.#options;
    if (role === "leader") {
      const { now } = this.#runner.state;
      this.#timekeeper = table.CommandClock.create(now, clock.now());
    }
    metrics.gauge("log.leading", role === "leader" ? 1 : 0);
    logger.info({ role, term, leader }, "role in the log changed");
    this.#publishStatus();
  }

  #lookAround(): void {
    this.#look.set(this.#options.clock.now() + LOOK);
    this.#publishStatus();
    this.#noteMembers();
    if (!this.#seeded && this.leaseHeld()) void this.#seed();
  }

  /** Says which host changed the set of voters, and to what. */
  #noteMembers(): void {
    const { members, state: { term } } = this.#runner.replica;
    if (members === this.#members) return;
    this.#members = members;
    const { leader } = this.#runner;
    this.#options.logger.info(
      { ...members, leader, term },
      "members of the log changed",
    );
  }

  /** Fills an empty table; the operation ids keep it from being done twice. */
  async #seed(): Promise<void> {
    this.#seeded = true;
    try {
      const { revision } = this.#runner.read().table;
      if (revision > 0) return;
      for (const edit of this.#options.initialEdits) {
        await this.#propose({
          type: "edit",
          id: `${this.#options.self}/${edit.operation}`,
          at: this.#timekeeper.at(this.#options.clock.now()),
          edit: edit as unknown as Record<string, unknown>,
        });
      }
    } catch (error) {
      if (!(error instanceof log.LogError)) throw error;
      this.#seeded = false;
    }
  }

  #propose(entry: command.Command): Promise<table.Reply> {
    this.#options.metrics.count("log.appended");
    return this.#runner.propose(entry as unknown as log.Command);
  }

  #publishStatus(): void {
    const { leader } = this.#runner;
    this.#publish({ type: "status", current: this.current, leader });
  }

  #publish(event: watch.PublisherEvent): void {
    const now = this.#options.clock.now();
    const { publisher, effects } = this.#publisher.step(event, now);
    this.#publisher = publisher;
    for (const effect of effects) {
      if (effect.type === "wake") this.#alarm.set(effect.at);
      else this.#send("watch", effect.to, effect.body);
    }
  }

  #send(channel: runtime.Channel, to: string, body: object): void {
    const { self, transport } = this.#options;
    transport.send({ from: self, to, channel, body });
  }
}
