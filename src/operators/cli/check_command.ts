/** `chicoryloft check`: validates a settings file.
 * @module */

import * as clipanion from "clipanion";
import * as settings from "../../settings/mod.ts";
import * as command from "./command.ts";

/** Validates a settings file for each host of its fleet. */
export class CheckCommand extends command.Command {
  static override paths = [["check"]];
  static override usage = clipanion.Command.Usage({
    description: "Check a settings file for each host of its fleet",
    examples: [["Check an example", "$0 check examples/kivu/fleet.yaml"]],
  });

  file = clipanion.Option.String({ name: "FILE" });

  override run(): Promise<void> {
    const { fleet, services, pipelines } = settings.load(this.file);
    const hosts = fleet.hosts.map(({ id }) => id);
    for (const host of hosts) settings.load(this.file, { host });
    const summary = {
      file: this.file,
      hosts,
      services: services.map(({ name }) => name),
      pipelines: pipelines.map(({ name }) => name),
    };
    this.print(summary, () =>
      `${this.file} is fine: ${hosts.length} hosts, ` +
      `${services.length} services, ${pipelines.length} pipelines\n`);
    return Promise.resolve();
  }
}
