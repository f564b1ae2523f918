/** `chicoryloft requests`: summarizes requests from the logs of entry hosts.
 * @module */

import * as fs from "node:fs";
import * as clipanion from "clipanion";
import * as client from "../client/mod.ts";
import * as requestReport from "../request_report.ts";
import * as command from "./command.ts";
import * as textTable from "./text_table.ts";

/** Default length of a window, about that of a short burst. */
const DEFAULT_WINDOW_SECONDS = 2;

/** Summarizes requests by route and time window. */
export class RequestsCommand extends command.Command {
  static override paths = [["requests"]];
  static override usage = clipanion.Command.Usage({
    description: "Summarize requests from the logs of entry hosts",
    details: "By route and by window: how many were in time, late, refused, " +
      "failed or left by their callers, for which reasons, and how long the " +
      "phases of answered requests took.",
    examples: [["A minute at a time", "$0 requests entry.log --window 60"]],
  });

  files = clipanion.Option.Rest({ required: 1, name: "FILE" });

  window = clipanion.Option.String("--window", `${DEFAULT_WINDOW_SECONDS}`, {
    description: "Length of a window in seconds",
  });

  override run(): Promise<void> {
    const window = Number(this.window);
    if (!(window > 0)) {
      throw new client.ClientError(
        "usage",
        `--window takes seconds above 0, not ${this.window}`,
      );
    }
    const lines = this.files.flatMap((file) =>
      requestReport.read(readLog(file))
    );
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

function readLog(file: string): string {
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
