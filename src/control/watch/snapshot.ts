/** Conversion between tables and snapshot messages of the watch channel.
 * @module */

import type * as schema from "../../schema/watch_types.ts";
import * as table from "../table/mod.ts";

/** Rows in one part of a snapshot: about 120 KB with six cells per row. */
const ROWS_PER_PART = 250;

/** Splits a table into the parts of a snapshot. */
export function snapshotOf(current: table.Table): schema.Snapshot[] {
  const { revision, rows } = current.toJSON();
  const parts = Math.max(1, Math.ceil(rows.length / ROWS_PER_PART));
  return Array.from({ length: parts }, (_, part) => ({
    type: "snapshot",
    revision,
    part,
    parts,
    rows: rows.slice(part * ROWS_PER_PART, (part + 1) * ROWS_PER_PART),
  })) as schema.Snapshot[];
}

/** Joins the parts of a complete snapshot, in any order, to a table. */
export function tableOf(parts: readonly schema.Snapshot[]): table.Table {
  const rows = parts.flatMap((part) => part.rows);
  const { revision } = parts[0];
  return table.Table.fromJSON({ revision, rows } as table.TableJSON);
}
