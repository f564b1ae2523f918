/** Commands that inspect or drain a host.
 * @module */

import * as clipanion from "clipanion";
import type * as settings from "../../schema/settings_types.ts";
import type * as access from "../access.ts";
import * as command from "./command.ts";
import * as textTable from "./text_table.ts";

/** Shows the status of a host. */
export class StatusCommand extends command.RemoteCommand {
  static override paths = [["status"]];
  static override usage = clipanion.Command.Usage({
    description: "Show the status of a host",
  });

  override async run(): Promise<void> {
    const status = await this.connect().read("/v1/status") as access.Status;
    this.print(status, ({ parts, ...rest }) => {
      const rows = Object.entries({ ...rest, ...parts }).map((
        [name, value],
      ) => [name, typeof value === "object" ? JSON.stringify(value) : value]);
      return textTable.textTable(["name", "value"], rows);
    });
  }
}

/** Lists pipelines with their stages. */
export class PipelinesCommand extends command.RemoteCommand {
  static override paths = [["pipelines"]];
  static override usage = clipanion.Command.Usage({
    description: "List pipelines with their stages",
  });

  override async run(): Promise<void> {
    const { pipelines } = await this.connect().read("/v1/pipelines") as {
      pipelines: settings.Pipeline[];
    };
    this.print(pipelines, (list) =>
      textTable.textTable(
        ["pipeline", "deadline ms", "stages"],
        list.map(({ name, deadline, stages }) => [
          name,
          deadline,
          stages.map(({ name, service }) => `${name}@${service}`).join(", "),
        ]),
      ));
  }
}

/** Lists the endpoints that a host knows. */
export class EndpointsCommand extends command.RemoteCommand {
  static override paths = [["endpoints"]];
  static override usage = clipanion.Command.Usage({
    description: "List the endpoints that a host knows",
  });

  override async run(): Promise<void> {
    const { endpoints } = await this.connect().read("/v1/endpoints") as {
      endpoints: access.EndpointView[];
    };
    this.print(endpoints, (list) =>
      textTable.textTable(
        ["endpoint", "service", "kind", "data centre", "state", "slots", "url"],
        list.map((e) => [
          e.id,
          e.service,
          e.kind,
          e.dataCentre,
          e.state,
          e.slots,
          e.url,
        ]),
      ));
  }
}

/** Prints the state of all parts of a host. */
export class DumpCommand extends command.RemoteCommand {
  static override paths = [["dump"]];
  static override usage = clipanion.Command.Usage({
    description: "Print the state of all parts of a host, always as JSON",
  });

  override async run(): Promise<void> {
    const dump = await this.connect().read("/v1/dump");
    this.print(dump, (value) => `${JSON.stringify(value, undefined, 2)}\n`);
  }
}

/** Drains a host. */
export class DrainCommand extends command.RemoteCommand {
  static override paths = [["drain"]];
  static override usage = clipanion.Command.Usage({
    description: "Make a host finish its requests and refuse new ones",
  });

  override async run(): Promise<void> {
    const answer = await this.connect().drain() as { state: string };
    this.print(answer, ({ state }) => `${state}\n`);
  }
}
