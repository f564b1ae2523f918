/** Turns tables into messages of the watch channel and back.
 * @module */

import type * as schema from "../../schema/watch_types.ts";
import * as table from "../table/mod.ts";

/** Rows in one part of a snapshot; about 120 KB with six cells a row. */
const PART_ROWS = 250;

/** Parts of a snapshot by revision, sent in order. */
export function snapshotOf(current: table.Table): schema.Snapshot[] {
  const { revision, rows } = current.toJSON();
  const parts = Math.max(1, Math.ceil(rows.length / PART_ROWS));
  return Array.from({ length: parts }, (_, part) => ({
    type: "snapshot",
    revision,
    part,
    parts,
    rows: rows.slice(part * PART_ROWS, (part + 1) * PART_ROWS),
  })) as schema.Snapshot[];
}

/** The table of a whole snapshot, whose parts may come in any order. */
export function tableOf(parts: readonly schema.Snapshot[]): table.Table {
  const rows = parts.flatMap((part) => part.rows);
  const { revision } = parts[0];
  return table.Table.fromJSON({ revision, rows } as table.TableJSON);
}
