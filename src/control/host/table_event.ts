/** Events about changes of the table, for listeners within this host.
 * @module */

import type * as table from "../table/mod.ts";

/** A change of the table of this host. */
export type TableEvent =
  | {
    type: "change";
    revision: number;
    actor: string;
    /** When this host received it, milliseconds since the Unix epoch. */
    at: number;
    changes: readonly table.CellWrite[];
  }
  /** A snapshot replaced the table by a later revision. */
  | { type: "reset"; revision: number };

/** Handles an event of the table; must not throw. */
export type TableListener = (event: TableEvent) => void;

/** Returns one change event for each revision in `written`, in order. A delta
 * may contain several revisions; each is one edit of one actor. */
export function changeEvents(
  written: readonly table.CellWrite[],
  at: number,
): readonly TableEvent[] {
  const writesByRevision = new Map<number, table.CellWrite[]>();
  for (const cell of written) {
    const cells = writesByRevision.get(cell.version);
    if (cells === undefined) writesByRevision.set(cell.version, [cell]);
    else cells.push(cell);
  }
  return [...writesByRevision.entries()].sort(([a], [b]) => a - b)
    .map(([revision, changes]) => {
      const { actor } = changes[0];
      return { type: "change", revision, actor, at, changes };
    });
}
