/** Process of a control host or entry host: settings, signals, metrics and exit
 * codes.
 * @module */

import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as peers from "../peers/mod.ts";
import * as runtime from "../runtime/mod.ts";
import * as collectors from "../runtime/collector.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as connectionLimits from "./connection_limit.ts";
import * as hostLimits from "./host_limits.ts";
import * as diagnostics from "./diagnostics.ts";
import type * as hostContext from "./host_context.ts";
import * as settings from "./settings.ts";

/** Exit codes. */
const EXIT_CODES = { ok: 0, failed: 1, settings: 2 } as const;
/** Interval at which the settings file is checked, since it may change without
 * a signal. */
const SETTINGS_CHECK_INTERVAL_MS = 1000;

/** A running host. */
export interface Host extends diagnostics.Host {
  reload(settings: settings.HostSettings): void;
  stop(): Promise<void>;
  dump(): unknown;
  /** Closes the connections of callers whose replies are not sent whole, before
   * the process ends: its system would close all in order, which is the end of a
   * reply without one of its own. It has closed them when it returns. Absent on
   * hosts without such callers. */
  closeUnfinishedReplies?(): void;
}

/** Starts a host. */
export type HostStarter = (context: hostContext.HostContext) => Promise<Host>;

/** Parameters of a host process. */
export interface DaemonOptions {
  load(): settings.HostSettings;
  isSettingsError(error: unknown): boolean;
  /** File to watch for changes. */
  settingsFile?: string;
  start: HostStarter;
}

/** Runs a host until SIGTERM or SIGINT, then exits the process. SIGHUP reloads
 * the settings, SIGUSR2 logs the host's diagnostic state in one line. */
export async function run(options: DaemonOptions): Promise<void> {
  let loaded: settings.HostSettings;
  try {
    loaded = options.load();
  } catch (error) {
    process.stderr.write(`chicoryloftd: ${messageOf(error)}\n`);
    process.exit(EXIT_CODES.settings);
  }
  collectors.shared.limitMemory(settings.memoryOf(loaded));
  const exposition = telemetry.Exposition.create();
  const context = createContext(loaded, exposition);
  const { logger } = context;
  process.on("uncaughtException", (error) => {
    logger.error({ err: error }, "Uncaught exception; exiting");
    process.exit(EXIT_CODES.failed);
  });
  try {
    const host = await options.start(context);
    process.once("exit", () => host.closeUnfinishedReplies?.());
    const server = await diagnostics.serve(loaded, {
      exposition,
      host,
      connectionLimit: connectionLimits.ConnectionLimit.create({
        ...context,
        ...hostLimits.PROBE_BOUNDS,
        server: "metrics",
      }),
    });
    process.on("SIGUSR2", () => logger.info({ dump: host.dump() }, "Dump"));
    watchSettings(options, { host, logger });
    await stopSignal(host);
    logger.info({}, "Signal received; stopping");
    await host.stop();
    server?.close();
    process.exit(EXIT_CODES.ok);
  } catch (error) {
    logger.error({ err: error }, "Host failed to start or stop; exiting");
    const isSettings = options.isSettingsError(error);
    process.exit(isSettings ? EXIT_CODES.settings : EXIT_CODES.failed);
  }
}

function createContext(
  loaded: settings.HostSettings,
  metrics: telemetry.Metrics,
): hostContext.HostContext {
  const clock = runtime.systemClock;
  const logger = telemetry.createLogger({ host: loaded.name });
  return {
    settings: loaded,
    incarnation: peers.drawIncarnation(),
    clock,
    random: runtime.createRandom(crypto.randomInt(2 ** 31)),
    logger: telemetry.boundLogger(logger, clock),
    metrics,
  };
}

/** Reloads the settings on SIGHUP and when their file has changed. Invalid
 * settings are rejected, and the former ones remain in effect. */
function watchSettings(
  { load, settingsFile }: DaemonOptions,
  { host, logger }: { host: Host; logger: telemetry.Logger },
): void {
  const reload = (cause: string) => {
    try {
      host.reload(load());
    } catch (error) {
      logger.error(
        { err: error, cause },
        "Settings not reloaded; the former ones remain in effect",
      );
    }
  };
  process.on("SIGHUP", () => reload("signal"));
  if (settingsFile === undefined) return;
  let lastModified = fs.statSync(settingsFile).mtimeMs;
  // Synchronous on purpose: the call takes microseconds, while the asynchronous
  // one makes up a quarter of an idle host's system calls.
  const timer = setInterval(() => {
    try {
      const { mtimeMs } = fs.statSync(settingsFile);
      if (mtimeMs === lastModified) return;
      lastModified = mtimeMs;
      reload("file");
    } catch (error) {
      logger.debug({ err: error }, "Settings file could not be checked");
    }
  }, SETTINGS_CHECK_INTERVAL_MS);
  timer.unref();
}

/** Resolves at the first signal that stops a host; a second one of its kind ends
 * the process, as signals do by default. */
function stopSignal(host: Host): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
      process.once(signal, () => {
        process.once(signal, () => {
          host.closeUnfinishedReplies?.();
          process.kill(process.pid, signal);
        });
        resolve();
      });
    }
  });
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
