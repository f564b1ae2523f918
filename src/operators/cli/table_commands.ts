/** Commands that show, edit, export, import and watch the table.
 * @module */

import * as fs from "node:fs";
import * as clipanion from "clipanion";
import type * as schema from "../../schema/table_types.ts";
import * as client from "../client/mod.ts";
import * as cells from "./cells.ts";
import * as changeCommand from "./change_command.ts";
import * as command from "./command.ts";
import * as textTable from "./text_table.ts";

/** Maximum number of characters shown of a cell's text. */
const MAX_CELL_WIDTH = 16;

/** Shows the table. */
export class ShowCommand extends command.RemoteCommand {
  static override paths = [["table", "show"]];
  static override usage = clipanion.Command.Usage({
    description: "Show the table",
  });

  rows = clipanion.Option.String("--rows", "", {
    description: "Start of the rows' names, such as account/",
  });

  override async run(): Promise<void> {
    const view = await this.connect().table();
    const rows = view.rows.filter(({ row }) => row.startsWith(this.rows));
    this.print({ ...view, rows }, () => showRows(rows));
  }
}

function showRows(rows: readonly client.Row[]): string {
  const columns = cells.usedColumns(rows);
  return textTable.textTable(
    ["row", ...columns],
    rows.map(({ row, cells }) => [
      row,
      ...columns.map((column) => shorten(cells[column]?.value)),
    ]),
  );
}

function shorten(value: schema.CellValue | undefined) {
  if (typeof value !== "string" || value.length <= MAX_CELL_WIDTH) return value;
  return `${value.slice(0, MAX_CELL_WIDTH - 3)}...`;
}

/** Changes cells of one row. */
export class EditCommand extends changeCommand.ChangeCommand {
  static override paths = [["table", "edit"]];
  static override usage = clipanion.Command.Usage({
    description: "Change cells of one row",
    details: "The edit is based on the current versions of the cells, or on " +
      "--version. COLUMN= empties a cell.",
    examples: [
      [
        "Set the weight of an account",
        "$0 table edit account/dive-crews weight=8",
      ],
    ],
  });

  row = clipanion.Option.String({ name: "ROW" });
  cells = clipanion.Option.Rest({ name: "COLUMN=VALUE", required: 1 });
  version = clipanion.Option.String("--version", {
    description: "Version of the cells on which the edit is based",
  });

  override async run(): Promise<void> {
    const edits = this.cells.map((cell) => this.#parse(cell));
    const source = this.connect();
    const { rows } = await source.table();
    const current = rows.find(({ row }) => row === this.row)?.cells ?? {};
    await this.apply(
      source,
      edits.map(({ column, value }) => {
        const version = this.version === undefined
          ? current[column]?.version ?? 0
          : command.parseRevision(this.version);
        return { row: this.row, column, version, value };
      }),
    );
  }

  #parse(cell: string): Pick<schema.Change, "column" | "value"> {
    const pos = cell.indexOf("=");
    if (pos < 0) {
      const message = `${cell} is not COLUMN=VALUE`;
      throw new client.ClientError("usage", message);
    }
    const column = cell.slice(0, pos);
    const text = cell.slice(pos + 1);
    const value = cells.parseValue(this.row, column, { text, place: cell });
    return { column: column as schema.Column, value };
  }
}

/** Writes the table as CSV. */
export class ExportCommand extends command.RemoteCommand {
  static override paths = [["table", "export"]];
  static override usage = clipanion.Command.Usage({
    description: "Write the table as CSV, to a file or to standard output",
  });

  file = clipanion.Option.String({ name: "FILE", required: false });

  override async run(): Promise<void> {
    const view = await this.connect().table();
    const text = this.json
      ? `${JSON.stringify(view, undefined, 2)}\n`
      : cells.toCSV(view);
    if (this.file === undefined) this.context.stdout.write(text);
    else fs.writeFileSync(this.file, text);
  }
}

/** Changes the table to match a CSV file. */
export class ImportCommand extends changeCommand.ChangeCommand {
  static override paths = [["table", "import"]];
  static override usage = clipanion.Command.Usage({
    description: "Change the table to match a CSV file, in one edit",
    details:
      "Only cells that differ are changed. An exported file contains the " +
      "versions of its cells, so an import cannot overwrite edits made since; " +
      "it fails with a conflict instead.",
  });

  file = clipanion.Option.String({ name: "FILE" });
  dryRun = clipanion.Option.Boolean("--dry-run", false, {
    description: "Only show what would change",
  });

  override async run(): Promise<void> {
    const text = command.readText(this.file);
    const source = this.connect();
    const view = await source.table();
    const changes = cells.fromCSV(text, { view, file: this.file });
    if (!this.dryRun) return await this.apply(source, changes);
    this.print(changes, showChanges);
  }
}

function showChanges(changes: readonly schema.Change[]): string {
  return textTable.textTable(
    ["row", "column", "version", "value"],
    changes.map(({ row, column, version, value }) => [
      row,
      column,
      version,
      value ?? "(empty)",
    ]),
  );
}

/** Prints changes of the table as they take effect. */
export class WatchCommand extends command.RemoteCommand {
  static override paths = [["table", "watch"]];
  static override usage = clipanion.Command.Usage({
    description: "Print changes of the table as they occur, until interrupted",
    details: "With --json each line is one event.",
  });

  from = clipanion.Option.String("--from", "0", {
    description: "Revision after which to start",
  });

  override async run(): Promise<void> {
    const from = command.parseRevision(this.from);
    const messages = this.connect().watch(from, (error) => {
      this.context.stderr.write(`connection lost: ${error.message}\n`);
    });
    for await (const message of messages) {
      const text = this.json ? JSON.stringify(message) : showMessage(message);
      this.context.stdout.write(`${text}\n`);
    }
  }
}

function showMessage(message: client.TableMessage): string {
  if (message.type === "table") {
    return `revision ${message.revision}, ${message.rows.length} rows\n` +
      showRows(message.rows).trimEnd();
  }
  const { revision, actor, at, changes } = message;
  const time = new Date(at).toISOString();
  const list = changes.map(({ row, column, value }) =>
    `${row} ${column}=${value ?? ""}`
  );
  return `revision ${revision} by ${actor} at ${time}: ${list.join(", ")}`;
}
