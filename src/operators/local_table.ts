/** The table of a fleet without voters: one copy in memory, lost when the process
 * ends. It uses the same state machine as the replicated log.
 * @module */

import * as control from "../control/mod.ts";
import * as table from "../control/table/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/table_types.ts";
import type * as access from "./access.ts";

/** A table that exists only in this process. */
export class LocalTable implements access.TableAccess {
  #clock: runtime.Clock;
  #machine = table.createStateMachine();
  #state: table.State;
  #watchers = new Set<access.TableListener>();

  private constructor(clock: runtime.Clock) {
    this.#clock = clock;
    this.#state = this.#machine.empty;
  }

  /** Creates a table with the edits `initial` applied. */
  static create(
    clock: runtime.Clock,
    initial: readonly schema.Edit[] = [],
  ): LocalTable {
    const local = new LocalTable(clock);
    for (const edit of initial) local.#apply(edit);
    return local;
  }

  view(): table.Table {
    return this.#state.table;
  }

  watch(watcher: access.TableListener): runtime.Cancel {
    this.#watchers.add(watcher);
    return () => this.#watchers.delete(watcher);
  }

  edit(edit: schema.Edit): Promise<access.EditResult> {
    return Promise.resolve(this.#apply(edit));
  }

  #apply(edit: schema.Edit): access.EditResult {
    const at = Math.floor(this.#clock.now());
    const id = `${edit.actor}/${edit.operation}`;
    const command = { type: "edit" as const, id, at, edit };
    const { state, reply } = this.#machine.apply(this.#state, command);
    this.#state = state;
    this.#notifyWatchers();
    return toResult(reply);
  }

  #notifyWatchers(): void {
    const { written } = this.#state;
    for (const event of control.changeEvents(written, this.#clock.wall())) {
      for (const watcher of this.#watchers) watcher(event);
    }
  }
}

/** Converts the state machine's reply into the result of an edit. */
export function toResult(reply: table.Reply): access.EditResult {
  const { type } = reply;
  if (type === "accepted" || type === "conflict") return reply;
  if (type === "invalid" || type === "refused") {
    return { type: "refused", detail: reply.detail };
  }
  const detail = `the table answered ${type} to an edit`;
  return { type: "unavailable", outcome: "unknown", detail };
}
