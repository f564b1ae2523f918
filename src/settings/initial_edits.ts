/** Converts the initial rows in the settings into edits of an empty table.
 * @module */

import type * as settings from "../schema/settings_types.ts";
import type * as table from "../schema/table_types.ts";

/** Actor recorded for edits that come from the settings. */
const ACTOR = "settings";

/** Maximum number of changes in one edit; see schema/table.yaml. */
export const MAX_CHANGES_PER_EDIT = 4000;

/** Edits that fill an empty table. Their operation ids are deterministic, so
 * that edits submitted by several hosts at the same time are applied once. */
export function initialEdits(
  rows: readonly settings.InitialRow[] = [],
): readonly table.Edit[] {
  const changes = rows.flatMap(({ row, cells }) =>
    Object.entries(cells).map(([column, value]): table.Change => ({
      row,
      column: column as table.Column,
      version: 0,
      value,
    }))
  );
  const edits: table.Edit[] = [];
  for (let pos = 0; pos < changes.length; pos += MAX_CHANGES_PER_EDIT) {
    const part = changes.slice(pos, pos + MAX_CHANGES_PER_EDIT);
    edits.push({
      operation: `initial-${pos / MAX_CHANGES_PER_EDIT}`,
      actor: ACTOR,
      changes: part as table.Edit["changes"],
    });
  }
  return edits;
}
