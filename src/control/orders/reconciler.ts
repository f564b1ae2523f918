/** Runs the reconciler's state machine with a clock and an HTTP client, on a host
 * that may hold the lease.
 * @module */

import type * as undici from "undici";
import * as runtime from "../../runtime/mod.ts";
import type * as telemetry from "../../telemetry/mod.ts";
import type * as table from "../table/mod.ts";
import * as clients from "./engine_client.ts";
import type * as events from "./reconciler_event.ts";
import * as states from "./reconciler_state.ts";
import type * as plans from "./plan.ts";

/** Time between checks of the lease. */
const LEASE_POLL_INTERVAL_MS = 200;

/** Options of a `Reconciler`. */
export interface ReconcilerOptions {
  clock: runtime.Clock;
  logger: telemetry.Logger;
  limits: events.Limits;
  /** Returns the lease if it is held now; reads the clock on each call. */
  lease(): events.Lease | undefined;
  /** Connections to engines; undici's default if absent. */
  dispatcher?: undici.Dispatcher;
  /** Bearer token for the engines, if they require one. */
  token?: string;
}

/** Reconciles the engines with the table while this host holds the lease. */
export class Reconciler {
  readonly #options: ReconcilerOptions;
  readonly #client: clients.EngineClient;
  readonly #timer: runtime.Timer;
  readonly #leaseTimer: runtime.Timer;
  #state: states.ReconcilerState;
  #table: table.Table | undefined;
  #token: number | undefined;

  private constructor(options: ReconcilerOptions) {
    const { clock, limits, dispatcher, token } = options;
    this.#options = options;
    this.#state = states.ReconcilerState.create(limits);
    this.#client = clients.EngineClient.create({
      dispatcher,
      token,
      holdsLease: (token) => this.#currentLease()?.token === token,
    });
    const tick = () => this.#step({ type: "tick" });
    this.#timer = runtime.Timer.create(clock, tick);
    this.#leaseTimer = runtime.Timer.create(clock, () => this.#pollLease());
  }

  /** Creates a reconciler that is idle until `start`. */
  static create(options: ReconcilerOptions): Reconciler {
    return new Reconciler(options);
  }

  /** Starts to check the lease, and sends orders while it is held. */
  start(): void {
    this.#pollLease();
  }

  /** Sets the current table. */
  setTable(current: table.Table): void {
    this.#table = current;
    this.#step({ type: "table", table: current });
  }

  /** Sets the engines that are announced. */
  setEngines(engines: readonly plans.Engine[]): void {
    this.#step({ type: "engines", engines });
  }

  /** Stops sending orders; pending calls are not aborted. */
  stop(): void {
    this.#leaseTimer.cancel();
    this.#step({ type: "lease" });
    this.#timer.cancel();
  }

  /** Returns the state for a dump. */
  dump(): unknown {
    return this.#state.dump();
  }

  #pollLease(): void {
    const lease = this.#currentLease();
    if (lease?.token !== this.#token) {
      this.#token = lease?.token;
      this.#options.logger.info({ token: lease?.token }, "order lease changed");
    }
    this.#step({ type: "lease", lease });
    this.#leaseTimer.set(this.#options.clock.now() + LEASE_POLL_INTERVAL_MS);
  }

  #currentLease(): events.Lease | undefined {
    const lease = this.#options.lease();
    const held = lease !== undefined && this.#options.clock.now() < lease.until;
    return held ? lease : undefined;
  }

  #step(event: events.ReconcilerEvent): void {
    const step = this.#state.step(event, this.#options.clock.now());
    this.#state = step.state;
    for (const effect of step.effects) {
      const handler = this.#handlers[effect.type] as Handler<string>;
      handler(effect as never);
    }
  }

  readonly #handlers: { [T in events.ReconcilerEffect["type"]]: Handler<T> } = {
    read: ({ engine }) => void this.#read(engine),
    order: (effect) => void this.#order(effect),
    fenced: ({ engine, token }) =>
      this.#options.logger.warn(
        { engine, token },
        "engine knows a newer leader",
      ),
    wake: ({ at }) => this.#timer.set(at),
  };

  async #read(engine: plans.Engine): Promise<void> {
    const report = await this.#client.readReport(engine);
    this.#step({ type: "report", engine: engine.id, report });
  }

  async #order(
    { engine, token, order }: Extract<
      events.ReconcilerEffect,
      { type: "order" }
    >,
  ): Promise<void> {
    const { id, service } = engine;
    const operators = this.#table?.lastWriters(`service/${service}`);
    const answer = await this.#client.sendOrder(engine, token, { order });
    this.#options.logger.info(
      { engine: id, service, operators, token, order, answer },
      "engine ordered",
    );
    this.#step({ type: "answer", engine: id, answer });
  }
}

type Handler<T> = (
  effect: Extract<events.ReconcilerEffect, { type: T }>,
) => void;
