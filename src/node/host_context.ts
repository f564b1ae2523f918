/** Dependencies shared by all parts of a host: settings, secrets, clock, random
 * numbers and telemetry.
 * @module */

import * as crypto from "node:crypto";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/settings_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import type * as options from "./options.ts";
import * as secrets from "./secrets.ts";

/** Exclusive upper bound of random seeds. */
const SEED_LIMIT = 2 ** 31;

/** Dependencies shared by the parts of one host. */
export interface HostContext {
  settings: schema.Settings;
  secrets: secrets.Secrets;
  clock: runtime.Clock;
  random: runtime.Random;
  logger: telemetry.Logger;
  /** Records to the tally, and to statsd if the settings configure it. */
  metrics: telemetry.Metrics;
  tally: telemetry.Tally;
  /** Flushes buffered metrics and closes their socket. */
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
    random: options.random ??
      runtime.createRandom(crypto.randomInt(SEED_LIMIT)),
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
  let hasWarned = false;
  return await telemetry.openStatsd(metrics, ({ message }) => {
    if (!hasWarned) logger.warn({ message }, "Sending metrics failed");
    hasWarned = true;
  });
}
