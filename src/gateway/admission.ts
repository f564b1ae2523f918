/** Admits requests by the configuration in force (route and account), and picks
 * their service.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as contexts from "./context.ts";
import type * as protocols from "./protocol.ts";
import type * as refusals from "./refusal.ts";

/** Result of the admission of a request. */
export interface AdmissionDecision {
  /** Why the request is refused; absent if it is admitted. */
  readonly reason?: refusals.RefusalReason;
  readonly route?: configurations.Route;
  readonly account?: configurations.Account;
  /** Priority rank, 0 the highest; absent if no route matches. */
  readonly rank?: number;
}

/** Matches a request to a route and an account of the configuration in
 * force. */
export function admit(
  request: protocols.IncomingRequest,
  { fleetView, maxConfigurationAge }: Pick<
    contexts.Context,
    "fleetView" | "maxConfigurationAge"
  >,
): AdmissionDecision {
  const catalogue = fleetView.catalogue();
  if (catalogue === undefined) return { reason: "no-configuration" };
  if (fleetView.configurationAge() > maxConfigurationAge) {
    return { reason: "stale-configuration" };
  }
  const route = catalogue.route(request.host, request.target);
  if (route === undefined) return { reason: "no-route" };
  if (route.isPublic || !catalogue.hasAccounts) {
    return { route, rank: catalogue.rankOf(route) };
  }
  const account = request.apiKey === undefined
    ? undefined
    : catalogue.account(request.apiKey);
  const rank = catalogue.rankOf(route, account);
  return account === undefined
    ? { route, rank, reason: "bad-key" }
    : { route, rank, account };
}

/** Picks one of a route's services at random by weight. */
export function pickService(
  { targets }: configurations.Route,
  random: runtime.Random,
): string {
  if (targets.length === 1) return targets[0].service;
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remainder = random.next() * total;
  const picked = targets.find(({ weight }) => (remainder -= weight) < 0);
  return (picked ?? targets.at(-1)!).service;
}
