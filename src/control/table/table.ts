/** The operators' table: rows of cells that are changed by compare-and-set.
 * @module */

import type * as schema from "../../schema/table_types.ts";
import * as column from "./column.ts";
import * as trie from "./trie.ts";

/** Maximum number of rows, including rows whose cells are all empty. */
export const MAX_ROWS = 10_000;

/** A cell and the actor of its last change; `value` is null if the cell was
 * emptied. */
export interface Cell {
  readonly value: schema.CellValue | null;
  /** Revision of the last change of the cell. */
  readonly version: number;
  readonly actor: string;
}

/** Cells of one row by column, including emptied cells. */
export type Cells = Readonly<Partial<Record<schema.Column, Cell>>>;

/** A cell after a change. */
export interface CellWrite extends Cell {
  readonly row: string;
  readonly column: schema.Column;
}

/** The cell that made a compare-and-set fail. */
export interface Conflict {
  row: string;
  column: schema.Column;
  /** Current version, which an edit must state; 0 if the cell is empty. */
  version: number;
  value: schema.CellValue | null;
  /** Actor of the last change; empty if the cell was never written. */
  actor: string;
}

/** Answer to an edit. */
export type Answer =
  | { type: "accepted"; revision: number }
  | { type: "conflict"; conflict: Conflict }
  | { type: "refused"; detail: string };

/** The table after an edit, the answer, and the cells that the edit wrote. */
export interface ApplyResult {
  table: Table;
  answer: Answer;
  written: readonly CellWrite[];
}

/** A row with its cells that are not empty. */
export interface Row {
  row: string;
  cells: Partial<Record<schema.Column, schema.Cell>>;
}

/** A table as JSON, including emptied cells. */
export interface TableJSON {
  revision: number;
  rows: { row: string; cells: Cells }[];
}

/** Immutable table; an edit copies only the rows that it changes. */
export class Table {
  /** Number of accepted edits. */
  readonly revision: number;
  readonly #rows: trie.Trie<Cells>;

  private constructor(revision: number, rows: trie.Trie<Cells>) {
    this.revision = revision;
    this.#rows = rows;
  }

  /** Creates an empty table. */
  static create(): Table {
    return new Table(0, trie.Trie.create<Cells>());
  }

  /** Restores the table that `toJSON` returned. */
  static fromJSON(json: TableJSON): Table {
    const rows = json.rows.map(({ row, cells }) => [row, cells] as const);
    return new Table(json.revision, trie.Trie.create(rows));
  }

  /** Returns the rows in order of their names. */
  toJSON(): TableJSON {
    const rows = [...this.#rows.entries()].sort(compareNames);
    return {
      revision: this.revision,
      rows: rows.map(([row, cells]) => ({ row, cells })),
    };
  }

  /** Number of rows, including rows whose cells are all empty. */
  get size(): number {
    return this.#rows.size;
  }

  /** Returns a cell; undefined if it is empty. */
  cell(row: string, name: schema.Column): schema.Cell | undefined {
    const cell = this.#rows.get(row)?.[name];
    if (cell === undefined || cell.value === null) return undefined;
    return { value: cell.value, version: cell.version };
  }

  /** Returns the value of a cell; undefined if it is empty. */
  value(row: string, name: schema.Column): schema.CellValue | undefined {
    return this.#rows.get(row)?.[name]?.value ?? undefined;
  }

  /** Returns a row; undefined if all of its cells are empty. */
  row(name: string): Row | undefined {
    const cells = this.#rows.get(name);
    if (cells === undefined) return undefined;
    const filled = Object.entries(cells).filter(([, cell]) =>
      cell.value !== null
    ).map(([key, { value, version }]) => [key, { value, version }]);
    if (filled.length === 0) return undefined;
    return { row: name, cells: Object.fromEntries(filled) };
  }

  /** Returns the actors of the last changes of a row's cells, including emptied
   * cells. */
  lastWriters(name: string): string[] {
    const cells = Object.values(this.#rows.get(name) ?? {});
    return [...new Set(cells.map(({ actor }) => actor))].sort();
  }

  /** Returns the rows that are not empty, in order of their names; only rows
   * whose names begin with `kind`. */
  rows(kind = ""): Row[] {
    const names = [...this.#rows.entries()].map(([name]) => name);
    return names.filter((name) => name.startsWith(kind)).sort()
      .map((name) => this.row(name))
      .filter((row) => row !== undefined);
  }

  /** Applies all changes of `edit`, or none of them. */
  apply(edit: schema.Edit): ApplyResult {
    const detail = this.#rejectionReason(edit);
    if (detail !== undefined) {
      return this.#unchanged({ type: "refused", detail });
    }
    const conflict = this.#findConflict(edit.changes);
    if (conflict) return this.#unchanged({ type: "conflict", conflict });
    const revision = this.revision + 1;
    const written = edit.changes.map(({ row, column, value }) => ({
      row,
      column,
      value,
      version: revision,
      actor: edit.actor,
    }));
    const table = this.applyWrites(revision, written);
    return { table, answer: { type: "accepted", revision }, written };
  }

  /** Returns a copy at `revision` with those cells of `written` that are newer
   * than the cells of this table. Watchers apply deltas with it. */
  applyWrites(revision: number, written: readonly CellWrite[]): Table {
    let rows = this.#rows;
    for (const { row, column, ...cell } of written) {
      const cells = rows.get(row);
      if ((cells?.[column]?.version ?? 0) >= cell.version) continue;
      rows = rows.set(row, { ...cells, [column]: cell });
    }
    return new Table(revision, rows);
  }

  #unchanged(answer: Answer): ApplyResult {
    return { table: this, answer, written: [] };
  }

  #rejectionReason({ changes }: schema.Edit): string | undefined {
    const seen = new Set<string>();
    let added = 0;
    for (const change of changes) {
      const detail = column.rejectionReason(change);
      if (detail !== undefined) return detail;
      const cell = `${change.row} ${change.column}`;
      if (seen.has(cell)) return `${cell} is changed twice`;
      seen.add(cell);
      if (this.#rows.get(change.row) === undefined) added++;
    }
    if (added === 0 || this.#rows.size + added <= MAX_ROWS) return undefined;
    return `the table would have more than ${MAX_ROWS} rows`;
  }

  #findConflict(changes: readonly schema.Change[]): Conflict | undefined {
    for (const { row, column, version } of changes) {
      const cell = this.#rows.get(row)?.[column];
      const current = cell === undefined || cell.value === null
        ? 0
        : cell.version;
      if (current === version) continue;
      const { value = null, actor = "" } = cell ?? {};
      return { row, column, version: current, value, actor };
    }
    return undefined;
  }
}

function compareNames(
  [a]: readonly [string, unknown],
  [b]: readonly [string, unknown],
) {
  return a < b ? -1 : a > b ? 1 : 0;
}
