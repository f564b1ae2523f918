/** The control plane of one host: its copy of the table, edits, claims on
 * idempotency keys and, on a voter, a replica of the log.
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
import * as claimClients from "./claim_client.ts";
import * as commandClients from "./command_client.ts";
import * as errors from "./errors.ts";
import * as tableWatchers from "./table_watcher.ts";
import * as events from "./table_event.ts";
import * as voters from "./voter.ts";

/** Time after which an edit without a reply fails. */
const EDIT_TIMEOUT_MS = 4_000;

/** How long the start of this host waits for the log to commit its
 * announcement. */
const RETIRE_TIMEOUT_MS = 5_000;

/** Types of messages that subscribers send to a publisher. */
const SUBSCRIBER_MESSAGES: ReadonlySet<string> = new Set([
  "subscribe",
  "leave",
]);

/** How long a stop waits for settlements: longer than a change of leader. */
const FLUSH_TIMEOUT_MS = 3_000;

/** Options of `Control`. */
export interface ControlOptions {
  self: string;
  /** Wall clock at the start of the process: increases with each start unless
   * the clock was set back. */
  incarnation: number;
  /** Hosts that are voters according to the settings. */
  voters: readonly string[];
  /** Hosts that watch voters and publish the table to other hosts. */
  observers?: readonly string[];
  clock: runtime.Clock;
  random: runtime.Random;
  transport: tableWatchers.Transport;
  /** The data directory; present on a voter only. */
  storage?: runtime.Storage;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
  /** Edits that are applied to an empty table. */
  initialEdits: readonly schema.Edit[];
  /** Called when the journal of this voter has failed. */
  onFailure(failure: Error): void;
}

/** Answer to an edit, or the reason why there is none. */
export type EditResult =
  | table.Answer
  | { type: "unavailable"; outcome: "not-run" | "unknown"; detail: string };

/** The control plane of one host. */
export class Control {
  /** Claims on idempotency keys, for the request path. */
  readonly claims: claimClients.ClaimClient;
  readonly #options: ControlOptions;
  readonly #commands: commandClients.CommandClient;
  readonly #tableWatcher: tableWatchers.TableWatcher;
  readonly #listeners = new Set<events.TableListener>();
  #voter: voters.Voter | undefined;
  /** Revision that the table of this host must reach after its start; infinite
   * while it is unknown. */
  #catchUpRevision = Infinity;
  #resolveCatchUp = () => {};
  /** Incarnation used in the claims of this run; set by the first reply to
   * `retire`. */
  #claimIncarnation: number | undefined;

