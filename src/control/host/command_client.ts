/** Sends the commands of this host to the leader of the log and waits for the
 * replies: runs the state machine `watch.Forwarder` with a clock and a
 * transport.
 * @module */

import * as runtime from "../../runtime/mod.ts";
import type * as command from "../../schema/command_types.ts";
import type * as schema from "../../schema/control_types.ts";
import type * as table from "../table/mod.ts";
import * as watch from "../watch/mod.ts";
import * as errors from "./errors.ts";

/** Options of a `CommandClient`. */
export interface CommandClientOptions {
  self: string;
  /** Hosts that may be the leader. */
  voters: readonly string[];
  clock: runtime.Clock;
  transport: runtime.Transport;
}

interface PendingProposal {
  resolve(reply: table.Reply): void;
  reject(error: errors.ControlError): void;
}

type Handler<T> = (effect: Extract<watch.ForwarderEffect, { type: T }>) => void;

/** Proposes commands to the log from any host. */
export class CommandClient {
  readonly #options: CommandClientOptions;
  readonly #timer: runtime.Timer;
  readonly #pending = new Map<string, PendingProposal>();
  #forwarder: watch.Forwarder;

  private constructor(options: CommandClientOptions) {
    this.#options = options;
    this.#forwarder = watch.Forwarder.create(options.voters);
    this.#timer = runtime.Timer.create(
      options.clock,
      () => this.#step({ type: "tick" }),
    );
  }

  /** Creates a client that does not know the leader yet. */
  static create(options: CommandClientOptions): CommandClient {
    return new CommandClient(options);
  }

  /** Commits a command within `timeout` milliseconds, or rejects with a
   * `ControlError`. */
  propose(command: command.Command, timeout: number): Promise<table.Reply> {
    return new Promise((resolve, reject) => {
      this.#pending.set(command.id, { resolve, reject });
      this.#step({ type: "propose", command, timeout });
    });
  }

  /** Handles a reply to a forwarded command. */
  receive(from: string, body: schema.Result): void {
    this.#step({ type: "message", from, body });
  }

  /** Sets the host that is known to be the leader. */
  setLeader(leader: string | undefined): void {
    this.#step({ type: "leader", leader });
  }

  /** Rejects all pending proposals. */
  stop(): void {
    this.#timer.cancel();
    for (const { reject } of this.#pending.values()) {
      reject(new errors.ControlError("unknown", "this host is stopping"));
    }
    this.#pending.clear();
  }

  /** Returns the state for a dump. */
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
    wake: ({ at }) => this.#timer.set(at),
    reply: ({ id, reply }) => {
      this.#pending.get(id)?.resolve(reply);
      this.#pending.delete(id);
    },
    fail: ({ id, failure, detail }) => {
      const error = new errors.ControlError(failure, detail);
      this.#pending.get(id)?.reject(error);
      this.#pending.delete(id);
    },
  };
}
