/** The `chicoryloft` command line.
 * @module */

import * as clipanion from "clipanion";
import * as client from "../client/mod.ts";
import * as changeCommand from "./change_command.ts";
import * as check from "./check_command.ts";
import * as hostCommands from "./host_commands.ts";
import * as evacuations from "./evacuations_command.ts";
import * as release from "./release_command.ts";
import * as requests from "./requests_command.ts";
import * as table from "./table_commands.ts";

/** Streams and environment of a command; those of the process when absent. */
export type Context = Partial<clipanion.BaseContext>;

/** Runs one command and returns its exit code. */
export async function main(
  args: string[],
  context: Context = {},
): Promise<number> {
  const cli = createCli();
  const fullContext = { ...clipanion.Cli.defaultContext, ...context };
  let command: clipanion.Command;
  try {
    command = cli.process(args, fullContext);
  } catch (error) {
    fullContext.stderr.write(cli.error(error as Error));
    return client.exitCodes.usage;
  }
  return await cli.run(command, fullContext);
}

function createCli(): clipanion.Cli {
  const cli = new clipanion.Cli({
    binaryLabel: "Chicoryloft, for operators",
    binaryName: "chicoryloft",
  });
  const commands = [
    clipanion.Builtins.HelpCommand,
    check.CheckCommand,
    requests.RequestsCommand,
    evacuations.EvacuationsCommand,
    release.ReleaseCommand,
    table.ShowCommand,
    table.EditCommand,
    table.ImportCommand,
    table.ExportCommand,
    table.WatchCommand,
    changeCommand.ResendCommand,
    hostCommands.PipelinesCommand,
    hostCommands.EndpointsCommand,
    hostCommands.StatusCommand,
    hostCommands.DumpCommand,
    hostCommands.DrainCommand,
  ];
  commands.forEach((command) => cli.register(command));
  return cli;
}
