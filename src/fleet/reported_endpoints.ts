/** Endpoints that the control host in use has reported since it started. A
 * control host that has run for a while knows every live endpoint, from its
 * heartbeats or from other control hosts. An endpoint that it never reported
 * ended while no control host ran, so that none detected its silence.
 * @module */

import * as endpoints from "../endpoints/mod.ts";

/** Time after which a control host knows every live endpoint: several heartbeats
 * of an endpoint, and full transfers between control hosts. */
export const COMPLETE_MS = 15_000;

/** Endpoints in a confirmed reply. */
export interface Report {
  /** Epoch of the control host's roster. */
  readonly epoch: string;
  /** Whether the reply lists the whole roster, rather than changes of it. */
  readonly isFull: boolean;
  readonly endpoints: readonly endpoints.incarnations.Incarnation[];
}

/** Endpoints that one epoch has reported; mutable. */
export class ReportedEndpoints {
  #epoch?: string;
  /** Time of the epoch's first reply, or of the last check. */
  #checkedAt = 0;
  #reported = new Set<string>();

  static create(): ReportedEndpoints {
    return new ReportedEndpoints();
  }

  /** Records a confirmed reply. */
  record({ epoch, isFull, endpoints: reported }: Report, now: number): void {
    if (epoch !== this.#epoch) {
      // A list of changes lacks the other endpoints that the epoch knows.
      this.#epoch = isFull ? epoch : undefined;
      this.#checkedAt = now;
      this.#reported = new Set();
    }
    for (const each of reported) {
      this.#reported.add(endpoints.incarnations.keyOf(each));
    }
  }

  /** Returns the endpoints of a roster that the epoch should have reported by
   * now and has not. Checks are `COMPLETE_MS` apart; none are returned in
   * between. */
  missing(
    entries: Iterable<endpoints.RosterEntry>,
    now: number,
  ): endpoints.RosterEntry[] {
    if (this.#epoch === undefined) return [];
    if (now - this.#checkedAt < COMPLETE_MS) return [];
    this.#checkedAt = now;
    const retained = new Set<string>();
    const missing = [...entries].filter((entry) => {
      const key = endpoints.incarnations.keyOf(entry);
      const isReported = this.#reported.has(key);
      if (isReported) retained.add(key);
      return !isReported && !entry.isSilent && entry.state !== "gone";
    });
    this.#reported = retained;
    return missing;
  }
}
