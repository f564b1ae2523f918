/** What a node is made from.
 * @module */

import type * as request from "../request/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/settings_types.ts";
import type * as settings from "../settings/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Settings, and what a program may put in place of the usual parts. */
export interface Options {
  settings: schema.Settings;
  /** The machine's clock when absent. */
  clock?: runtime.Clock;
  /** Seeded by the machine when absent. */
  random?: runtime.Random;
  /** Lines on standard output when absent. */
  logger?: telemetry.Logger;
  /** Also gets all measurements. */
  metrics?: telemetry.Metrics;
  /** Where secrets by `env` are; that of the process when absent. */
  environment?: settings.Environment;
  /** The data folder of a voter; files in the folder of its settings when
   * absent. */
  storage?: runtime.Storage;
  /** Decisions of the request path; those of `src/policies` when absent. */
  policySet?: request.PolicySet;
  /** The host cannot go on and should be stopped. */
  onFailure?(failure: Error): void;
}
