/** Record of one call to an endpoint, for the log line of its request.
 * @module */

import type * as connectors from "../endpoint_calls/connector.ts";
import type * as exchanges from "../endpoint_calls/exchange.ts";
import type * as placements from "./placement.ts";
import type * as protocols from "./protocol.ts";
import type * as retryBudgets from "./retry_budget.ts";
import type * as targetChoices from "./target_choice.ts";

/** One call to an endpoint; completed while the call runs. */
export interface CallRecord {
  readonly endpoint: string;
  /** Version of the endpoint's software. */
  readonly version: string;
  ms: number;
  outcome: string;
  /** What marks the end of its answer; absent without a head. */
  framing?: exchanges.Framing;
  /** How its connection ended, if it did before the answer or with it. */
  connectionEnd?: connectors.ConnectionEnd;
  /** Host through which the endpoint is reached, if not directly. */
  relay?: string;
  /** Which host chose the engine. */
  readonly placedBy?: placements.PlacementSource;
  /** Slowness that the choice of the endpoint used; absent while its service is
   * even. */
  readonly slowness?: number;
  /** Milliseconds to the first event of a stream. */
  first?: number;
  /** Announcements in the answer. */
  leaving?: protocols.ReplyHead["leaving"];
  retryAfterMs?: protocols.ReplyHead["retryAfter"];
  /** Times that it became silent for its idle timeout, and that it went on. */
  silences?: number;
  resumed?: number;
  /** Why no call follows its failure or silence: the route's retry policy, or the retry
   * budget. */
  notRetried?: "policy" | "budget";
  /** The retry budget of the host when a call after this one was asked of it. */
  budget?: retryBudgets.Balance;
}

/** Creates the record of a call that begins. */
export function create(
  { endpoint, placed, slowness }: targetChoices.Target,
): CallRecord {
  const { id, version } = endpoint.identity;
  return {
    endpoint: id,
    version,
    ms: 0,
    outcome: "open",
    ...(placed !== undefined && { placedBy: placed.source }),
    ...(slowness !== undefined && { slowness: Number(slowness.toFixed(2)) }),
  };
}
