/** Data centres that operators have evacuated: to their endpoints nothing new
 * goes. Independent of the configuration, whose versions neither begin nor end
 * an evacuation.
 * @module */

import type * as schema from "../../schema/fleet_types.ts";

/** What an order comes to: it has effect, or asks for what is so already, or
 * another order came before it. */
export type EvacuationVerdict = schema.EvacuatedReply["verdict"];

/** An order to begin or to end an evacuation. */
export type EvacuationCommand = Omit<schema.EvacuateQuestion, "type">;

/** The last order about each data centre; immutable. What two hosts know is
 * merged in any order to the same. */
export class Evacuations {
  readonly #byPlace: ReadonlyMap<string, schema.Evacuation>;

  private constructor(byPlace: ReadonlyMap<string, schema.Evacuation>) {
    this.#byPlace = byPlace;
  }

  /** Before the first order. */
  static readonly NONE = new Evacuations(new Map());

  /** Out of a message or a snapshot. */
  static of(list: readonly schema.Evacuation[] = []): Evacuations {
    return Evacuations.NONE.merge(list);
  }

  /** As messages and snapshots carry them. */
  get list(): schema.Evacuation[] {
    return [...this.#byPlace.values()];
  }

  /** Orders that had effect, in all: of two hosts the one with more knows
   * more. */
  get totalRevision(): number {
    return this.list.reduce((sum, { revision }) => sum + revision, 0);
  }

  /** Data centres that are evacuated now. */
  get active(): schema.Evacuation[] {
    return this.list.filter(({ active }) => active);
  }

  /** Orders that `earlier` doesn't hold. */
  newerThan(earlier: Evacuations): schema.Evacuation[] {
    return this.list.filter(({ dataCentre, revision }) =>
      revision > earlier.revisionOf(dataCentre)
    );
  }

  isActive(dataCentre: string): boolean {
    return this.#byPlace.get(dataCentre)?.active ?? false;
  }

  /** Orders about a data centre that had effect. */
  revisionOf(dataCentre: string): number {
    return this.#byPlace.get(dataCentre)?.revision ?? 0;
  }

  /** Applies an order. */
  apply(
    { dataCentre, active, after, orderedAt }: EvacuationCommand,
  ): { verdict: EvacuationVerdict; next: Evacuations } {
    const revision = this.revisionOf(dataCentre);
    if (this.isActive(dataCentre) === active) {
      return { verdict: "known", next: this };
    }
    if (after !== revision) return { verdict: "outdated", next: this };
    const ordered = { dataCentre, active, orderedAt, revision: revision + 1 };
    return { verdict: "accepted", next: this.merge([ordered]) };
  }

  /** The newer of what is known here and of what is told; this same value where
   * nothing is newer. */
  merge(told: readonly schema.Evacuation[] = []): Evacuations {
    const newer = told.filter(({ dataCentre, revision }) =>
      revision > this.revisionOf(dataCentre)
    );
    if (newer.length === 0) return this;
    const merged = new Map(this.#byPlace);
    newer.forEach((each) => merged.set(each.dataCentre, each));
    return new Evacuations(merged);
  }
}
