/** Remote procedure calls between hosts over an unreliable transport. The host
 * that processes a request sends keep-alives until it replies, so that a failed
 * host is detected long before the timeout of the request.
 *
 * A reply belongs to the process that asked. The id of a request is unique to
 * that process and comes back in the reply, which counts only if it comes from
 * the host that was asked. It is not delivered to a later process at the same
 * address, if the asker has stated its incarnation.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as errors from "./errors.ts";
import * as incarnations from "./incarnation.ts";

/** Interval between keep-alives for requests in progress. */
const KEEP_ALIVE_INTERVAL_MS = 200;
/** Time without a keep-alive after which a request fails. Tolerates two
 * keep-alives that are lost or late, but not a third. */
const KEEP_ALIVE_TIMEOUT_MS = 700;

/** Handles requests of one type. */
export type Handler<Q = schema.Question> = (
  question: Q,
  from: string,
) => Promise<schema.Reply>;

/** Handlers by request type; other requests get the reply "not-served". */
export type Handlers = {
  [T in schema.Question["type"]]?: Handler<
    Extract<schema.Question, { type: T }>
  >;
};

/** Options of remote procedure calls. */
export interface RpcOptions {
  self: string;
  /** Incarnation of this process, from which the ids of its requests start. */
  incarnation: incarnations.Incarnation;
  clock: runtime.Clock;
  metrics: telemetry.Metrics;
  transport: runtime.Transport;
  handlers: Handlers;
  /** Handles a one-way message. */
  onNotice?(notice: schema.Notice, sender: Process): void;
  /** Reports an error thrown by a handler, which is a bug in this program. */
  onHandlerError(error: unknown, question: schema.Question): void;
}

interface Pending {
  readonly to: string;
  lastKeepAliveAt: number;
  readonly deadline: number;
  resolve(reply: schema.Reply): void;
  reject(error: errors.PeerError): void;
}

/** A process at another host. */
export type Process = Pick<runtime.Envelope, "from" | "fromIncarnation">;

/** Requests of one process that are in progress. */
interface InProgress {
  readonly asker: Process;
  readonly ids: Set<number>;
}

/** Client and server side of the remote procedure calls of one host. */
export class Rpc {
  readonly #options: RpcOptions;
  readonly #pending = new Map<number, Pending>();
  /** The requests in progress, by the process that sent them. */
  readonly #inProgress = new Map<string, InProgress>();
  #lastId: number;
  #isTickScheduled = false;

  private constructor(options: RpcOptions) {
    this.#options = options;
    this.#lastId = incarnations.callIdBase(options.incarnation);
  }

  /** Creates the client and server of one host. */
  static create(options: RpcOptions): Rpc {
    return new Rpc(options);
  }

