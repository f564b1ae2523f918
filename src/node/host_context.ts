/** What all parts of a host stand on: clock, random numbers, telemetry and
 * secrets.
 * @module */

import * as crypto from "node:crypto";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/settings_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import type * as options from "./options.ts";
import * as secrets from "./secrets.ts";

/** Greatest seed, exclusive. */
const SEEDS = 2 ** 31;

/** Shared by the parts of one host. */
export interface HostContext {
  settings: schema.Settings;
  secrets: secrets.Secrets;
  clock: runtime.Clock;
  random: runtime.Random;
  logger: telemetry.Logger;
  /** Goes to the tally, and to statsd where the settings name it. */
  metrics: telemetry.Metrics;
  tally: telemetry.Tally;
  /** Sends what is buffered. */
  closeMetrics(): Promise<void>;
}

/** Reads secrets and opens telemetry. */
export async function create(
  options: options.Options,
): Promise<HostContext> {
  const { settings, environment = process.env } = options;
  const logger = options.logger ??
    telemetry.createLogger({ host: settings.host, level: settings.log?.level });
  const tally = new telemetry.Tally();
  const statsd = await openStatsd(settings, logger);
  const targets = [tally, options.metrics, statsd];
  return {
    settings,
    secrets: secrets.read(settings, environment),
    clock: options.clock ?? runtime.systemClock,
    random: options.random ?? runtime.createRandom(crypto.randomInt(SEEDS)),
    logger,
    metrics: telemetry.combine(targets.filter((each) => each !== undefined)),
    tally,
    closeMetrics: async () => await statsd?.close(),
  };
}

async function openStatsd(
  { metrics }: schema.Settings,
  logger: telemetry.Logger,
): Promise<telemetry.Statsd | undefined> {
  if (metrics === undefined) return undefined;
  let failed = false;
  return await telemetry.openStatsd(metrics, ({ message }) => {
    if (!failed) logger.warn({ message }, "Metrics cannot be sent");
    failed = true;
  });
}
