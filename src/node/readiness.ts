/** When a host may serve callers.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as directories from "./directory.ts";
import * as nodeError from "./node_error.ts";
import type * as tableSource from "./table_source.ts";

/** Milliseconds between looks. */
const LOOK = 20;

/** Milliseconds that a host waits for another host's endpoints. */
const ENDPOINT_PATIENCE = 3000;

/** What readiness depends on. */
export interface Options {
  clock: runtime.Clock;
  source: tableSource.TableSource;
  directory: directories.Directory;
  /** Whether there is no other host. */
  alone: boolean;
  /** Gets the way to give up. */
  onCancel(cancel: () => void): void;
}

/** Resolves once the table in force takes nothing back and the endpoints are
 * known; rejects when it is given up. */
export async function wait(options: Options): Promise<void> {
  let given = false;
  options.onCancel(() => given = true);
  await options.source.catchUp();
  if (given) throw gaveUp();
  await waitForBoth(options);
}

function waitForBoth(options: Options): Promise<void> {
  const { clock, source, directory, alone } = options;
  const patience = clock.now() + ENDPOINT_PATIENCE;
  return new Promise((resolve, reject) => {
    let cancel: runtime.Cancel = () => {};
    options.onCancel(() => {
      cancel();
      reject(gaveUp());
    });
    look();

    function look(): void {
      const known = alone || directory.hasSynced || clock.now() >= patience;
      if (source.isLoaded && known) resolve();
      else cancel = clock.after(LOOK, look);
    }
  });
}

function gaveUp(): nodeError.NodeError {
  return new nodeError.NodeError("the host stopped before it was ready");
}
