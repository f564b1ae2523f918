/** Events for watchers of the table, out of what changed in it.
 * @module */

import type * as table from "../control/table/mod.ts";
import type * as access from "./access.ts";

/** One change event for each revision in `written`, in order. A delta between
 * hosts may carry several revisions; each is one edit of one actor. */
export function changeEvents(
  written: readonly table.Written[],
  at: number,
): readonly access.TableEvent[] {
  const byRevision = new Map<number, table.Written[]>();
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
