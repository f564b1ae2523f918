/** Whether a request may pass, and which service it goes to.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as contexts from "./context.ts";
import type * as protocols from "./protocol.ts";
import type * as refusals from "./refusal.ts";

/** What is known of a request by the configuration in force. */
export interface AdmissionDecision {
  /** Why it may not pass; absent when it may. */
  readonly reason?: refusals.RefusalReason;
  readonly route?: configurations.Route;
  readonly account?: configurations.Account;
  /** How urgent it is, where its route is known; 0 is the highest. */
  readonly rank?: number;
}

/** Judges a request by the configuration in force. */
export function admit(
  ask: protocols.IncomingRequest,
  { fleetView: knowledge, maxConfigurationAge: greatestAge }: Pick<
    contexts.Context,
    "fleetView" | "maxConfigurationAge"
  >,
): AdmissionDecision {
  const catalogue = knowledge.catalogue();
  if (catalogue === undefined) return { reason: "no-configuration" };
  if (knowledge.configurationAge() > greatestAge) {
    return { reason: "stale-configuration" };
  }
  const route = catalogue.route(ask.host, ask.target);
  if (route === undefined) return { reason: "no-route" };
  if (route.isPublic || !catalogue.hasAccounts) {
    return { route, rank: catalogue.rankOf(route) };
  }
  const account = ask.apiKey === undefined
    ? undefined
    : catalogue.account(ask.apiKey);
  const rank = catalogue.rankOf(route, account);
  return account === undefined
    ? { route, rank, reason: "bad-key" }
    : { route, rank, account };
}

/** One of a route's services, by their weights. */
export function pickService(
  { targets }: configurations.Route,
  random: runtime.Random,
): string {
  if (targets.length === 1) return targets[0].service;
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = random.next() * total;
  const picked = targets.find(({ weight }) => (left -= weight) < 0);
  return (picked ?? targets.at(-1)!).service;
}
