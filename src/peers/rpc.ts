/** Questions between hosts and their answers, over a transport that promises
 * nothing. The host that was asked says from time to time that it is still at
 * work, so that one that is gone is noticed long before an answer is due.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as errors from "./errors.ts";

/** Milliseconds between signs that questions are being worked on. */
const SIGN = 200;
/** Milliseconds without a sign after which a question counts as lost: two
 * signs may be lost or late, one more ends it. */
const SILENCE = 700;

/** Answers one kind of question. */
export type Handler<Q = schema.Question> = (
  question: Q,
  from: string,
) => Promise<schema.Reply>;

/** Answers questions by their types; those not listed are not served. */
export type Handlers = {
  [T in schema.Question["type"]]?: Handler<
    Extract<schema.Question, { type: T }>
  >;
};

/** What calls need of their host. */
export interface RpcOptions {
  self: string;
  clock: runtime.Clock;
  transport: runtime.Transport;
  handlers: Handlers;
  onNotice?(notice: schema.Notice, from: string): void;
  /** A handler failed, which is a fault of this program. */
  onHandlerError(error: unknown, question: schema.Question): void;
}

interface Pending {
  readonly to: string;
  heard: number;
  readonly until: number;
  resolve(reply: schema.Reply): void;
  reject(error: errors.PeerError): void;
}

/** Questions of one host and its answers to those of others. */
export class Rpc {
  readonly #options: RpcOptions;
  readonly #pending = new Map<number, Pending>();
  /** Numbers of the questions being worked on, by the host that asked. */
  readonly #working = new Map<string, Set<number>>();
  #last = 0;
  #ticking = false;

  private constructor(options: RpcOptions) {
    this.#options = options;
  }

  static create(options: RpcOptions): Rpc {
    return new Rpc(options);
  }

  /** Asks a host. Rejects with `PeerError` when no answer comes within
   * `timeout` milliseconds or the host falls silent; it may have acted. */
  ask(
    to: string,
    body: schema.Question,
    { timeout }: { timeout: number },
  ): Promise<schema.Reply> {
    const id = ++this.#last;
    const now = this.#options.clock.now();
    return new Promise((resolve, reject) => {
      const until = now + timeout;
      this.#pending.set(id, { to, heard: now, until, resolve, reject });
      this.#send(to, { type: "ask", id, body });
      this.#tickSoon();
    });
  }

  /** Tells a host something that needs no answer. */
  cast(to: string, body: schema.Notice): void {
    this.#send(to, { type: "cast", body });
  }

  /** Takes a checked message of another host. */
  receive(from: string, message: schema.FleetMessage): void {
    const receivers: {
      [T in schema.FleetMessage["type"]]: (
        message: Extract<schema.FleetMessage, { type: T }>,
      ) => void;
    } = {
      ask: ({ id, body }) => void this.#answer(from, { id, body }),
      answer: ({ id, body }) => this.#settle(id, body),
      working: ({ ids }) => this.#noteWorking(ids),
      cast: ({ body }) => this.#options.onNotice?.(body, from),
    };
    (receivers[message.type] as (message: schema.FleetMessage) => void)(
      message,
    );
  }

  /** Gives everything up. */
  stop(): void {
    for (const id of [...this.#pending.keys()]) this.#fail(id, "Stopped");
  }

  async #answer(
    from: string,
    { id, body }: Pick<schema.Ask, "id" | "body">,
  ): Promise<void> {
    const working = this.#workingFor(from);
    working.add(id);
    this.#tickSoon();
    const reply = await this.#reply(body, from);
    working.delete(id);
    this.#send(from, { type: "answer", id, body: reply });
  }

  async #reply(body: schema.Question, from: string): Promise<schema.Reply> {
    const handler = this.#options.handlers[body.type] as Handler | undefined;
    if (handler === undefined) return { type: "failed", reason: "not-served" };
    try {
      return await handler(body, from);
    } catch (error) {
      this.#options.onHandlerError(error, body);
      return { type: "failed", reason: "unknown" };
    }
  }

  #settle(id: number, reply: schema.Reply): void {
    const pending = this.#pending.get(id);
    this.#pending.delete(id);
    pending?.resolve(reply);
  }

  #noteWorking(ids: readonly number[]): void {
    const now = this.#options.clock.now();
    for (const id of ids) {
      const pending = this.#pending.get(id);
      if (pending !== undefined) pending.heard = now;
    }
  }

  #workingFor(host: string): Set<number> {
    const known = this.#working.get(host);
    if (known !== undefined) return known;
    const made = new Set<number>();
    this.#working.set(host, made);
    return made;
  }

  #tickSoon(): void {
    if (this.#ticking) return;
    this.#ticking = true;
    this.#options.clock.after(SIGN, () => {
      this.#ticking = false;
      this.#tick();
    });
  }

  #tick(): void {
    const now = this.#options.clock.now();
    for (const [host, ids] of this.#working) {
      if (ids.size === 0) this.#working.delete(host);
      else this.#send(host, { type: "working", ids: [...ids] });
    }
    for (const [id, { to, heard, until }] of this.#pending) {
      if (now >= until) this.#fail(id, `Host ${to} did not answer in time`);
      else if (now - heard > SILENCE) this.#fail(id, `Host ${to} is silent`);
    }
    if (this.#pending.size + this.#working.size > 0) this.#tickSoon();
  }

  #fail(id: number, message: string): void {
    const pending = this.#pending.get(id);
    this.#pending.delete(id);
    pending?.reject(new errors.PeerError(message));
  }

  #send(to: string, body: schema.FleetMessage): void {
    const { self: from, transport } = this.#options;
    transport.send({ from, to, channel: "fleet", body });
  }
}
