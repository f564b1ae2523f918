/** Input and output of the reconciler's state machine.
 * @module */

import type * as schema from "../../schema/orders_types.ts";
import type * as table from "../table/mod.ts";
import type * as plans from "./plan.ts";

/** Limits of the reconciler. */
export interface Limits {
  /** Maximum rate of model loads over all engines. */
  loadsPerSecond: number;
  /** Length of a leader's lease, including the allowance for clock drift. */
  leaseMs: number;
}

/** Lease under which orders may be sent; its times are by the holder's clock. */
export interface Lease {
  /** Fencing token: the term of the log. */
  token: number;
  /** When it was acquired. */
  since: number;
  /** When it expires unless it is renewed. */
  until: number;
}

/** Result of sending an order: `fenced` if the engine knows a newer token,
 * `unsent` if no part of the order was sent, such as after the end of the lease,
 * and `lost` if the order may have been accepted. */
export type Answer =
  | { type: "accepted" }
  | { type: "fenced"; token: number }
  | { type: "unsent" }
  | { type: "refused" }
  | { type: "lost" };

/** Input of the reconciler. */
export type ReconcilerEvent =
  | { type: "lease"; lease?: Lease }
  | { type: "table"; table: table.Table }
  | { type: "engines"; engines: readonly plans.Engine[] }
  /** A read has ended; it failed if there is no report. */
  | { type: "report"; engine: string; report?: schema.Report }
  | { type: "answer"; engine: string; answer: Answer }
  | { type: "tick" };

/** Action that the reconciler requests. */
export type ReconcilerEffect =
  | { type: "read"; engine: plans.Engine }
  | {
    type: "order";
    engine: plans.Engine;
    token: number;
    order: schema.Order;
  }
  /** An engine has refused an order since it knows a newer leader. */
  | { type: "fenced"; engine: string; token: number }
  | { type: "wake"; at: number };
