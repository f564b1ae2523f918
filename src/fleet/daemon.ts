/** The process around a host: settings, signals, metrics, exit codes.
 * @module */

import * as crypto from "node:crypto";
import * as fs from "node:fs";
import type * as http from "node:http";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import type * as bases from "./host_context.ts";
import * as httpListener from "./http_listener.ts";
import type * as settings from "./settings.ts";

/** Exit codes. */
const EXIT = { ok: 0, failed: 1, settings: 2 } as const;
/** Milliseconds between looks at the settings file, which may change without
 * a signal. */
const LOOK = 1000;

/** A host that runs. */
export interface Host {
  reload(settings: settings.HostSettings): void;
  stop(): Promise<void>;
  dump(): unknown;
  /** Lets a quarantined request run again, by an operator's order; false where
   * it is not suspected. Absent where the host can't order it. */
  release?(fingerprint: string): boolean;
  /** Evacuations as the host knows them; absent where none can be ordered. */
  evacuations?(): unknown;
}

/** Starts a host. */
export type HostStarter = (base: bases.HostContext) => Promise<Host>;

/** What a process is made of. */
export interface DaemonOptions {
  load(): settings.HostSettings;
  isSettingsError(error: unknown): boolean;
  /** File that is looked at for changes. */
  settingsFile?: string;
  start: HostStarter;
}

/** Runs a host until SIGTERM or SIGINT; SIGHUP reads the settings again and
 * SIGUSR2 writes the state of all parts as one line. Ends the process. */
export async function run(options: DaemonOptions): Promise<void> {
  let loaded: settings.HostSettings;
  try {
    loaded = options.load();
  } catch (error) {
    process.stderr.write(`chicoryloftd: ${messageOf(error)}\n`);
    process.exit(EXIT.settings);
  }
  const exposition = telemetry.Exposition.create();
  const base = baseOf(loaded, exposition);
  const { logger } = base;
  process.on("uncaughtException", (error) => {
    logger.error({ err: error }, "Process failed");
    process.exit(EXIT.failed);
  });
  try {
    const host = await options.start(base);
    const server = await serveMetrics(loaded, { exposition, host });
    process.on("SIGUSR2", () => logger.info({ dump: host.dump() }, "Dump"));
    followSettings(options, { host, logger });
    await signal();
    logger.info({}, "Host stops");
    await host.stop();
    server?.close();
    process.exit(EXIT.ok);
  } catch (error) {
    logger.error({ err: error }, "Host failed");
    const isSettings = options.isSettingsError(error);
    process.exit(isSettings ? EXIT.settings : EXIT.failed);
  }
}

function baseOf(
  loaded: settings.HostSettings,
  metrics: telemetry.Metrics,
): bases.HostContext {
  const clock = runtime.systemClock;
  const logger = telemetry.createLogger({ host: loaded.name });
  return {
    settings: loaded,
    clock,
    random: runtime.createRandom(crypto.randomInt(2 ** 31)),
    logger: telemetry.boundLogger(logger, clock),
    metrics,
  };
}

/** Serves counters, and takes the orders of operators that concern what hosts
 * believe. */
async function serveMetrics(
  { metrics }: settings.HostSettings,
  { exposition, host }: { exposition: telemetry.Exposition; host: Host },
): Promise<http.Server | undefined> {
  if (metrics === undefined) return undefined;
  return await httpListener.listen(
    metrics.listenAddress,
    (request, response) => {
      const { method, url = "" } = request;
      if (url === metrics.path) {
        void exposition.text().then((text) => response.end(text));
        return;
      }
      if (url === EVACUATIONS && host.evacuations !== undefined) {
        response.setHeader("content-type", "application/json");
        response.end(JSON.stringify(host.evacuations()));
        return;
      }
      const fingerprint = RELEASE.exec(url)?.[1];
      const isReleased = method === "POST" && fingerprint !== undefined &&
        host.release?.(fingerprint);
      response.writeHead(isReleased ? 204 : 404).end();
    },
  );
}

/** Target of the question for evacuations. */
const EVACUATIONS = "/evacuations";
/** Target of the order that lets a quarantined request run again. */
const RELEASE = /^\/suspects\/([\w-]{1,64})\/release$/;

/** Reads the settings again on SIGHUP and when their file has changed. What
 * cannot be read is refused: the former settings stay in force. */
function followSettings(
  { load, settingsFile }: DaemonOptions,
  { host, logger }: { host: Host; logger: telemetry.Logger },
): void {
  const reload = (cause: string) => {
    try {
      host.reload(load());
    } catch (error) {
      logger.error({ err: error, cause }, "Settings not read");
    }
  };
  process.on("SIGHUP", () => reload("signal"));
  if (settingsFile === undefined) return;
  let last = fs.statSync(settingsFile).mtimeMs;
  // A look takes microseconds; handing it to another thread and back costs a
  // quarter of all system calls of a host at rest.
  const look = setInterval(() => {
    try {
      const { mtimeMs } = fs.statSync(settingsFile);
      if (mtimeMs === last) return;
      last = mtimeMs;
      reload("file");
    } catch (error) {
      logger.debug({ err: error }, "Settings file not found");
    }
  }, LOOK);
  look.unref();
}

function signal(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