  /** Sends a request to a host. Rejects with `PeerError` if no reply arrives
   * within `timeout` milliseconds or keep-alives stop; the host may have
   * processed the request all the same. */
  ask(
    to: string,
    body: schema.Question,
    { timeout }: { timeout: number },
  ): Promise<schema.Reply> {
    const id = ++this.#lastId;
    const now = this.#options.clock.now();
    return new Promise((resolve, reject) => {
      const deadline = now + timeout;
      this.#pending.set(id, {
        to,
        lastKeepAliveAt: now,
        deadline,
        resolve,
        reject,
      });
      this.#send({ to }, { type: "ask", id, body });
      this.#scheduleTick();
    });
  }

  /** Sends a one-way message to a host. */
  cast(to: string, body: schema.Notice): void {
    this.#send({ to }, { type: "cast", body });
  }

  /** Processes a validated message from another host. */
  receive(sender: Process, message: schema.FleetMessage): void {
    const { from } = sender;
    const { metrics } = this.#options;
    metrics.count("peer.messages_received", 1, { type: typeOf(message) });
    const receivers: {
      [T in schema.FleetMessage["type"]]: (
        message: Extract<schema.FleetMessage, { type: T }>,
      ) => void;
    } = {
      ask: ({ id, body }) => void this.#serve(sender, { id, body }),
      answer: ({ id, body }) => this.#resolve(from, { id, body }),
      working: ({ ids }) => this.#recordKeepAlives(from, ids),
      cast: ({ body }) => this.#options.onNotice?.(body, sender),
    };
    (receivers[message.type] as (message: schema.FleetMessage) => void)(
      message,
    );
  }

  /** Fails all pending requests. */
  stop(): void {
    for (const id of [...this.#pending.keys()]) {
      this.#fail(id, "Stopped before a reply arrived");
    }
  }

  async #serve(
    asker: Process,
    { id, body }: Pick<schema.Ask, "id" | "body">,
  ): Promise<void> {
    const { ids } = this.#inProgressFor(asker);
    ids.add(id);
    this.#scheduleTick();
    const reply = await this.#handle(body, asker.from);
    ids.delete(id);
    this.#sendBack(asker, { type: "answer", id, body: reply });
  }

  async #handle(body: schema.Question, from: string): Promise<schema.Reply> {
    const handler = this.#options.handlers[body.type] as Handler | undefined;
    if (handler === undefined) return { type: "failed", reason: "not-served" };
    try {
      return await handler(body, from);
    } catch (error) {
      this.#options.onHandlerError(error, body);
      return { type: "failed", reason: "unknown" };
    }
  }

  #resolve(from: string, { id, body }: Pick<schema.Answer, "id" | "body">) {
    const pending = this.#pendingAt(from, id);
    if (pending === undefined) {
      const { type } = body;
      return this.#options.metrics.count("peer.unmatched_replies", 1, { type });
    }
    this.#pending.delete(id);
    pending.resolve(body);
  }

  #recordKeepAlives(from: string, ids: readonly number[]): void {
    const now = this.#options.clock.now();
    for (const id of ids) {
      const pending = this.#pendingAt(from, id);
      if (pending !== undefined) pending.lastKeepAliveAt = now;
    }
  }

  /** Returns a pending request to a host. */
  #pendingAt(host: string, id: number): Pending | undefined {
    const pending = this.#pending.get(id);
    return pending?.to === host ? pending : undefined;
  }

  #inProgressFor(asker: Process): InProgress {
    const key = `${asker.from} ${asker.fromIncarnation}`;
    const known = this.#inProgress.get(key);
    if (known !== undefined) return known;
    const created = { asker, ids: new Set<number>() };
    this.#inProgress.set(key, created);
    return created;
  }

  #scheduleTick(): void {
    if (this.#isTickScheduled) return;
    this.#isTickScheduled = true;
    this.#options.clock.after(KEEP_ALIVE_INTERVAL_MS, () => {
      this.#isTickScheduled = false;
      this.#tick();
    });
  }

  #tick(): void {
    const now = this.#options.clock.now();
    for (const [key, { asker, ids }] of this.#inProgress) {
      if (ids.size === 0) this.#inProgress.delete(key);
      else this.#sendBack(asker, { type: "working", ids: [...ids] });
    }
    for (
      const [id, { to, lastKeepAliveAt, deadline }] of this.#pending
    ) {
      if (now >= deadline) this.#fail(id, `Host ${to} did not reply in time`);
      else if (now - lastKeepAliveAt > KEEP_ALIVE_TIMEOUT_MS) {
        this.#fail(id, `Host ${to} stopped sending keep-alives`);
      }
    }
    if (this.#pending.size + this.#inProgress.size > 0) this.#scheduleTick();
  }

  #fail(id: number, message: string): void {
    const pending = this.#pending.get(id);
    this.#pending.delete(id);
    pending?.reject(new errors.PeerError(message));
  }

  /** Sends a message that concerns requests of one process to that process. */
  #sendBack(
    { from: to, fromIncarnation: toIncarnation }: Process,
    body: schema.FleetMessage,
  ): void {
    this.#send({ to, toIncarnation }, body);
  }

  #send(
    receiver: Pick<runtime.Envelope, "to" | "toIncarnation">,
    body: schema.FleetMessage,
  ): void {
    const { self: from, transport, metrics } = this.#options;
    metrics.count("peer.messages_sent", 1, { type: typeOf(body) });
    transport.send({ from, ...receiver, channel: "fleet", body });
  }
}

/** Type of the question, reply or notice in a message, or of the message. */
function typeOf(message: schema.FleetMessage): string {
  return "body" in message ? message.body.type : message.type;
}
