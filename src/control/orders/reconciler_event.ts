/** What the orders hear and ask for.
 * @module */

import type * as schema from "../../schema/orders_types.ts";
import type * as table from "../table/mod.ts";
import type * as plans from "./plan.ts";

/** Settings of the orders. */
export interface Limits {
  /** Loads a second over all engines. */
  loadsPerSecond: number;
  /** Milliseconds of a leader's lease, with the allowance for clock drift. */
  leaseMs: number;
}

/** The right to order, by the holder's own clock. */
export interface Lease {
  /** Fencing token: the term of the log. */
  token: number;
  /** When it was gained. */
  since: number;
  /** When it ends unless it is renewed. */
  until: number;
}

/** How a call for an order ended; `unsent` when the lease ended before. */
export type Answer =
  | { type: "accepted" }
  | { type: "fenced"; token: number }
  | { type: "unsent" }
  | { type: "refused" }
  | { type: "lost" };

/** What the orders hear. */
export type ReconcilerEvent =
  | { type: "lease"; lease?: Lease }
  | { type: "table"; table: table.Table }
  | { type: "engines"; engines: readonly plans.Engine[] }
  /** A read ended; without a report it failed. */
  | { type: "report"; engine: string; report?: schema.Report }
  | { type: "answer"; engine: string; answer: Answer }
  | { type: "tick" };

/** What the orders ask for. */
export type ReconcilerEffect =
  | { type: "read"; engine: plans.Engine }
  | {
    type: "order";
    engine: plans.Engine;
    token: number;
    order: schema.Order;
  }
  /** An engine knows a newer leader than this one. */
  | { type: "fenced"; engine: string; token: number }
  | { type: "wake"; at: number };
