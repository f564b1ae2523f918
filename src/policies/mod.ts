/** The policies of production hosts: admission and routing as one policy set.
 * @module */

import * as admission from "../admission/mod.ts";
import type * as policySet from "../request/policy_set.ts";
import type * as runtime from "../runtime/mod.ts";
import * as routingPolicies from "./routing_policy.ts";

/** Options of a policy set. */
export interface Options {
  /** Data centre of the host. */
  dataCentre: string;
  random: runtime.Random;
  /** Maximum number of requests in the host. */
  inFlight?: number;
}

/** Creates the policy set of one dispatcher. */
export function create(options: Options): policySet.PolicySet {
  const { dataCentre, random, inFlight } = options;
  const controls = admission.controller.AdmissionController.create({
    random,
    inFlight,
  });
  const routing = routingPolicies.RoutingPolicy.create({
    dataCentre,
    random,
    controls,
  });
  return {
    queues: controls,
    admission: controls,
    estimate: controls,
    choice: routing,
    retries: {
      delay: (work, failure, now) => routing.retryDelay(work, failure, now),
    },
    hedge: {
      delay: (work, _first, now) => routing.hedgeDelay(work, now),
      allow: (work, now) => routing.allowHedge(work, now),
      hangsAt: (work, progress, now) => routing.hangsAt(work, progress, now),
      replace: (work, now) => routing.allowReplacement(work, now),
    },
    priority: (request) => controls.priority(request),
  };
}
