/** Reference implementation of the table: mutable, and without a bound on the
 * answers it records. Tests and benchmarks compare `Table` with it.
 * @module */

import type * as schema from "../../schema/table_types.ts";
import * as column from "./column.ts";
import type * as table from "./table.ts";

/** Mutable reference implementation of the table. */
export class NaiveTable {
  revision = 0;
  readonly cells = new Map<string, table.Cell>();
  readonly answers = new Map<string, { text: string; answer: table.Answer }>();

  /** Applies an edit, or returns its first answer if its operation id is
   * known. */
  apply(edit: schema.Edit): table.Answer {
    const text = JSON.stringify([edit.actor, edit.changes]);
    const known = this.answers.get(edit.operation);
    if (known === undefined) {
      const answer = this.#answerTo(edit);
      this.answers.set(edit.operation, { text, answer });
      return answer;
    }
    if (known.text === text) return known.answer;
    const detail = `operation ${edit.operation} was used for another edit`;
    return { type: "refused", detail };
  }

  /** Returns the cells that are not empty, by `ROW COLUMN`. */
  filled(): Record<string, schema.Cell> {
    const filled: Record<string, schema.Cell> = {};
    for (const [key, { value, version }] of this.cells) {
      if (value !== null) filled[key] = { value, version };
    }
    return filled;
  }

  #answerTo(edit: schema.Edit): table.Answer {
    const keys = new Set<string>();
    for (const change of edit.changes) {
      const detail = column.rejectionReason(change);
      if (detail !== undefined) return { type: "refused", detail };
      const key = `${change.row} ${change.column}`;
      if (keys.has(key)) {
        return { type: "refused", detail: `${key} is changed twice` };
      }
      keys.add(key);
    }
    for (const { row, column, version } of edit.changes) {
      const cell = this.cells.get(`${row} ${column}`);
      const current = cell && cell.value !== null ? cell.version : 0;
      if (current === version) continue;
      const { value = null, actor = "" } = cell ?? {};
      const conflict = { row, column, version: current, value, actor };
      return { type: "conflict", conflict };
    }
    this.revision++;
    for (const { row, column, value } of edit.changes) {
      const cell = { value, version: this.revision, actor: edit.actor };
      this.cells.set(`${row} ${column}`, cell);
    }
    return { type: "accepted", revision: this.revision };
  }
}
