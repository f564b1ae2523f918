/** A daemon run as a real process, for measurements of failures only.
 * @module */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";

/** How to start a daemon. */
export interface Command {
  /** Path of the settings file. */
  settings: string;
  host: string;
  env: Readonly<Record<string, string>>;
  /** Path of the file that takes its output. */
  log: string;
}

/** What a process has used so far. */
export interface Usage {
  /** Milliseconds of processor time. */
  cpu: number;
  /** Bytes resident. */
  resident: number;
}

const PROGRAM = "dist/bin/chicoryloftd.js";

/** Linux counts processor time in hundredths of a second. */
const TICK = 10;

/** One running daemon. */
export class Daemon {
  readonly command: Command;
  readonly #process: childProcess.ChildProcess;
  readonly #ended: Promise<number | null>;

  private constructor(command: Command) {
    const output = fs.openSync(command.log, "a");
    this.command = command;
    this.#process = childProcess.spawn(
      process.execPath,
      [PROGRAM, "--settings", command.settings, "--host", command.host],
      { env: command.env, stdio: ["ignore", output, output] },
    );
    fs.closeSync(output);
    this.#ended = new Promise((resolve) => {
      this.#process.once("exit", (code) => resolve(code));
    });
  }

  /** Starts a daemon. */
  static start(command: Command): Daemon {
    return new Daemon(command);
  }

  /** Process id. */
  get pid(): number {
    return this.#process.pid!;
  }

  /** Whether the process still runs. */
  get running(): boolean {
    return this.#process.exitCode === null && this.#process.signalCode === null;
  }

  /** Sends a signal to the process. */
  signal(name: NodeJS.Signals): void {
    this.#process.kill(name);
  }

  /** Resolves to the exit code, or to null when a signal ended it. */
  ended(): Promise<number | null> {
    return this.#ended;
  }

  /** Reads what the process has used from `/proc`. */
  usage(): Usage {
    const stat = fs.readFileSync(`/proc/${this.pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const [user, system] = [Number(fields[11]), Number(fields[12])];
    const status = fs.readFileSync(`/proc/${this.pid}/status`, "utf8");
    const resident = /VmRSS:\s+(\d+)/.exec(status);
    return {
      cpu: (user + system) * TICK,
      resident: Number(resident?.[1] ?? 0) * 1024,
    };
  }
}
