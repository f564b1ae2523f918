/** Checks of the table on real processes: never reverted, nothing lost.
 * @module */

import type * as editors from "./editors.ts";
import * as fleets from "./fleet.ts";
import type * as operator from "./operator.ts";

/** Looks at all hosts all the time: the revision in force on a host that is
 * ready must never go back, not even over a restart. */
export class Observer {
  reverted = 0;
  readonly #fleet: fleets.Fleet;
  readonly #seen = new Map<string, number>();
  readonly #interval: number;
  #stopped = false;

  constructor(fleet: fleets.Fleet, interval: number) {
    this.#fleet = fleet;
    this.#interval = interval;
  }

  async run(): Promise<void> {
    const { hosts } = this.#fleet;
    await Promise.all(hosts.map((host) => this.#follow(host)));
  }

  stop(): void {
    this.#stopped = true;
  }

  async #follow(host: string): Promise<void> {
    while (!this.#stopped) {
      await this.#look(host);
      await fleets.pause(this.#interval);
    }
  }

  async #look(host: string): Promise<void> {
    if (!await this.#fleet.ready(host)) return;
    const revision = await revisionOf(this.#fleet.operator(host));
    if (revision < 0) return;
    if (revision < (this.#seen.get(host) ?? 0)) this.reverted++;
    this.#seen.set(host, revision);
  }
}

/** Revision in force on a host; -1 when it does not answer. */
export async function revisionOf(client: operator.Operator): Promise<number> {
  try {
    const { revision } = await client.table();
    return revision;
  } catch {
    return -1;
  }
}

/** Compares every host's table with the last accepted edit of each cell. */
export async function countLost(
  operators: readonly operator.Operator[],
  accepted: readonly editors.Accepted[],
): Promise<number> {
  const last = new Map<string, editors.Accepted>();
  for (const edit of accepted) {
    const known = last.get(edit.row);
    if (known === undefined || known.revision < edit.revision) {
      last.set(edit.row, edit);
    }
  }
  let lost = 0;
  for (const client of operators) {
    const { rows } = await client.table();
    for (const { row, value, revision } of last.values()) {
      const cell = rows.find((one) => one.row === row)?.cells.weight;
      if (cell?.value !== value || cell.version !== revision) lost++;
    }
  }
  return lost;
}
