/** Redacts token hashes for readers, logs and dumps.
 * @module */

import type * as table from "../control/table/mod.ts";
import type * as schema from "../schema/table_types.ts";

/** Placeholder for a redacted value. */
export const REDACTED = "[redacted]";

const HIDDEN: ReadonlySet<string> = new Set<schema.Column>(["tokenHash"]);

/** Redacts the secret cells of rows. */
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

/** Redacts the values of secret cells; null, which empties a cell, is kept. */
export function redactValues<T extends ColumnValue>(
  cells: readonly T[],
): readonly T[] {
  return cells.map((cell) =>
    HIDDEN.has(cell.column) && cell.value !== null
      ? { ...cell, value: REDACTED }
      : cell
  );
}
