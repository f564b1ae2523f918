/** Sends this host's commands to the leader and waits for the answers: the
 * shell of the forwarder.
 * @module */

import * as runtime from "../../runtime/mod.ts";
import type * as command from "../../schema/command_types.ts";
import type * as schema from "../../schema/control_types.ts";
import type * as table from "../table/mod.ts";
import * as watch from "../watch/mod.ts";
import * as errors from "./errors.ts";

/** What a client needs of its host. */
export interface CommandClientOptions {
  self: string;
  /** Hosts that may lead. */
  voters: readonly string[];
  clock: runtime.Clock;
  transport: runtime.Transport;
}

interface Waiter {
  resolve(reply: table.Reply): void;
  reject(error: errors.ControlError): void;
}

type Handler<T> = (effect: Extract<watch.ForwarderEffect, { type: T }>) => void;

/** Proposes commands from any host. */
export class CommandClient {
  readonly #options: CommandClientOptions;
  readonly #alarm: runtime.Timer;
  readonly #waiters = new Map<string, Waiter>();
  #forwarder: watch.Forwarder;

  private constructor(options: CommandClientOptions) {
    this.#options = options;
    this.#forwarder = watch.Forwarder.create(options.voters);
    this.#alarm = runtime.Timer.create(
      options.clock,
      () => this.#step({ type: "tick" }),
    );
  }

  /** A client that knows no leader yet. */
  static create(options: CommandClientOptions): CommandClient {
    return new CommandClient(options);
  }

  /** Commits a command within `timeout` milliseconds, or rejects with a
   * `ControlError`. */
  propose(command: command.Command, timeout: number): Promise<table.Reply> {
    return new Promise((resolve, reject) => {
      this.#waiters.set(command.id, { resolve, reject });
      this.#step({ type: "propose", command, timeout });
    });
  }

  /** Takes an answer of the leader. */
  receive(from: string, body: schema.Result): void {
    this.#step({ type: "message", from, body });
  }

  /** Learns which host leads. */
  setLeader(leader: string | undefined): void {
    this.#step({ type: "leader", leader });
  }

  /** Gives up all that waits. */
  stop(): void {
    this.#alarm.cancel();
    for (const { reject } of this.#waiters.values()) {
      reject(new errors.ControlError("unknown", "this host is stopping"));
    }
    this.#waiters.clear();
  }

  /** State for people. */
  dump(): unknown {
    return this.#forwarder.dump();
  }

  #step(event: watch.ForwarderEvent): void {
    const now = this.#options.clock.now();
    const { forwarder, effects } = this.#forwarder.step(event, now);
    this.#forwarder = forwarder;
    for (const effect of effects) {
      (this.#handlers[effect.type] as Handler<string>)(effect as never);
    }
  }

  readonly #handlers: { [T in watch.ForwarderEffect["type"]]: Handler<T> } = {
    send: ({ to, body }) => {
      const { self, transport } = this.#options;
      transport.send({ from: self, to, channel: "control", body });
    },
    wake: ({ at }) => this.#alarm.set(at),
    reply: ({ id, reply }) => {
      this.#waiters.get(id)?.resolve(reply);
      this.#waiters.delete(id);
    },
    fail: ({ id, failure, detail }) => {
      const error = new errors.ControlError(failure, detail);
      this.#waiters.get(id)?.reject(error);
      this.#waiters.delete(id);
    },
  };
}
