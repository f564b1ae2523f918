/** Orders to engines, wired: the table and the engines that announce themselves
 * go in; calls go out while this host holds the lease of the log.
 * @module */

import * as control from "../control/mod.ts";
import * as orders from "../control/orders/mod.ts";
import type * as endpoints from "../endpoints/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/settings_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as tableSource from "./table_source.ts";

/** Loads a second over all engines when the settings name none. */
const LOAD_RATE = 1;

/** What orders need of their host. */
export interface Options {
  settings: schema.Settings;
  clock: runtime.Clock;
  logger: telemetry.Logger;
  source: tableSource.TableSource;
}

/** Orders the engines from the host that leads. */
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
        loads: settings.limits?.loadRate ?? LOAD_RATE,
        // Nobody else is elected earlier, whichever clock is slow.
        lease: control.log.DEFAULT_TIMING.minElectionTimeout,
      },
      lease: () => source.lease(),
    });
  }

  /** Orders that do nothing before `start`. */
  static create(options: Options): EngineOrders {
    return new EngineOrders(options);
  }

  /** Begins to follow the table, and to order whenever the lease is held. */
  start(): void {
    const { access } = this.#source;
    const follow = () => this.#reconciler.setTable(access.view());
    follow();
    this.#cancel = access.watch(follow);
    this.#reconciler.start();
  }

  /** Follows the endpoints; engines that drain get no order any more. */
  setEngines(serving: readonly endpoints.Serving[]): void {
    const engines = serving.filter(({ phase, endpoint }) =>
      phase === "ready" && endpoint.kind === "engine"
    );
    this.#reconciler.setEngines(engines.map(engineOf));
  }

  /** Orders nothing any more. */
  stop(): void {
    this.#cancel();
    this.#reconciler.stop();
  }

  /** State for people. */
  dump(): unknown {
    return this.#reconciler.dump();
  }
}

function engineOf(
  { id, generation, endpoint: { service, url, fencing } }: endpoints.Serving,
): orders.Engine {
  return { id, generation, service, url, fencing };
}
