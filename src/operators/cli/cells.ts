/** Turns texts that people write into cells, and the table into CSV and back.
 * @module */

import * as csvParse from "csv-parse/sync";
import * as csvStringify from "csv-stringify/sync";
import * as table from "../../control/table/mod.ts";
import type * as schema from "../../schema/table_types.ts";
import * as client from "../client/mod.ts";

const { columns } = table;

/** Column of the CSV that keeps the version of each cell, so that an import
 * cannot undo what others did since the export. */
const VERSIONS = "versions";

/** Reads the value of a cell; an empty text empties the cell. */
export function parseValue(
  row: string,
  column: string,
  { text, place }: { text: string; place: string },
): schema.CellValue | null {
  if (text === "") return null;
  const name = checkColumn(column, place);
  const readings = [Number(text), text];
  const fits = readings.find((value) =>
    !Number.isNaN(value) &&
    columns.reject({ row, column: name, value }) === undefined
  );
  if (fits !== undefined) return fits;
  const why = columns.reject({ row, column: name, value: text });
  throw new client.ClientError("usage", `${place}: ${why}, found ${text}`);
}

function checkColumn(name: string, place: string): schema.Column {
  const known = columns.names();
  if ((known as readonly string[]).includes(name)) return name as schema.Column;
  const message = `${place}: there is no column ${name}; there are ${
    known.join(", ")
  }`;
  throw new client.ClientError("usage", message);
}

/** Columns that any row fills, in the order of the table. */
export function usedColumns(
  rows: readonly client.Row[],
): readonly schema.Column[] {
  return columns.names().filter((name) =>
    rows.some(({ cells }) => cells[name] !== undefined)
  );
}

/** The table as CSV, with all columns. */
export function toCSV({ rows }: client.View): string {
  const names = columns.names();
  const records = rows.map(({ row, cells }) => [
    row,
    ...names.map((name) => cells[name]?.value ?? ""),
    names.filter((name) => cells[name] !== undefined)
      .map((name) => `${name}:${cells[name]!.version}`).join(" "),
  ]);
  const header = ["row", ...names, VERSIONS];
  return csvStringify.stringify([header, ...records]);
}

/** Changes that make the table what a CSV says. Rows and columns that the CSV
 * does not have stay as they are; an empty cell of the CSV empties. */
export function fromCSV(
  text: string,
  { view, file }: { view: client.View; file: string },
): schema.Change[] {
  const current = new Map(view.rows.map(({ row, cells }) => [row, cells]));
  return readRecords(text, file).flatMap(({ record, line }) => {
    const { row, [VERSIONS]: versions, ...cells } = record;
    const place = `${file}:${line}`;
    const known = versions === undefined ? undefined : parseVersions(versions);
    return Object.entries(cells).flatMap(([column, text]): schema.Change[] => {
      const name = checkColumn(column, place);
      const value = parseValue(row, column, { text, place });
      const cell = current.get(row)?.[name];
      if (value === (cell?.value ?? null)) return [];
      const version = known === undefined
        ? cell?.version ?? 0
        : known.get(name) ?? 0;
      return [{ row, column: name, version, value }];
    });
  });
}

interface Record_ {
  record: Record<string, string>;
  line: number;
}

function readRecords(text: string, file: string): Record_[] {
  try {
    const records = csvParse.parse(text, {
      columns: true,
      bom: true,
      info: true,
      trim: true,
      skip_empty_lines: true,
    }) as unknown as { record: Record<string, string>; info: Info }[];
    return records.map(({ record, info }) => ({ record, line: info.lines }));
  } catch (cause) {
    const message = `${file}: ${(cause as Error).message}`;
    throw new client.ClientError("usage", message, { cause });
  }
}

interface Info {
  lines: number;
}

function parseVersions(text: string): ReadonlyMap<string, number> {
  const pairs = text.split(" ").filter((pair) => pair !== "")
    .map((pair) => pair.split(":"));
  return new Map(pairs.map(([name, version]) => [name, Number(version)]));
}
