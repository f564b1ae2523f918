/** Control as one host has it: the table in force, edits, claims and, on a
 * host with a disk, a replica of the log.
 * @module */

import * as crypto from "node:crypto";
import type * as runtime from "../../runtime/mod.ts";
import type * as control from "../../schema/control_types.ts";
import type * as schema from "../../schema/table_types.ts";
import type * as watching from "../../schema/watch_types.ts";
import type * as telemetry from "../../telemetry/mod.ts";
import type * as orders from "../orders/mod.ts";
import type * as table from "../table/mod.ts";
import * as watch from "../watch/mod.ts";
import * as claimKeepers from "./claim_client.ts";
import * as commandClients from "./command_client.ts";
import * as errors from "./errors.ts";
import * as followers from "./table_watcher.ts";
import * as events from "./table_event.ts";
import * as voters from "./voter.ts";

/** Milliseconds that an edit may take before its outcome is unknown. */
const EDIT_TIMEOUT = 4_000;

/** Milliseconds over which a start is announced to the log. */
const RETIRE_TIMEOUT = 5_000;

/** What hosts that watch say to a publisher. */
const REQUESTS: ReadonlySet<string> = new Set(["subscribe", "leave"]);

/** Milliseconds that a stop waits for settlements: longer than a change of
 * leader. */
const FINISH_TIMEOUT = 3_000;

/** What control needs of its host. */
export interface ControlOptions {
  self: string;
  /** Wall clock of the start: grows with each, unless it was set back. */
  incarnation: number;
  /** Hosts that the settings name as voters. */
  voters: readonly string[];
  /** Hosts that watch voters and serve the table to others. */
  observers?: readonly string[];
  clock: runtime.Clock;
  random: runtime.Random;
  transport: followers.Transport;
  /** The data folder; present on a voter. */
  storage?: runtime.Storage;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
  /** Edits that fill an empty table. */
  initialEdits: readonly schema.Edit[];
  /** The journal of this voter failed. */
  onFailure(failure: Error): void;
}

/** Answer to an edit, or why there is none. */
export type EditResult =
  | table.Answer
  | { type: "unavailable"; outcome: "not-run" | "unknown"; detail: string };

/** Control at one host. */
export class Control {
  /** Claims for the request path. */
  readonly claims: claimKeepers.ClaimClient;
  readonly #options: ControlOptions;
  readonly #commands: commandClients.CommandClient;
  readonly #follower: followers.TableWatcher;
  readonly #watchers = new Set<events.TableListener>();
  #voter: voters.Voter | undefined;
  /** Revision that this host had to reach when it started; unknown at first. */
  #barrier = Infinity;
  #passBarrier = () => {};
  /** Incarnation for the claims of this run, once the log has said it. */
  #counting: number | undefined;

