/** Validation rules of the columns of the table.
 * @module */

import type * as schema from "../../schema/table_types.ts";

/** Maximum length of a text cell, in characters. */
export const MAX_TEXT_LENGTH = 128;
const MAX_NUMBER = 1e9;
const MAX_REPLICAS = 10_000;
const TOKEN_HASH = /^[0-9a-f]{64}$/;

/** Rules of one column. */
interface ColumnRule {
  /** Kinds of rows that may have the column; all if absent. */
  rows?: readonly string[];
  /** Description of the values allowed, for error messages. */
  expected: string;
  accepts(value: schema.CellValue): boolean;
}

const amount: ColumnRule = {
  expected: "a number from 0 on",
  accepts: (value) => isNumber(value) && value >= 0,
};

const text: ColumnRule = {
  rows: ["service"],
  expected: `a text of 1 to ${MAX_TEXT_LENGTH} characters`,
  accepts: (value) =>
    typeof value === "string" && value.length > 0 &&
    value.length <= MAX_TEXT_LENGTH,
};

const rules: Record<schema.Column, ColumnRule> = {
  weight: {
    expected: "a number above 0",
    accepts: (value) => isNumber(value) && value > 0,
  },
  rate: amount,
  concurrency: {
    expected: "a whole number from 0 on",
    accepts: (value) => isWhole(value) && value >= 0,
  },
  deadline: {
    expected: "whole milliseconds from 1 on",
    accepts: (value) => isWhole(value) && value >= 1,
  },
  priority: {
    expected: "a whole number from 0 to 9",
    accepts: (value) => isWhole(value) && value >= 0 && value <= 9,
  },
  spend: {
    expected: "a number from 0 to 1",
    accepts: (value) => isNumber(value) && value >= 0 && value <= 1,
  },
  tokenHash: {
    rows: ["account"],
    expected: "a SHA-256 of 64 hex digits",
    accepts: (value) => typeof value === "string" && TOKEN_HASH.test(value),
  },
  model: text,
  adapter: text,
  version: text,
  role: {
    rows: ["service"],
    expected: "one of both, prefill, decode",
    accepts: (value) =>
      value === "both" || value === "prefill" || value === "decode",
  },
  replicas: {
    rows: ["service"],
    expected: `a whole number from 0 to ${MAX_REPLICAS}`,
    accepts: (value) => isWhole(value) && value >= 0 && value <= MAX_REPLICAS,
  },
};

/** Desired value of a cell; null empties it. */
export type DesiredCell = Omit<schema.Change, "version">;

/** Returns why `change` is invalid, or undefined if it is valid. */
export function rejectionReason(change: DesiredCell): string | undefined {
  const { row, column, value } = change;
  const rule = rules[column];
  if (rule === undefined) return `there is no column ${column}`;
  if (!allowsRow(rule, row)) return `${row} cannot have the column ${column}`;
  if (value === null || rule.accepts(value)) return undefined;
  return `${row} ${column} must be ${rule.expected}`;
}

/** Returns a description of the values allowed in a cell; undefined if the row
 * cannot have the column. */
export function expectedValue(
  { row, column }: Pick<DesiredCell, "row" | "column">,
): string | undefined {
  const rule = rules[column];
  return rule !== undefined && allowsRow(rule, row) ? rule.expected : undefined;
}

/** Returns the names of all columns, in display order. */
export function names(): readonly schema.Column[] {
  return Object.keys(rules) as schema.Column[];
}

function allowsRow(rule: ColumnRule, row: string): boolean {
  const kind = row.slice(0, row.indexOf("/"));
  return rule.rows === undefined || rule.rows.includes(kind);
}

function isNumber(value: schema.CellValue): value is number {
  return typeof value === "number" && Math.abs(value) <= MAX_NUMBER;
}

function isWhole(value: schema.CellValue): value is number {
  return isNumber(value) && Number.isInteger(value);
}
