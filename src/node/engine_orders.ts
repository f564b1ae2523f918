/** Connects the reconciler of engine orders to its host: passes on the table
 * and the announced engines. Orders are sent only while this host holds the
 * lease of the log.
 * @module */

import * as control from "../control/mod.ts";
import * as orders from "../control/orders/mod.ts";
import type * as endpoints from "../endpoints/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/settings_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as tableSource from "./table_source.ts";

/** Model loads per second over all engines when the settings give no rate. */
const DEFAULT_LOAD_RATE = 1;

/** Options and dependencies of engine orders. */
export interface Options {
  settings: schema.Settings;
  clock: runtime.Clock;
  logger: telemetry.Logger;
  source: tableSource.TableSource;
}

/** Sends orders to the engines from the lease holder. */
export class EngineOrders {
  readonly #source: tableSource.TableSource;
  readonly #reconciler: orders.Reconciler;
  #cancel: runtime.Cancel = () => {};

  private constructor({ settings, clock, logger, source }: Options) {
    this.#source = source;
    this.#reconciler = orders.Reconciler.create({
      clock,
      logger,
      limits: {
        loadsPerSecond: settings.limits?.loadRate ?? DEFAULT_LOAD_RATE,
        // No other host can be elected earlier, even if a clock runs slow.
        leaseMs: control.log.DEFAULT_TIMING.minElectionTimeout,
      },
      lease: () => source.lease(),
    });
  }

  /** Creates engine orders that are inactive until `start`. */
  static create(options: Options): EngineOrders {
    return new EngineOrders(options);
  }

  /** Starts watching the table, and sends orders while the lease is held. */
  start(): void {
    const { access } = this.#source;
    const updateTable = () => this.#reconciler.setTable(access.view());
    updateTable();
    this.#cancel = access.watch(updateTable);
    this.#reconciler.start();
  }

  /** Updates the engines; draining engines receive no further orders. */
  setEngines(serving: readonly endpoints.ServingEntry[]): void {
    const engines = serving.filter(({ phase, endpoint }) =>
      phase === "ready" && endpoint.kind === "engine"
    );
    this.#reconciler.setEngines(engines.map(engineOf));
  }

  /** Stops watching the table and sending orders. */
  stop(): void {
    this.#cancel();
    this.#reconciler.stop();
  }

  /** Reconciler state for the state dump. */
  dump(): unknown {
    return this.#reconciler.dump();
  }
}

function engineOf(
  { id, generation, endpoint: { service, url, fencing } }:
    endpoints.ServingEntry,
): orders.Engine {
  return { id, generation, service, url, fencing };
}
