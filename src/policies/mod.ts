/** The decisions of the product: admission and routing as one policy set.
 * @module */

import * as admission from "../admission/mod.ts";
import type * as policySet from "../request/policy_set.ts";
import type * as runtime from "../runtime/mod.ts";
import * as routed from "./routing_policy.ts";

/** What the decisions of a host are made from. */
export interface Options {
  /** Data centre of the host. */
  dataCentre: string;
  random: runtime.Random;
  /** Requests in the host at once. */
  inFlight?: number;
}

/** A policy set for one dispatcher. */
export function create(options: Options): policySet.PolicySet {
  const { dataCentre, random, inFlight } = options;
  const controls = admission.controller.AdmissionController.create({
    random,
    inFlight,
  });
  const routes = routed.RoutingPolicy.create({ dataCentre, random, controls });
  return {
    queues: controls,
    admission: controls,
    estimate: controls,
    choice: routes,
    retries: {
      delay: (work, failure, now) => routes.retryDelay(work, failure, now),
    },
    hedge: {
      delay: (work, _first, now) => routes.hedgeDelay(work, now),
      allow: (work, now) => routes.allowHedge(work, now),
      hangsAt: (work, progress, now) => routes.hangsAt(work, progress, now),
      replace: (work, now) => routes.allowReplacement(work, now),
    },
    priority: (request) => controls.priority(request),
  };
}
