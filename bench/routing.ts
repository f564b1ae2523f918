/** Routing: time and bytes of a choice, evenness of subsets, and the choice
 * with stale reports against naive ones in virtual time.
 * @module */

import * as coverage from "./routing/coverage.ts";
import * as decision from "./routing/decision.ts";
import * as stale from "./routing/stale.ts";
import type * as result from "./result.ts";

/** The measurement as `bench/main.ts` runs it. */
export const measurement: result.Measurement = {
  title: "choice of an endpoint, subsets, stale reports",
  run: () =>
    Promise.resolve([...decision.run(), ...coverage.run(), ...stale.run()]),
};
