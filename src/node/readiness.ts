/** Decides when a starting host may serve callers.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as directories from "./directory.ts";
import * as nodeError from "./node_error.ts";
import type * as tableSource from "./table_source.ts";

/** Interval at which readiness is checked. */
const POLL_INTERVAL_MS = 20;

/** Maximum time that a host waits to synchronize endpoints with another host. */
const ENDPOINT_SYNC_TIMEOUT_MS = 3000;

/** Dependencies of readiness. */
export interface Options {
  clock: runtime.Clock;
  source: tableSource.TableSource;
  directory: directories.Directory;
  /** Whether the fleet has no other host. */
  isSingleHost: boolean;
  /** Receives a function that cancels the wait. */
  onCancel(cancel: () => void): void;
}

/** Resolves once the table is loaded, no older than before the host's start, and
 * the endpoints are synchronized, or the timeouts for these have passed; rejects
 * when the wait is cancelled. */
export async function wait(options: Options): Promise<void> {
  let isCancelled = false;
  options.onCancel(() => isCancelled = true);
  await options.source.catchUp();
  if (isCancelled) throw cancelled();
  await waitForTableAndEndpoints(options);
}

function waitForTableAndEndpoints(options: Options): Promise<void> {
  const { clock, source, directory, isSingleHost } = options;
  const syncDeadline = clock.now() + ENDPOINT_SYNC_TIMEOUT_MS;
  return new Promise((resolve, reject) => {
    let cancel: runtime.Cancel = () => {};
    options.onCancel(() => {
      cancel();
      reject(cancelled());
    });
    check();

    function check(): void {
      const isSynced = isSingleHost || directory.hasSynced ||
        clock.now() >= syncDeadline;
      if (source.isLoaded && isSynced) resolve();
      else cancel = clock.after(POLL_INTERVAL_MS, check);
    }
  });
}

function cancelled(): nodeError.NodeError {
  return new nodeError.NodeError("the host stopped before it was ready");
}
