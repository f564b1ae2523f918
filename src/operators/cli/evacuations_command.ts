/** `chicoryloft evacuations`: shows which data centres are evacuated.
 * @module */

import * as clipanion from "clipanion";
import * as client from "../client/mod.ts";
import * as command from "./command.ts";
import * as metricsCall from "./metrics_call.ts";

/** Evacuation report of a host with a disk. */
interface Report {
  readonly dataCentres: readonly {
    readonly dataCentre: string;
    readonly active: boolean;
    readonly ageMs: number;
  }[];
  readonly followers: number;
  readonly behind: readonly string[];
}

/** Shows evacuations as one host knows them. */
export class EvacuationsCommand extends command.Command {
  static override paths = [["evacuations"]];
  static override usage = clipanion.Command.Usage({
    description: "Show which data centres are evacuated, since when, and " +
      "which entry hosts have not received this yet",
    examples: [["Ask one host", "$0 evacuations --at 10.0.0.4:9464"]],
  });

  at = clipanion.Option.String("--at", {
    required: true,
    description: "Metrics address of a host with a disk, HOST:PORT",
  });

  override async run(): Promise<void> {
    const url = `http://${this.at}/evacuations`;
    const { status, text } = await metricsCall.call("GET", url);
    if (status !== 200) {
      const message = `${this.at} is no host with a disk`;
      throw new client.ClientError("usage", message);
    }
    const report = JSON.parse(text) as Report;
    this.print(report, () => formatReport(report));
  }
}

function formatReport({ dataCentres, followers, behind }: Report): string {
  const states = dataCentres.map(({ dataCentre, active, ageMs }) => {
    const state = active ? "evacuated" : "taken back";
    return `${dataCentre} ${state} for ${Math.round(ageMs / 1000)} s\n`;
  });
  const hosts = behind.length > 0 ? `: ${behind.join(", ")}` : "";
  return states.join("") +
    `${behind.length} of ${followers} entry hosts behind${hosts}\n`;
}
