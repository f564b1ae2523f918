/** `chicoryloft requests`: what the logs of entry hosts say of their requests.
 * @module */

import * as fs from "node:fs";
import * as clipanion from "clipanion";
import * as client from "../client/mod.ts";
import * as requestReport from "../request_report.ts";
import * as command from "./command.ts";
import * as textTable from "./text_table.ts";

/** Seconds of a window where none are given: as long as a short burst. */
const WINDOW = 2;

/** Sums up requests by route and window. */
export class RequestsCommand extends command.Command {
  static override paths = [["requests"]];
  static override usage = clipanion.Command.Usage({
    description: "Sum up what became of requests, from logs of entry hosts",
    details: "By route and by window: how many were in time, late, refused, " +
      "failed or left by their callers, for which reasons, and where the time " +
      "of those that were served went.",
    examples: [["A minute at a time", "$0 requests entry.log --window 60"]],
  });

  files = clipanion.Option.Rest({ required: 1, name: "FILE" });

  window = clipanion.Option.String("--window", `${WINDOW}`, {
    description: "Seconds of a window",
  });

  override run(): Promise<void> {
    const window = Number(this.window);
    if (!(window > 0)) {
      throw new client.ClientError(
        "usage",
        `--window takes seconds above 0, not ${this.window}`,
      );
    }
    const lines = this.files.flatMap((file) => requestReport.read(load(file)));
    const report = requestReport.summarize(lines, window);
    this.print(report, ({ routes, windows }) =>
      [
        countTable("route", routes),
        timeTable(routes),
        countTable("from", windows),
      ].join("\n"));
    return Promise.resolve();
  }
}

function load(file: string): string {
  try {
    return fs.readFileSync(file, "utf8");
  } catch (error) {
    const { message } = error as Error;
    throw new client.ClientError("usage", message);
  }
}

function countTable(
  name: string,
  parts: readonly requestReport.RequestGroup[],
): string {
  const headings = [name, "rank", "in time", "late", "refused", "failed"];
  return textTable.textTable(
    [...headings, "left", "reasons"],
    parts.map(({ name, rank, counts, reasons }) => [
      name,
      rank,
      counts["in-time"],
      counts.late,
      counts.refused,
      counts.failed,
      counts.left,
      Object.entries(reasons).sort(([, one], [, other]) => other - one)
        .map(([reason, count]) => `${reason} ${count}`).join(", "),
    ]),
  );
}

function timeTable(routes: readonly requestReport.RequestGroup[]): string {
  return textTable.textTable(
    ["route", "ms of those served", "count", "p50", "p90", "p99"],
    routes.flatMap(({ name, times }) =>
      Object.entries(times).map(([what, { count, p50, p90, p99 }]) => [
        name,
        what,
        count,
        p50,
        p90,
        p99,
      ])
    ),
  );
}
