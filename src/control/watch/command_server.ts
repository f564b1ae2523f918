/** Takes forwarded commands at a replica of the log, proposes them and sends
 * the answers back.
 * @module */

import * as check from "../../schema/check.ts";
import type * as command from "../../schema/command_types.ts";
import * as validators from "../../schema/command_validators.ts";
import type * as schema from "../../schema/control_types.ts";

/** Newest attempts remembered, so that one that the transport doubles is not
 * refused in one copy and applied in the other. */
const MOST_SEEN = 4096;

/** What a server needs of its host. */
export interface CommandServerOptions {
  /** Commits a command; rejects with an error that has a `kind`. */
  propose(command: command.Command): Promise<unknown>;
  /** The leader's time for a command; see `Timekeeper`. */
  commandTime(): number;
  send(to: string, body: schema.Result): void;
}

/** What may stand in an error of the log. */
interface Fault {
  kind?: string;
  leader?: string;
  message?: string;
}

/** Proposes the commands that other hosts forward. */
export class CommandServer {
  readonly #options: CommandServerOptions;
  readonly #seen = new Set<string>();

  private constructor(options: CommandServerOptions) {
    this.#options = options;
  }

  /** A server that commits by `options.propose`. */
  static create(options: CommandServerOptions): CommandServer {
    return new CommandServer(options);
  }

  /** Proposes the command in `body`; resolves once its answer is sent. */
  async receive(from: string, body: schema.Forward): Promise<void> {
    const { id } = body.command;
    const key = `${from} ${body.attempt} ${id}`;
    if (this.#seen.has(key)) return;
    this.#remember(key);
    const result = await this.#propose(body.command);
    const { attempt } = body;
    this.#options.send(from, { type: "result", id, attempt, ...result });
  }

  async #propose(value: unknown): Promise<Ending> {
    if (!validators.validate(value)) return invalid();
    const { propose, commandTime: stamp } = this.#options;
    const stamped = { ...value as command.Command, at: stamp() };
    try {
      return { status: "applied", reply: await propose(stamped) as object };
    } catch (error) {
      const { kind = "", leader, message } = error as Fault;
      const status = refusals[kind] ?? "unknown";
      return { status, leader, detail: message };
    }
  }

  #remember(key: string): void {
    this.#seen.add(key);
    if (this.#seen.size <= MOST_SEEN) return;
    const [oldest] = this.#seen;
    this.#seen.delete(oldest);
  }
}

type Ending = Pick<schema.Result, "status" | "reply" | "leader" | "detail">;

/** Faults of the log that say that nothing was applied. */
const refusals: Record<string, schema.Result["status"]> = {
  "not-leader": "not-leader",
  "no-quorum": "no-quorum",
};

function invalid(): Ending {
  const { errors } = validators.validate as check.Validator;
  const { message } = new check.SchemaError(errors![0]);
  return { status: "invalid", detail: message };
}
