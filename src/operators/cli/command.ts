/** Bases of the commands: options, output and exit codes.
 * @module */

import * as fs from "node:fs";
import * as clipanion from "clipanion";
import * as runtime from "../../runtime/mod.ts";
import * as settings from "../../settings/mod.ts";
import * as client from "../client/mod.ts";

/** A command that prints text or JSON. */
export abstract class Command extends clipanion.Command {
  json = clipanion.Option.Boolean("--json", false, {
    description: "Print JSON",
  });

  /** Runs the command; throws the error to report. */
  abstract run(): Promise<void>;

  override async execute(): Promise<number> {
    try {
      await this.run();
      return client.exitCodes.ok;
    } catch (error) {
      return this.#report(error);
    }
  }

  /** Prints `value` as JSON with `--json`, else as formatted by `show`. */
  protected print<T>(value: T, show: (value: T) => string): void {
    const text = this.json
      ? `${JSON.stringify(value, undefined, 2)}\n`
      : show(value);
    this.context.stdout.write(text);
  }

  #report(error: unknown): number {
    if (error instanceof client.ClientError) {
      const { failure, message, problem } = error;
      const document = problem ?? { title: failure, detail: message };
      const text = this.json ? JSON.stringify(document) : message;
      this.context.stderr.write(`${text}\n`);
      return client.exitCodes[failure];
    }
    if (error instanceof settings.SettingsError) {
      this.context.stderr.write(`${error.message}\n`);
      return client.exitCodes.usage;
    }
    this.context.stderr.write(`${(error as Error).stack}\n`);
    return client.exitCodes.failed;
  }
}

/** URL of the operators' API when no option or variable gives one. */
const DEFAULT_URL = "http://127.0.0.1:9101";

/** A command that calls a host. */
export abstract class RemoteCommand extends Command {
  urls = clipanion.Option.Array("--url", [], {
    description: "Operators' URL of a host; several are tried in turn " +
      "(or CHICORYLOFT_URL, separated by commas)",
  });
  tokenFile = clipanion.Option.String("--token-file", {
    description: "File with the operator's token (or CHICORYLOFT_TOKEN)",
  });

  /** Creates a client from the options. */
  protected connect(): client.Client {
    return client.Client.create({
      urls: this.#findUrls().map((url) => url.replace(/\/+$/, "")),
      token: this.#findToken(),
      clock: runtime.systemClock,
    });
  }

  #findUrls(): readonly string[] {
    if (this.urls.length > 0) return this.urls;
    const { CHICORYLOFT_URL: url = DEFAULT_URL } = this.context.env;
    return url.split(",");
  }

  #findToken(): string {
    const { CHICORYLOFT_TOKEN: token } = this.context.env;
    if (this.tokenFile !== undefined) return readToken(this.tokenFile);
    if (token) return token;
    const message = "give the operator's token by --token-file or " +
      "CHICORYLOFT_TOKEN";
    throw new client.ClientError("usage", message);
  }
}

function readToken(file: string): string {
  return settings.readSecret({ file });
}

/** Reads a file, or standard input for `-`. */
export function readText(file: string): string {
  try {
    return fs.readFileSync(file === "-" ? 0 : file, "utf8");
  } catch (cause) {
    const message = `${file}: ${(cause as Error).message}`;
    throw new client.ClientError("usage", message, { cause });
  }
}

/** Parses a revision of the table. */
export function parseRevision(text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text);
  const message = `${text} is not a whole number`;
  throw new client.ClientError("usage", message);
}
