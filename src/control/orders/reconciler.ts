/** Drives the orders over clock and HTTP on a host that may hold the lease.
 * @module */

import type * as undici from "undici";
import * as runtime from "../../runtime/mod.ts";
import type * as telemetry from "../../telemetry/mod.ts";
import type * as table from "../table/mod.ts";
import * as callers from "./engine_client.ts";
import type * as events from "./reconciler_event.ts";
import * as orders from "./reconciler_state.ts";
import type * as plans from "./plan.ts";

/** Milliseconds between looks at the lease. */
const LOOK = 200;

/** What a reconciler needs of its host. */
export interface ReconcilerOptions {
  clock: runtime.Clock;
  logger: telemetry.Logger;
  limits: events.Limits;
  /** The lease as it is now, by a fresh look at the clock. */
  lease(): events.Lease | undefined;
  /** Connections to engines; undici's own when absent. */
  dispatcher?: undici.Dispatcher;
  /** Bearer token that engines expect, if they do. */
  token?: string;
}

/** Brings engines to what the table asks for, while the lease is held here. */
export class Reconciler {
  readonly #options: ReconcilerOptions;
  readonly #caller: callers.EngineClient;
  readonly #alarm: runtime.Timer;
  readonly #look: runtime.Timer;
  #orders: orders.ReconcilerState;
  #table: table.Table | undefined;
  #token: number | undefined;

  private constructor(options: ReconcilerOptions) {
    const { clock, limits, dispatcher, token } = options;
    this.#options = options;
    this.#orders = orders.ReconcilerState.create(limits);
    this.#caller = callers.EngineClient.create({
      dispatcher,
      token,
      holdsLease: (token) => this.#held()?.token === token,
    });
    const tick = () => this.#step({ type: "tick" });
    this.#alarm = runtime.Timer.create(clock, tick);
    this.#look = runtime.Timer.create(clock, () => this.#lookAtLease());
  }

  /** A reconciler that does nothing before `start`. */
  static create(options: ReconcilerOptions): Reconciler {
    return new Reconciler(options);
  }

  /** Begins to order whenever the lease is held. */
  start(): void {
    this.#lookAtLease();
  }

  /** Follows the table in force. */
  setTable(current: table.Table): void {
    this.#table = current;
    this.#step({ type: "table", table: current });
  }

  /** Follows the engines that are announced. */
  setEngines(engines: readonly plans.Engine[]): void {
    this.#step({ type: "engines", engines });
  }

  /** Orders nothing any more; calls under way end by themselves. */
  stop(): void {
    this.#look.cancel();
    this.#step({ type: "lease" });
    this.#alarm.cancel();
  }

  /** State for people. */
  dump(): unknown {
    return this.#orders.dump();
  }

  #lookAtLease(): void {
    const lease = this.#held();
    if (lease?.token !== this.#token) {
      this.#token = lease?.token;
      this.#options.logger.info({ token: lease?.token }, "order lease changed");
    }
    this.#step({ type: "lease", lease });
    this.#look.set(this.#options.clock.now() + LOOK);
  }

  #held(): events.Lease | undefined {
    const lease = this.#options.lease();
    const held = lease !== undefined && this.#options.clock.now() < lease.until;
    return held ? lease : undefined;
  }

  #step(event: events.ReconcilerEvent): void {
    const step = this.#orders.step(event, this.#options.clock.now());
    this.#orders = step.state;
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
    wake: ({ at }) => this.#alarm.set(at),
  };

  async #read(engine: plans.Engine): Promise<void> {
    const report = await this.#caller.readReport(engine);
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
    const answer = await this.#caller.sendOrder(engine, token, { order });
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
