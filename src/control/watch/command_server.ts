/** Proposes the commands that other hosts forward to a replica of the log, and
 * sends the results back.
 * @module */

import * as check from "../../schema/check.ts";
import type * as command from "../../schema/command_types.ts";
import * as validators from "../../schema/command_validators.ts";
import type * as schema from "../../schema/control_types.ts";

/** Number of recent attempts that are remembered, so that of an attempt that
 * the transport duplicates one copy is not refused while the other is
 * applied. */
const MAX_SEEN_ATTEMPTS = 4096;

/** Options of a `CommandServer`. */
export interface CommandServerOptions {
  /** Commits a command; rejects with an error that has a `kind`. */
  propose(command: command.Command): Promise<unknown>;
  /** Returns the time to put into a command; see `table.CommandClock`. */
  commandTime(): number;
  send(to: string, body: schema.Result): void;
}

/** Fields that an error of the log may have. */
interface LogError {
  kind?: string;
  leader?: string;
  message?: string;
}

/** Proposes forwarded commands. */
export class CommandServer {
  readonly #options: CommandServerOptions;
  readonly #seenAttempts = new Set<string>();

  private constructor(options: CommandServerOptions) {
    this.#options = options;
  }

  /** Creates a server that commits commands with `options.propose`. */
  static create(options: CommandServerOptions): CommandServer {
    return new CommandServer(options);
  }

  /** Proposes the command in `body`; resolves once its result is sent. A
   * duplicate of an attempt is ignored. */
  async receive(from: string, body: schema.Forward): Promise<void> {
    const { id } = body.command;
    const key = `${from} ${body.attempt} ${id}`;
    if (this.#seenAttempts.has(key)) return;
    this.#remember(key);
    const result = await this.#propose(body.command);
    const { attempt } = body;
    this.#options.send(from, { type: "result", id, attempt, ...result });
  }

  async #propose(value: unknown): Promise<Outcome> {
    if (!validators.validate(value)) return invalid();
    const { propose, commandTime: stamp } = this.#options;
    const stamped = { ...value as command.Command, at: stamp() };
    try {
      return { status: "applied", reply: await propose(stamped) as object };
    } catch (error) {
      const { kind = "", leader, message } = error as LogError;
      const status = refusalStatuses[kind] ?? "unknown";
      return { status, leader, detail: message };
    }
  }

  #remember(key: string): void {
    this.#seenAttempts.add(key);
    if (this.#seenAttempts.size <= MAX_SEEN_ATTEMPTS) return;
    const [oldest] = this.#seenAttempts;
    this.#seenAttempts.delete(oldest);
  }
}

type Outcome = Pick<schema.Result, "status" | "reply" | "leader" | "detail">;

/** Statuses by kind of those errors of the log that rule out that the command
 * was applied. */
const refusalStatuses: Record<string, schema.Result["status"]> = {
  "not-leader": "not-leader",
  "no-quorum": "no-quorum",
};

function invalid(): Outcome {
  const { errors } = validators.validate as check.Validator;
  const { message } = new check.SchemaError(errors![0]);
  return { status: "invalid", detail: message };
}