  private constructor(options: ControlOptions) {
    this.#options = options;
    const { self, voters, observers = [] } = options;
    this.#commands = commandClients.CommandClient.create(options);
    this.#tableWatcher = tableWatchers.TableWatcher.create({
      ...options,
      publishers: watch.publisherOrder(self, { voters, observers }),
      observer: observers.includes(self),
      onTable: (_, written) => this.#handleTable(written),
      onStatus: (status) => this.#handleStatus(status),
    });
    this.claims = claimClients.ClaimClient.create({
      ...options,
      announce: (timeout) => this.#resolveIncarnation(timeout),
      propose: (command, timeout) => this.#commands.propose(command, timeout),
    });
  }

  /** Creates a control plane that is idle until `start`. */
  static create(options: ControlOptions): Control {
    return new Control(options);
  }

  /** Starts the voter from its disk, if there is one, and begins to watch the
   * table. */
  async start(): Promise<void> {
    const { storage } = this.#options;
    if (storage !== undefined) {
      this.#voter = await voters.Voter.start({ ...this.#options, storage });
    }
    this.#tableWatcher.start();
  }

  /** Resolves to true once the table of this host is at least as new as the
   * committed one at its start, so that a restart reverts no edit. Resolves to
   * false without a quorum: the host then serves with the table it has. */
  async catchUp(): Promise<boolean> {
    const revision = await this.#readStartRevision();
    if (revision === undefined) return false;
    this.#catchUpRevision = revision;
    if (this.view().revision >= revision) return true;
    await new Promise<void>((resolve) => this.#resolveCatchUp = resolve);
    return true;
  }

  /** Handles an envelope of the channels log, watch and control. */
  receive(envelope: runtime.Envelope): void {
    const { channel, from, body } = envelope;
    const type = (body as { type: string }).type;
    if (channel === "log") this.#voter?.receiveLog(envelope);
    else if (channel === "control") this.#handleControl(from, body);
    else if (this.#voter !== undefined && SUBSCRIBER_MESSAGES.has(type)) {
      this.#voter.receiveWatch(from, body as watching.Message);
    } else this.#tableWatcher.receive(from, body as watching.Message);
  }

  /** The table of this host; its revision never decreases. */
  view(): table.Table {
    return this.#tableWatcher.table;
  }

  /** Calls `listener` on each later change of the table. */
  watch(listener: events.TableListener): runtime.Cancel {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Applies a validated edit at most once per operation id, however often it
   * is sent. */
  async edit(edit: schema.Edit): Promise<EditResult> {
    const id = `${this.#options.self}/${crypto.randomUUID()}`;
    const body = edit as unknown as Record<string, unknown>;
    try {
      const reply = await this.#commands.propose(
        { type: "edit", id, edit: body },
        EDIT_TIMEOUT_MS,
      );
      return answerOf(reply);
    } catch (error) {
      if (!(error instanceof errors.ControlError)) throw error;
      const outcome = error.failure === "unknown" ? "unknown" : "not-run";
      return { type: "unavailable", outcome, detail: error.message };
    }
  }

  /** Whether this host holds the leader lease of the log now. */
  leaseHeld(): boolean {
    return this.#voter?.leaseHeld() ?? false;
  }

  /** Term of the log, which fences orders of former leaders; 0 on a host that
   * is no voter. */
  get term(): number {
    return this.#voter?.term ?? 0;
  }

  /** Lease for sending orders to engines; undefined on a host without it. */
  lease(): orders.Lease | undefined {
    return this.#voter?.lease();
  }

  /** Whether the quorum is reachable, and its leader. */
  get status(): tableWatchers.QuorumStatus {
    return this.#tableWatcher.status;
  }

  /** Transfers leadership of the log to another voter, before a stop. */
  transferLeadership(): void {
    this.#voter?.transferLeadership();
  }

  /** Resolves once the pending settlements have a reply, or after
   * `FLUSH_TIMEOUT_MS`: the leases of their claims then expire. To be called
   * before `stop`. */
  async flushClaims(): Promise<void> {
    const { clock } = this.#options;
    let cancelTimer = () => {};
    const timedOut = new Promise<void>((resolve) => {
      cancelTimer = clock.after(FLUSH_TIMEOUT_MS, resolve);
    });
    await Promise.race([this.claims.flush(), timedOut]);
    cancelTimer();
  }

  /** Stops watching, proposing and voting. */
  stop(): void {
    this.#tableWatcher.stop();
    this.#commands.stop();
    this.#voter?.stop();
  }

  /** Returns the state for a dump. */
  dump(): unknown {
    return {
      follower: this.#tableWatcher.dump(),
      commands: this.#commands.dump(),
      claims: this.claims.size,
      voter: this.#voter?.dump(),
    };
  }

  #handleControl(from: string, body: unknown): void {
    const message = body as control.ControlMessage;
    if (message.type === "result") this.#commands.receive(from, message);
    else if (this.#voter !== undefined) {
      this.#voter.receiveForward(from, message);
    } else this.#rejectForward(from, message);
  }

  /** Refuses a command that was forwarded to a host without a replica; it has
   * not been applied. */
  #rejectForward(to: string, { attempt, command }: control.Forward): void {
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

  #handleTable(written: readonly table.CellWrite[] | undefined): void {
    const { metrics, clock } = this.#options;
    const { revision } = this.view();
    metrics.gauge("table.revision", revision);
    if (revision >= this.#catchUpRevision) this.#resolveCatchUp();
    if (written === undefined) return this.#notify({ type: "reset", revision });
    for (const event of events.changeEvents(written, clock.wall())) {
      this.#notify(event);
    }
  }

  #handleStatus(status: tableWatchers.QuorumStatus): void {
    this.#commands.setLeader(status.leader);
    this.#options.logger.info({ ...status }, "view of the quorum changed");
  }

  #notify(event: events.TableEvent): void {
    for (const listener of this.#listeners) listener(event);
  }

  /** Returns the committed revision of the table at the start of this host;
   * undefined when no quorum replied in time. */
  async #readStartRevision(): Promise<number | undefined> {
    try {
      const { revision } = await this.#retire(RETIRE_TIMEOUT_MS);
      return revision;
    } catch (error) {
      // The next claim announces the start before it is proposed.
      if (!(error instanceof errors.ControlError)) throw error;
      return undefined;
    }
  }

  /** Returns the incarnation to use in the claims of this run. */
  async #resolveIncarnation(timeout: number): Promise<number> {
    if (this.#claimIncarnation === undefined) await this.#retire(timeout);
    return this.#claimIncarnation!;
  }

  /** Declares in the log that the earlier runs of this host have ended. If the
   * clock was set back, an earlier run has the higher incarnation; this run
   * then uses the next higher one, and its first claim retires the earlier
   * run. */
  async #retire(timeout: number): Promise<table.RetireReply> {
    const { self: host, incarnation } = this.#options;
    const id = `${host}/${incarnation}/retire`;
    const reply = await this.#commands.propose(
      { type: "retire", id, host, incarnation },
      timeout,
    ) as table.RetireReply;
    const { incarnation: lowest } = reply;
    this.#claimIncarnation ??= lowest > incarnation ? lowest + 1 : incarnation;
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
