/** The cost that an admitted request is charged.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as admissions from "./admission.ts";
import type * as meters from "./meter.ts";
import type * as shareBuckets from "./share_bucket.ts";

/** Where a charge is counted. */
export interface FlowChargeOptions {
  readonly clock: Pick<runtime.Clock, "now">;
  readonly meter: meters.Meter;
  readonly flow: meters.Flow;
  /** Undefined for an account that is not limited. */
  readonly bucket?: shareBuckets.ShareBucket;
  readonly cost: number;
  /** Records that the request was denied. */
  onDenied(): void;
}

/** A charge of one request. Mutable. */
export class FlowCharge implements admissions.Charge {
  readonly #options: FlowChargeOptions;
  #cost: number;
  #hasEnded = false;

  private constructor(options: FlowChargeOptions) {
    this.#options = options;
    this.#cost = options.cost;
  }

  /** Charges a cost. */
  static create(options: FlowChargeOptions): FlowCharge {
    const { clock, bucket, cost } = options;
    bucket?.charge(cost, clock.now());
    return new FlowCharge(options);
  }

  correct(cost: number): void {
    if (this.#hasEnded) return;
    const { clock, meter, flow, bucket } = this.#options;
    const difference = cost - this.#cost;
    this.#cost = cost;
    // Demand and served cost must be comparable.
    meter.offer(flow, difference);
    bucket?.charge(difference, clock.now());
  }

  end(outcome: admissions.ChargeOutcome): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    const { clock, meter, flow, bucket, onDenied } = this.#options;
    const isAnswered = outcome === "served" || outcome === "late";
    if (isAnswered) meter.serve(flow, this.#cost);
    if (outcome === "unserved") {
      meter.offer(flow, -this.#cost);
      bucket?.charge(-this.#cost, clock.now());
    }
    if (outcome !== "late" && outcome !== "denied") return;
    meter.deny(this.#cost);
    onDenied();
  }
}
