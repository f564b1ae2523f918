/** Parses cell values from text, and converts the table to CSV and back.
 * @module */

import * as csvParse from "csv-parse/sync";
import * as csvStringify from "csv-stringify/sync";
import * as table from "../../control/table/mod.ts";
import type * as schema from "../../schema/table_types.ts";
import * as client from "../client/mod.ts";

const { columns } = table;

/** CSV column with the version of each cell, so that an import cannot overwrite
 * edits made since the export. */
const VERSIONS_COLUMN = "versions";

/** Parses the value of a cell; an empty text empties the cell. */
export function parseValue(
  row: string,
  column: string,
  { text, place }: { text: string; place: string },
): schema.CellValue | null {
  if (text === "") return null;
  const name = checkColumn(column, place);
  const candidates = [Number(text), text];
  const accepted = candidates.find((value) =>
    !Number.isNaN(value) &&
    columns.rejectionReason({ row, column: name, value }) === undefined
  );
  if (accepted !== undefined) return accepted;
  const reason = columns.rejectionReason({ row, column: name, value: text });
  throw new client.ClientError("usage", `${place}: ${reason}, found ${text}`);
}

function checkColumn(name: string, place: string): schema.Column {
  const known = columns.names();
  if ((known as readonly string[]).includes(name)) return name as schema.Column;
  const message = `${place}: there is no column ${name}; there are ${
    known.join(", ")
  }`;
  throw new client.ClientError("usage", message);
}

/** Columns with a value in any row, in the order of the table. */
export function usedColumns(
  rows: readonly client.Row[],
): readonly schema.Column[] {
  return columns.names().filter((name) =>
    rows.some(({ cells }) => cells[name] !== undefined)
  );
}

/** Converts the table to CSV, with all columns. */
export function toCSV({ rows }: client.View): string {
  const names = columns.names();
  const records = rows.map(({ row, cells }) => [
    row,
    ...names.map((name) => cells[name]?.value ?? ""),
    names.filter((name) => cells[name] !== undefined)
      .map((name) => `${name}:${cells[name]!.version}`).join(" "),
  ]);
  const header = ["row", ...names, VERSIONS_COLUMN];
  return csvStringify.stringify([header, ...records]);
}

/** Changes that bring the table to the state of a CSV. Rows and columns missing
 * from the CSV are unchanged; an empty CSV cell empties the cell. */
export function fromCSV(
  text: string,
  { view, file }: { view: client.View; file: string },
): schema.Change[] {
  const current = new Map(view.rows.map(({ row, cells }) => [row, cells]));
  return readRecords(text, file).flatMap(({ record, line }) => {
    const { row, [VERSIONS_COLUMN]: versions, ...cells } = record;
    const place = `${file}:${line}`;
    const exportedVersions = versions === undefined
      ? undefined
      : parseVersions(versions);
    return Object.entries(cells).flatMap(([column, text]): schema.Change[] => {
      const name = checkColumn(column, place);
      const value = parseValue(row, column, { text, place });
      const cell = current.get(row)?.[name];
      if (value === (cell?.value ?? null)) return [];
      const version = exportedVersions === undefined
        ? cell?.version ?? 0
        : exportedVersions.get(name) ?? 0;
      return [{ row, column: name, version, value }];
    });
  });
}

interface CSVRecord {
  record: Record<string, string>;
  line: number;
}

function readRecords(text: string, file: string): CSVRecord[] {
  try {
    const records = csvParse.parse(text, {
      columns: true,
      bom: true,
      info: true,
      trim: true,
      skip_empty_lines: true,
    }) as unknown as { record: Record<string, string>; info: RecordInfo }[];
    return records.map(({ record, info }) => ({ record, line: info.lines }));
  } catch (cause) {
    const message = `${file}: ${(cause as Error).message}`;
    throw new client.ClientError("usage", message, { cause });
  }
}

interface RecordInfo {
  lines: number;
}

function parseVersions(text: string): ReadonlyMap<string, number> {
  const pairs = text.split(" ").filter((pair) => pair !== "")
    .map((pair) => pair.split(":"));
  return new Map(pairs.map(([name, version]) => [name, Number(version)]));
}
