/** Who leads the log, as other hosts tell: a host whose replica is no member
 * hears no leader itself.
 * @module */

import type * as schema from "../../schema/fleet_types.ts";

/** Milliseconds after which what was told no longer counts: some greetings. */
const BELIEVED = 1500;

/** What a host was told of the leader; immutable. */
export class LeaderHint {
  /** Nothing was told. */
  static readonly NONE = new LeaderHint();

  readonly #told?: schema.Leadership;
  readonly #heard: number;

  private constructor(told?: schema.Leadership, heard = -Infinity) {
    this.#told = told;
    this.#heard = heard;
  }

  /** Takes what a member says; the highest term wins. */
  update(told: schema.Leadership, now: number): LeaderHint {
    const known = this.at(now);
    if (known !== undefined && told.term < known.term) return this;
    return new LeaderHint(told, now);
  }

  /** Notes that a host says that it does not lead. */
  invalidate(leader: string): LeaderHint {
    const isTold = this.#told?.leader === leader;
    return isTold ? new LeaderHint(this.#told) : this;
  }

  /** Voters as they were told last: they seldom change, and a majority of them
   * must be asked also while nobody leads. */
  get voters(): readonly string[] {
    return this.#told?.voters ?? [];
  }

  /** What counts now. */
  at(now: number): schema.Leadership | undefined {
    return now - this.#heard <= BELIEVED ? this.#told : undefined;
  }
}
