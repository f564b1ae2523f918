/** Dispatchers that scenarios measure.
 * @module */

import * as dispatcher from "../../src/request/dispatcher.ts";
import * as policies from "../../src/policies/mod.ts";
import type * as runtime from "../../src/runtime/mod.ts";
import type * as world from "./world.ts";

/** The dispatcher of the product, with its policies. */
export function create(
  random: runtime.Random,
  dataCentre: string,
): world.Dispatcher {
  const policySet = policies.create({ dataCentre, random });
  return dispatcher.Dispatcher.create({ policySet });
}
