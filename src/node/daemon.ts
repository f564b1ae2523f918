/** The `chicoryloftd` daemon: runs one node and handles signals.
 * @module */

import * as clipanion from "clipanion";
import * as settings from "../settings/mod.ts";
import * as node from "./node.ts";

/** Exit codes of the daemon. */
const exitCodes = { ok: 0, failed: 1, settings: 2 } as const;

/** Runs one host until it receives a termination signal. */
export class DaemonCommand extends clipanion.Command {
  static override paths = [clipanion.Command.Default];
  static override usage = clipanion.Command.Usage({
    description: "Run one host of the system",
    details:
      "SIGTERM and SIGINT drain and stop the host; a second signal ends it " +
      "immediately. SIGUSR2 prints the state of all parts as one line of JSON.",
  });

  settings = clipanion.Option.String("--settings", {
    required: true,
    description: "Settings file",
  });
  host = clipanion.Option.String("--host", {
    description: "Id of the host; overrides the one in the file",
  });

  override async execute(): Promise<number> {
    try {
      return await run(settings.load(this.settings, { host: this.host }));
    } catch (error) {
      this.context.stderr.write(`chicoryloftd: ${explain(error)}\n`);
      return error instanceof settings.SettingsError
        ? exitCodes.settings
        : exitCodes.failed;
    }
  }
}

/** Joins an error's message with those of its causes, which hold the reason. */
function explain(error: unknown): string {
  const messages: string[] = [];
  for (let current = error; current instanceof Error; current = current.cause) {
    messages.push(current.message);
  }
  return messages.join(": ");
}

/** Resolves with the exit code once the host has stopped. */
async function run(
  hostSettings: ReturnType<typeof settings.load>,
): Promise<number> {
  let code: number = exitCodes.ok;
  let end = () => {};
  const ended = new Promise<void>((resolve) => end = resolve);
  const host = await node.Node.start({
    settings: hostSettings,
    onFailure() {
      code = exitCodes.failed;
      end();
    },
  });
  const dump = () => {
    process.stdout.write(`${JSON.stringify({ dump: host.dump() })}\n`);
  };
  const onSignal = () => {
    // With the handlers removed, a second signal ends the process immediately.
    process.off("SIGTERM", onSignal).off("SIGINT", onSignal);
    end();
  };
  process.on("SIGUSR2", dump).on("SIGTERM", onSignal).on("SIGINT", onSignal);
  try {
    await Promise.race([ended, host.ready.then(() => ended)]);
  } finally {
    await host.stop();
    process.off("SIGUSR2", dump);
  }
  return code;
}

/** Runs the daemon and returns its exit code. */
export async function main(args: string[]): Promise<number> {
  const cli = new clipanion.Cli({
    binaryLabel: "Chicoryloft, one host",
    binaryName: "chicoryloftd",
  });
  cli.register(clipanion.Builtins.HelpCommand);
  cli.register(DaemonCommand);
  const { defaultContext } = clipanion.Cli;
  try {
    return await cli.run(cli.process(args, defaultContext), defaultContext);
  } catch (error) {
    defaultContext.stderr.write(cli.error(error as Error));
    return exitCodes.settings;
  }
}
