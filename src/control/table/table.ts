/** The operators' table: rows of cells, changed by compare-and-set.
 * @module */

import type * as schema from "../../schema/table_types.ts";
import * as column from "./column.ts";
import * as trie from "./trie.ts";

/** Most rows that the table ever holds. */
export const MAX_ROWS = 10_000;

/** A cell with who wrote it; `value` is null once it was emptied. */
export interface Cell {
  readonly value: schema.CellValue | null;
  /** Revision that last changed the cell. */
  readonly version: number;
  readonly actor: string;
}

/** Cells of one row by column, emptied ones included. */
export type Cells = Readonly<Partial<Record<schema.Column, Cell>>>;

/** One cell as a change of the table left it. */
export interface CellWrite extends Cell {
  readonly row: string;
  readonly column: schema.Column;
}

/** What the loser of a race lost to. */
export interface Conflict {
  row: string;
  column: schema.Column;
  /** Version that an edit must now be made from; 0 when the cell is empty. */
  version: number;
  value: schema.CellValue | null;
  /** Who wrote the cell last; empty when nobody did. */
  actor: string;
}

/** Answer to an edit. */
export type Answer =
  | { type: "accepted"; revision: number }
  | { type: "conflict"; conflict: Conflict }
  | { type: "refused"; detail: string };

/** A table after an edit, the answer, and the cells that the edit wrote. */
export interface ApplyResult {
  table: Table;
  answer: Answer;
  written: readonly CellWrite[];
}

/** A row as operators and snapshots see it. */
export interface Row {
  row: string;
  cells: Partial<Record<schema.Column, schema.Cell>>;
}

/** A table as JSON, emptied cells included. */
export interface TableJSON {
  revision: number;
  rows: { row: string; cells: Cells }[];
}

/** Immutable table; an edit copies the rows that it changes. */
export class Table {
  /** Number of accepted edits. */
  readonly revision: number;
  readonly #rows: trie.Trie<Cells>;

  private constructor(revision: number, rows: trie.Trie<Cells>) {
    this.revision = revision;
    this.#rows = rows;
  }

  /** An empty table. */
  static create(): Table {
    return new Table(0, trie.Trie.create<Cells>());
  }

  /** The table that `toJSON` wrote. */
  static fromJSON(json: TableJSON): Table {
    const rows = json.rows.map(({ row, cells }) => [row, cells] as const);
    return new Table(json.revision, trie.Trie.create(rows));
  }

  /** Rows in order of their names. */
  toJSON(): TableJSON {
    const rows = [...this.#rows.entries()].sort(byName);
    return {
      revision: this.revision,
      rows: rows.map(([row, cells]) => ({ row, cells })),
    };
  }

  /** Number of rows, emptied ones included. */
  get size(): number {
    return this.#rows.size;
  }

  /** The cell, unless it is empty. */
  cell(row: string, name: schema.Column): schema.Cell | undefined {
    const cell = this.#rows.get(row)?.[name];
    if (cell === undefined || cell.value === null) return undefined;
    return { value: cell.value, version: cell.version };
  }

  /** The value of a cell, unless it is empty. */
  value(row: string, name: schema.Column): schema.CellValue | undefined {
    return this.#rows.get(row)?.[name]?.value ?? undefined;
  }

  /** The row, unless all of its cells are empty. */
  row(name: string): Row | undefined {
    const cells = this.#rows.get(name);
    if (cells === undefined) return undefined;
    const filled = Object.entries(cells).filter(([, cell]) =>
      cell.value !== null
    ).map(([key, { value, version }]) => [key, { value, version }]);
    if (filled.length === 0) return undefined;
    return { row: name, cells: Object.fromEntries(filled) };
  }

  /** Who last wrote the cells of a row, emptied ones included. */
  lastWriters(name: string): string[] {
    const cells = Object.values(this.#rows.get(name) ?? {});
    return [...new Set(cells.map(({ actor }) => actor))].sort();
  }

  /** Rows that are not empty, in order of their names; of one kind if given. */
  rows(kind = ""): Row[] {
    const names = [...this.#rows.entries()].map(([name]) => name);
    return names.filter((name) => name.startsWith(kind)).sort()
      .map((name) => this.row(name))
      .filter((row) => row !== undefined);
  }

  /** Applies all changes of `edit`, or none. */
  apply(edit: schema.Edit): ApplyResult {
    const detail = this.#reject(edit);
    if (detail !== undefined) return this.#keep({ type: "refused", detail });
    const conflict = this.#conflict(edit.changes);
    if (conflict) return this.#keep({ type: "conflict", conflict });
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

  /** A copy at `revision` with `written`, where that is newer than what is
   * here; how a watcher follows. */
  applyWrites(revision: number, written: readonly CellWrite[]): Table {
    let rows = this.#rows;
    for (const { row, column, ...cell } of written) {
      const cells = rows.get(row);
      if ((cells?.[column]?.version ?? 0) >= cell.version) continue;
      rows = rows.set(row, { ...cells, [column]: cell });
    }
    return new Table(revision, rows);
  }

  #keep(answer: Answer): ApplyResult {
    return { table: this, answer, written: [] };
  }

  #reject({ changes }: schema.Edit): string | undefined {
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

  #conflict(changes: readonly schema.Change[]): Conflict | undefined {
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

function byName(
  [a]: readonly [string, unknown],
  [b]: readonly [string, unknown],
) {
  return a < b ? -1 : a > b ? 1 : 0;
}
