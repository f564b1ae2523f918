/** Admission of a request by the share of its client account. Costs are in the
 * units of the service: calls, tokens of prompts, or endpoint milliseconds of
 * stages.
 * @module */

/** A request, as far as its admission depends on it. */
export interface ShareRequest {
  readonly service: string;
  /** Priority rank; 0 is the highest. */
  readonly rank: number;
  /** Undefined for requests without an account, which share one. */
  readonly account?: string;
  readonly cost: number;
  /** Milliseconds that the caller waited before this attempt. */
  readonly priorWait: number;
}

/** How a charged request ended: answered, answered after twice its objective,
 * ended for lack of capacity, or ended without having run for another
 * reason. */
export type ChargeOutcome = "served" | "late" | "denied" | "unserved";

/** The cost that an admitted request is charged. */
export interface Charge {
  /** Replaces the cost, once it is known better. */
  correct(cost: number): void;
  /** Records how the request ended; the cost of one that has not run is
   * refunded. Later calls have no effect. */
  end(outcome: ChargeOutcome): void;
}

/** Whether a request is admitted. */
export type ShareAdmission =
  | { readonly type: "admitted"; readonly charge: Charge }
  | {
    readonly type: "refused";
    /** Milliseconds until a retry. */
    readonly wait: number;
    /** Details for the log line of the request. */
    readonly details: {
      /** Rate of the account on this host, in cost per second. */
      readonly shareRate: number;
      /** Age of the limit in milliseconds. */
      readonly shareAgeMs: number;
      /** Capacity that the limit was derived from, in cost per second. */
      readonly capacity?: number;
    };
  };
