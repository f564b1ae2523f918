/** Data centres that operators have evacuated, whose endpoints receive no new
 * requests. Independent of the configuration: replacing it neither begins nor
 * ends an evacuation.
 * @module */

import type * as schema from "../../schema/fleet_types.ts";

/** Outcome of a command: it takes effect; or the state is as requested already;
 * or another command came first. */
export type EvacuationVerdict = schema.EvacuatedReply["verdict"];

/** Begins or ends an evacuation, on condition that the revision is `after`. */
export type EvacuationCommand = Omit<schema.EvacuateQuestion, "type">;

/** The latest command for each data centre; immutable. Merging is commutative
 * and idempotent, so that hosts converge in whatever order updates arrive. */
export class Evacuations {
  readonly #byDataCentre: ReadonlyMap<string, schema.Evacuation>;

  private constructor(byDataCentre: ReadonlyMap<string, schema.Evacuation>) {
    this.#byDataCentre = byDataCentre;
  }

  /** State before the first command. */
  static readonly NONE = new Evacuations(new Map());

  /** Creates the state from a message or a snapshot. */
  static of(list: readonly schema.Evacuation[] = []): Evacuations {
    return Evacuations.NONE.merge(list);
  }

  /** The state as messages and snapshots contain it. */
  get list(): schema.Evacuation[] {
    return [...this.#byDataCentre.values()];
  }

  /** Number of commands that have taken effect; the higher it is, the newer the
   * state. */
  get totalRevision(): number {
    return this.list.reduce((sum, { revision }) => sum + revision, 0);
  }

  /** Evacuations that are active at present. */
  get active(): schema.Evacuation[] {
    return this.list.filter(({ active }) => active);
  }

  /** Latest commands that `earlier` lacks. */
  newerThan(earlier: Evacuations): schema.Evacuation[] {
    return this.list.filter(({ dataCentre, revision }) =>
      revision > earlier.revisionOf(dataCentre)
    );
  }

  isActive(dataCentre: string): boolean {
    return this.#byDataCentre.get(dataCentre)?.active ?? false;
  }

  /** Number of commands for a data centre that have taken effect. */
  revisionOf(dataCentre: string): number {
    return this.#byDataCentre.get(dataCentre)?.revision ?? 0;
  }

  /** Applies a command. */
  apply(
    { dataCentre, active, after, orderedAt }: EvacuationCommand,
  ): { verdict: EvacuationVerdict; next: Evacuations } {
    const revision = this.revisionOf(dataCentre);
    if (this.isActive(dataCentre) === active) {
      return { verdict: "known", next: this };
    }
    if (after !== revision) return { verdict: "outdated", next: this };
    const applied = { dataCentre, active, orderedAt, revision: revision + 1 };
    return { verdict: "accepted", next: this.merge([applied]) };
  }

  /** Merges commands from another host by their revisions; returns this same
   * value when none is newer. */
  merge(received: readonly schema.Evacuation[] = []): Evacuations {
    const newer = received.filter(({ dataCentre, revision }) =>
      revision > this.revisionOf(dataCentre)
    );
    if (newer.length === 0) return this;
    const merged = new Map(this.#byDataCentre);
    newer.forEach((each) => merged.set(each.dataCentre, each));
    return new Evacuations(merged);
  }
}
