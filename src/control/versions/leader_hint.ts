/** Leader hint: the leader of the log as other hosts report it, for hosts whose
 * replica is no member and receives no heartbeats of the leader.
 * @module */

import type * as schema from "../../schema/fleet_types.ts";

/** Time after which a hint expires: several hello intervals. */
const VALIDITY_MS = 1500;

/** The last report of the leader; immutable. */
export class LeaderHint {
  /** State before the first report. */
  static readonly NONE = new LeaderHint();

  readonly #leadership?: schema.Leadership;
  readonly #updatedAt: number;

  private constructor(leadership?: schema.Leadership, updatedAt = -Infinity) {
    this.#leadership = leadership;
    this.#updatedAt = updatedAt;
  }

  /** Applies a report; among valid hints the highest term wins. */
  update(leadership: schema.Leadership, now: number): LeaderHint {
    const known = this.at(now);
    if (known !== undefined && leadership.term < known.term) return this;
    return new LeaderHint(leadership, now);
  }

  /** Discards the hint when the host that it names denies being the leader. */
  invalidate(leader: string): LeaderHint {
    const isNamed = this.#leadership?.leader === leader;
    return isNamed ? new LeaderHint(this.#leadership) : this;
  }

  /** Voters in the last report. They do not expire: they rarely change, and are
   * needed to determine a majority also while there is no leader. */
  get voters(): readonly string[] {
    return this.#leadership?.voters ?? [];
  }

  /** The hint, unless it has expired. */
  at(now: number): schema.Leadership | undefined {
    return now - this.#updatedAt <= VALIDITY_MS ? this.#leadership : undefined;
  }
}
