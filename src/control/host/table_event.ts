/** What watchers of the table in force hear.
 * @module */

import type * as table from "../table/mod.ts";

/** What a watcher of the table in force hears. */
export type TableEvent =
  | {
    type: "change";
    revision: number;
    actor: string;
    /** When it came into force here, milliseconds since the Unix epoch. */
    at: number;
    changes: readonly table.CellWrite[];
  }
  /** The table jumped to a later revision by a snapshot. */
  | { type: "reset"; revision: number };

/** Takes events of the table; must not throw. */
export type TableListener = (event: TableEvent) => void;

/** One change event for each revision in `written`, in order. A delta between
 * hosts may carry several revisions; each is one edit of one actor. */
export function changeEvents(
  written: readonly table.CellWrite[],
  at: number,
): readonly TableEvent[] {
  const byRevision = new Map<number, table.CellWrite[]>();
  for (const cell of written) {
    const cells = byRevision.get(cell.version);
    if (cells === undefined) byRevision.set(cell.version, [cell]);
    else cells.push(cell);
  }
  return [...byRevision.entries()].sort(([a], [b]) => a - b)
    .map(([revision, changes]) => {
      const { actor } = changes[0];
      return { type: "change", revision, actor, at, changes };
    });
}
