/** Dispatchers that scenarios measure.
 * @module */

import type * as runtime from "../../src/runtime/mod.ts";
import * as dispatcher from "../../src/request/dispatcher.ts";
import * as plainPolicies from "../../src/request/plain_policies.ts";
import type * as world from "./world.ts";

/** The dispatcher of the product, with its policies. */
export function create(_random: runtime.Random): world.Dispatcher {
  const policySet = plainPolicies.create();
  return dispatcher.Dispatcher.create({ policySet });
}
