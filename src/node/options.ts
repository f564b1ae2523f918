/** Options of a node.
 * @module */

import type * as request from "../request/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/settings_types.ts";
import type * as settings from "../settings/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Settings, and replacements for the default parts of a node. */
export interface Options {
  settings: schema.Settings;
  /** The system clock when absent. */
  clock?: runtime.Clock;
  /** Seeded from the system's random source when absent. */
  random?: runtime.Random;
  /** Logs to standard output when absent. */
  logger?: telemetry.Logger;
  /** Receives all measurements in addition to the tally and statsd. */
  metrics?: telemetry.Metrics;
  /** Environment from which `env` secrets are read; the process environment
   * when absent. */
  environment?: settings.Environment;
  /** Storage of a voter; files in the settings' data folder when absent. */
  storage?: runtime.Storage;
  /** Policies of the request path; those of `src/policies` when absent. */
  policySet?: request.PolicySet;
  /** Called when the host cannot continue and should be stopped. */
  onFailure?(failure: Error): void;
}
