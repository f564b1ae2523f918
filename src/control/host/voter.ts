/** The voter on a host with a disk: runs a replica of the log, publishes the
 * table and proposes the commands that other hosts forward.
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

/** Time between checks of the lease, of the members of the log and of whether
 * the initial edits are due. */
const POLL_INTERVAL_MS = 200;

/** Options of a `Voter`. */
export interface VoterOptions {
  self: string;
  /** Hosts that are voters according to the settings. */
  voters: readonly string[];
  clock: runtime.Clock;
  random: runtime.Random;
  transport: runtime.Transport;
  storage: runtime.Storage;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
  /** Edits that are applied to an empty table. */
  initialEdits: readonly edits.Edit[];
  /** Called when the journal has failed: the host must not continue as a
   * voter. */
  onFailure(failure: Error): void;
}

/** A replica of the log on this host. */
export class Voter {
  readonly #options: VoterOptions;
  readonly #commands: watch.CommandServer;
  readonly #publishTimer: runtime.Timer;
  readonly #pollTimer: runtime.Timer;
  #runner!: log.Runner<table.State, table.Reply>;
  #publisher = watch.Publisher.create(table.Table.create());
  #appliedTables: table.Table[] = [];
  #appliedWrites: (readonly table.CellWrite[])[] = [];
  #commandClock = table.CommandClock.create(0, 0);
  #seeded = false;
  #members: log.Replica["members"] | undefined;

  private constructor(options: VoterOptions) {
    const { clock } = options;
    this.#options = options;
    this.#commands = watch.CommandServer.create({
      propose: (command) => this.#propose(command),
      commandTime: () => this.#commandClock.at(clock.now()),
      send: (to, body) => this.#send("control", to, body),
    });
    this.#publishTimer = runtime.Timer.create(
      clock,
      () => this.#publish({ type: "tick" }),
    );
    this.#pollTimer = runtime.Timer.create(clock, () => this.#poll());
  }

  /** Starts a replica from the state on its disk. */
  static async start(options: VoterOptions): Promise<Voter> {
    const voter = new Voter(options);
    const { self, voters, clock, random, transport, storage } = options;
    voter.#runner = await log.Runner.start<table.State, table.Reply>({
      host: self,
      hosts: voters,
      machine: voter.#createStateMachine(),
      clock,
      random,
      transport,
      storage,
      onChange: (state) => voter.#publishState(state),
      onRole: (role, term, { leader }) =>
        voter.#handleRole({ role, term, leader }),
      onFailure: (failure) => options.onFailure(failure),
    });
    voter.#publishState(voter.#runner.state);
    voter.#poll();
    return voter;
  }

  /** Whether this host is the leader and its lease is valid now. */
  leaseHeld(): boolean {
    return this.#runner.leaseHeld();
  }

  /** Term of the log, which fences orders of earlier leaders. */
  get term(): number {
    return this.#runner.term;
  }

  /** The leader lease of this host; undefined when it holds none now. */
  lease(): orders.Lease | undefined {
    if (!this.#runner.leaseHeld()) return undefined;
    const { leaseUntil, state } = this.#runner.replica;
    return { token: state.term, since: state.electedAt, until: leaseUntil };
  }

  /** Whether the replica is in contact with the quorum. */
  get current(): boolean {
    const { leader } = this.#runner;
    if (leader === this.#options.self) return this.#runner.leaseHeld();
    return leader !== undefined;
  }

  /** Handles a message of another replica. */
  receiveLog(envelope: runtime.Envelope): void {
    this.#runner.receive(envelope);
  }

  /** Handles a message of a subscriber. */
  receiveWatch(from: string, body: schema.Message): void {
    this.#publish({ type: "message", from, body });
  }

  /** Handles a command that another host or this one forwards. */
  receiveForward(from: string, body: control.Forward): void {
    void this.#commands.receive(from, body);
  }

  /** Transfers leadership to another voter, before a stop. */
  transferLeadership(): void {
    this.#runner.transferLeadership();
  }

  /** Stops the replica and the timers. */
  stop(): void {
    this.#publishTimer.cancel();
    this.#pollTimer.cancel();
    this.#runner.stop();
  }

  /** Returns the state for a dump. */
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

  /** Creates the state machine of the log, which also records the cells that
   * each command writes, for the publisher. */
  #createStateMachine(): log.StateMachine<table.State, table.Reply> {
    const machine = table.createStateMachine();
    return {
      empty: machine.empty,
      toJSON: (state) => machine.toJSON(state),
      fromJSON: (json) => machine.fromJSON(json as table.StateJSON),
      apply: (state, entry) => {
        const step = machine.apply(state, entry as unknown as command.Command);
        this.#recordWrites(step.state);
        return step;
      },
    };
  }

  #recordWrites({ table, written }: table.State): void {
    if (written.length === 0) return;
    this.#appliedTables.push(table);
    this.#appliedWrites.push(written);
  }

  #publishState(state: table.State): void {
    const [tables, written] = [this.#appliedTables, this.#appliedWrites];
    this.#appliedTables = [];
    this.#appliedWrites = [];
    tables.forEach((table, pos) =>
      this.#publish({ type: "commit", table, written: written[pos] })
    );
    // Restoring a snapshot changes the table without an edit. In any other case
    // the publisher has this revision already.
    this.#publish({ type: "commit", table: state.table });
  }

  #handleRole(
    { role, term, leader }: { role: string; term: number; leader?: string },
  ): void {
    const { clock, logger, metrics } = this.#options;
    if (role === "leader") {
      const { now } = this.#runner.state;
      this.#commandClock = table.CommandClock.create(now, clock.now());
    }
    metrics.gauge("log.leading", role === "leader" ? 1 : 0);
    logger.info({ role, term, leader }, "role in the log changed");
    this.#publishStatus();
  }

  #poll(): void {
    this.#pollTimer.set(this.#options.clock.now() + POLL_INTERVAL_MS);
    this.#publishStatus();
    this.#logMembers();
    if (!this.#seeded && this.leaseHeld()) void this.#seed();
  }

  /** Logs a change of the members together with the leader that made it. */
  #logMembers(): void {
    const { members, state: { term } } = this.#runner.replica;
    if (members === this.#members) return;
    this.#members = members;
    const { leader } = this.#runner;
    this.#options.logger.info(
      { ...members, leader, term },
      "members of the log changed",
    );
  }

  /** Applies the initial edits to an empty table. Their operation ids keep them
   * from being applied twice. */
  async #seed(): Promise<void> {
    this.#seeded = true;
    try {
      const { revision } = this.#runner.read().table;
      if (revision > 0) return;
      for (const edit of this.#options.initialEdits) {
        await this.#propose({
          type: "edit",
          id: `${this.#options.self}/${edit.operation}`,
          at: this.#commandClock.at(this.#options.clock.now()),
          edit: edit as unknown as Record<string, unknown>,
        });
      }
    } catch (error) {
      if (!(error instanceof log.LogError)) throw error;
      this.#seeded = false;
    }
  }

  #propose(proposed: command.Command): Promise<table.Reply> {
    this.#options.metrics.count("log.appended");
    return this.#runner.propose(proposed as unknown as log.Command);
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
      if (effect.type === "wake") this.#publishTimer.set(effect.at);
      else this.#send("watch", effect.to, effect.body);
    }
  }

  #send(channel: runtime.Channel, to: string, body: object): void {
    const { self, transport } = this.#options;
    transport.send({ from: self, to, channel, body });
  }
}
