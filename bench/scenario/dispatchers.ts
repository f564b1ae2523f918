/** Dispatchers that scenarios measure.
 * @module */

import type * as runtime from "../../src/runtime/mod.ts";
import * as admission from "../../src/admission/mod.ts";
import type * as request from "../../src/request/mod.ts";
import * as dispatcher from "../../src/request/dispatcher.ts";
import * as plainPolicies from "../../src/request/plain_policies.ts";
import type * as world from "./world.ts";

/** The dispatcher of the product, with its policies. */
export function create(random: runtime.Random): world.Dispatcher {
  const plain = plainPolicies.create();
  const controls = admission.controls.Controls.create({ random });
  const policySet = {
    ...plain,
    queues: controls,
    admission: controls,
    estimate: controls,
    priority: (of: request.Request) => controls.priority(of),
  };
  return dispatcher.Dispatcher.create({ policySet });
}
