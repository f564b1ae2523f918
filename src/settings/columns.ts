/** What the columns of the table may hold, and on which rows.
 * @module */

import type * as table from "../schema/table_types.ts";

/** First part of a row's name, such as `account` of `account/kivu-crews`. */
export type RowKind = "account" | "kind" | "service";

interface Column {
  rows: readonly RowKind[];
  expected: string;
  allows(value: table.CellValue): boolean;
}

const CALLERS: readonly RowKind[] = ["account", "kind"];
const SERVICES: readonly RowKind[] = ["service"];
const MOST_REPLICAS = 10_000;

const text: Pick<Column, "expected" | "allows"> = {
  expected: "a text that is not empty",
  allows: (value) => typeof value === "string" && value.length > 0,
};

const columns: Record<table.Column, Column> = {
  weight: {
    rows: CALLERS,
    expected: "a number above 0",
    allows: (value) => isNumber(value) && value > 0,
  },
  rate: {
    rows: [...CALLERS, ...SERVICES],
    expected: "a number from 0",
    allows: (value) => isNumber(value) && value >= 0,
  },
  concurrency: {
    rows: [...CALLERS, ...SERVICES],
    expected: "a whole number from 0",
    allows: (value) => isWhole(value) && value >= 0,
  },
  deadline: {
    rows: CALLERS,
    expected: "a whole number of milliseconds from 1",
    allows: (value) => isWhole(value) && value >= 1,
  },
  priority: {
    rows: CALLERS,
    expected: "a whole number from 0 to 9",
    allows: (value) => isWhole(value) && value >= 0 && value <= 9,
  },
  spend: {
    rows: CALLERS,
    expected: "a number from 0 to 1",
    allows: (value) => isNumber(value) && value >= 0 && value <= 1,
  },
  tokenHash: {
    rows: ["account"],
    expected: "64 hex digits in lower case",
    allows: (value) => /^[0-9a-f]{64}$/.test(String(value)),
  },
  model: { rows: SERVICES, ...text },
  adapter: { rows: SERVICES, ...text },
  version: { rows: SERVICES, ...text },
  role: {
    rows: SERVICES,
    expected: "one of both, prefill, decode",
    allows: (value) => ["both", "prefill", "decode"].includes(String(value)),
  },
  replicas: {
    rows: SERVICES,
    expected: `a whole number from 0 to ${MOST_REPLICAS}`,
    allows: (value) => isWhole(value) && value >= 0 && value <= MOST_REPLICAS,
  },
};

/** A cell as somebody wants it to be. */
export interface DesiredCell {
  row: string;
  column: string;
  value: table.CellValue;
}

/** Says what a cell should hold instead, or undefined when it is fine. */
export function explainCell(cell: DesiredCell): string | undefined {
  if (!isColumn(cell.column)) {
    return `one of the columns ${Object.keys(columns).join(", ")}`;
  }
  const column = columns[cell.column];
  const kind = cell.row.split("/")[0] as RowKind;
  if (!column.rows.includes(kind)) {
    return `no ${cell.column} on a row of kind ${kind}`;
  }
  return column.allows(cell.value) ? undefined : column.expected;
}

/** Whether the table has a column of this name. */
export function isColumn(name: string): name is table.Column {
  return Object.hasOwn(columns, name);
}

/** Names of all columns, in the order of the table. */
export function columnNames(): readonly table.Column[] {
  return Object.keys(columns) as table.Column[];
}

function isNumber(value: table.CellValue): value is number {
  return typeof value === "number" && Number.isFinite(value);
}

function isWhole(value: table.CellValue): value is number {
  return isNumber(value) && Number.isSafeInteger(value);
}
