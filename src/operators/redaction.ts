/** Hides the hashes of tokens from those who only look.
 * @module */

import type * as table from "../control/table/mod.ts";
import type * as schema from "../schema/table_types.ts";

/** What stands in place of a hidden value. */
export const REDACTED = "[redacted]";

const HIDDEN: ReadonlySet<string> = new Set<schema.Column>(["tokenHash"]);

/** Rows without hidden values. */
export function redactRows(rows: readonly table.Row[]): readonly table.Row[] {
  return rows.map(({ row, cells }) => ({
    row,
    cells: Object.fromEntries(
      Object.entries(cells).map(([column, cell]) => [
        column,
        HIDDEN.has(column) ? { ...cell, value: REDACTED } : cell,
      ]),
    ),
  }));
}

interface ColumnValue {
  column: schema.Column;
  value: schema.CellValue | null;
}

/** Cells without hidden values; what empties a cell stays visible. */
export function redactValues<T extends ColumnValue>(
  cells: readonly T[],
): readonly T[] {
  return cells.map((cell) =>
    HIDDEN.has(cell.column) && cell.value !== null
      ? { ...cell, value: REDACTED }
      : cell
  );
}