  private constructor(options: ControlOptions) {
    this.#options = options;
    const { self, voters, observers = [] } = options;
    this.#commands = commandClients.CommandClient.create(options);
    this.#follower = followers.TableWatcher.create({
      ...options,
      publishers: watch.publisherOrder(self, { voters, observers }),
      observer: observers.includes(self),
      onTable: (_, written) => this.#takeTable(written),
      onStatus: (status) => this.#takeStatus(status),
    });
    this.claims = claimKeepers.ClaimClient.create({
      ...options,
      announce: (timeout) => this.#announce(timeout),
      propose: (command, timeout) => this.#commands.propose(command, timeout),
    });
  }

  /** Control that does nothing before `start`. */
  static create(options: ControlOptions): Control {
    return new Control(options);
  }

  /** Reads the disk, if there is one, and begins to follow the table. */
  async start(): Promise<void> {
    const { storage } = this.#options;
    if (storage !== undefined) {
      this.#voter = await voters.Voter.start({ ...this.#options, storage });
    }
    this.#follower.start();
  }

  /** Resolves to true once the table here is no older than any that was in
   * force when this host started, so that a restart takes nothing back. Without
   * a quorum it resolves to false: the host serves with what it has. */
  async catchUp(): Promise<boolean> {
    const revision = await this.#announceStart();
    if (revision === undefined) return false;
    this.#barrier = revision;
    if (this.view().revision >= revision) return true;
    await new Promise<void>((resolve) => this.#passBarrier = resolve);
    return true;
  }

  /** Takes an envelope of the channels log, watch and control. */
  receive(envelope: runtime.Envelope): void {
    const { channel, from, body } = envelope;
    const type = (body as { type: string }).type;
    if (channel === "log") this.#voter?.receiveLog(envelope);
    else if (channel === "control") this.#takeControl(from, body);
    else if (this.#voter !== undefined && REQUESTS.has(type)) {
      this.#voter.receiveWatch(from, body as watching.Message);
    } else this.#follower.receive(from, body as watching.Message);
  }

  /** The table in force here; its revision never goes back. */
  view(): table.Table {
    return this.#follower.table;
  }

  /** Calls `watcher` on each change after this call. */
  watch(watcher: events.TableListener): runtime.Cancel {
    this.#watchers.add(watcher);
    return () => this.#watchers.delete(watcher);
  }

  /** Applies a checked edit once, however often it is sent. */
  async edit(edit: schema.Edit): Promise<EditResult> {
    const id = `${this.#options.self}/${crypto.randomUUID()}`;
    const body = edit as unknown as Record<string, unknown>;
    try {
      const reply = await this.#commands.propose(
        { type: "edit", id, edit: body },
        EDIT_TIMEOUT,
      );
      return answerOf(reply);
    } catch (error) {
      if (!(error instanceof errors.ControlError)) throw error;
      const outcome = error.failure === "unknown" ? "unknown" : "not-run";
      return { type: "unavailable", outcome, detail: error.message };
    }
  }

  /** Whether this host leads the log at this very moment. */
  leaseHeld(): boolean {
    return this.#voter?.leaseHeld() ?? false;
  }

  /** Term of the log on a voter, which fences the orders of former leaders. */
  get term(): number {
    return this.#voter?.term ?? 0;
  }

  /** The right to order engines; undefined on a host that lacks it. */
  lease(): orders.Lease | undefined {
    return this.#voter?.lease();
  }

  /** What is known of the quorum. */
  get status(): followers.QuorumStatus {
    return this.#follower.status;
  }

  /** Hands leadership over, before a stop. */
  transferLeadership(): void {
    this.#voter?.transferLeadership();
  }

  /** Resolves once the settlements under way are answered, or after
   * `FINISH_TIMEOUT`: then the leases of their claims run out. Before `stop`. */
  async flushClaims(): Promise<void> {
    const { clock } = this.#options;
    let cancel = () => {};
    const over = new Promise<void>((resolve) => {
      cancel = clock.after(FINISH_TIMEOUT, resolve);
    });
    await Promise.race([this.claims.flush(), over]);
    cancel();
  }

  /** Takes no further part. */
  stop(): void {
    this.#follower.stop();
    this.#commands.stop();
    this.#voter?.stop();
  }

  /** State for people. */
  dump(): unknown {
    return {
      follower: this.#follower.dump(),
      commands: this.#commands.dump(),
      claims: this.claims.size,
      voter: this.#voter?.dump(),
    };
  }

  #takeControl(from: string, body: unknown): void {
    const message = body as control.ControlMessage;
    if (message.type === "result") this.#commands.receive(from, message);
    else if (this.#voter !== undefined) {
      this.#voter.receiveForward(from, message);
    } else this.#decline(from, message);
  }

  /** A host without the log takes no commands: nothing was applied. */
  #decline(to: string, { attempt, command }: control.Forward): void {
    const { self: from, transport } = this.#options;
    const body: control.Result = {
      type: "result",
      id: command.id,
      attempt,
      status: "not-leader",
      leader: this.status.leader,
    };
    transport.send({ from, to, channel: "control", body });
  }

  #takeTable(written: readonly table.CellWrite[] | undefined): void {
    const { metrics, clock } = this.#options;
    const { revision } = this.view();
    metrics.gauge("table.revision", revision);
    if (revision >= this.#barrier) this.#passBarrier();
    if (written === undefined) return this.#tell({ type: "reset", revision });
    for (const event of events.changeEvents(written, clock.wall())) {
      this.#tell(event);
    }
  }

  #takeStatus(status: followers.QuorumStatus): void {
    this.#commands.setLeader(status.leader);
    this.#options.logger.info({ ...status }, "view of the quorum changed");
  }

  #tell(event: events.TableEvent): void {
    for (const watcher of this.#watchers) watcher(event);
  }

  /** Gives the revision of the table when this host started; undefined when
   * no quorum said so in time. */
  async #announceStart(): Promise<number | undefined> {
    try {
      const { revision } = await this.#retire(RETIRE_TIMEOUT);
      return revision;
    } catch (error) {
      // The next claim announces the start first.
      if (!(error instanceof errors.ControlError)) throw error;
      return undefined;
    }
  }

  /** The incarnation that counts for claims of this run. */
  async #announce(timeout: number): Promise<number> {
    if (this.#counting === undefined) await this.#retire(timeout);
    return this.#counting!;
  }

  /** Tells the log that nothing of an earlier run is here any more. After the
   * clock was set back that run has the higher incarnation; this one then
   * takes the next, and its first claim retires the earlier run. */
  async #retire(timeout: number): Promise<table.RetireReply> {
    const { self: host, incarnation } = this.#options;
    const id = `${host}/${incarnation}/retire`;
    const reply = await this.#commands.propose(
      { type: "retire", id, host, incarnation },
      timeout,
    ) as table.RetireReply;
    const { incarnation: lowest } = reply;
    this.#counting ??= lowest > incarnation ? lowest + 1 : incarnation;
    return reply;
  }
}

function answerOf(reply: table.Reply): EditResult {
  const { type } = reply;
  if (type === "accepted" || type === "conflict" || type === "refused") {
    return reply;
  }
  const detail = type === "invalid" ? reply.detail : "No answer to an edit";
  return { type: "refused", detail };
}
