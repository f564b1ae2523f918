/** Assembles the request path of a host: callers' HTTP interface, intake,
 * dispatcher, executor and connections to endpoints.
 * @module */

import * as endpointCalls from "../endpoint_calls/mod.ts";
import * as callers from "../callers/mod.ts";
import * as accounting from "./accounting.ts";
import * as catalogue from "./catalogue.ts";
import * as dispatcher from "./dispatcher.ts";
import type * as event from "./event.ts";
import * as executor from "./executor.ts";
import * as intake from "./intake.ts";
import type * as pathOptions from "./path_options.ts";
import * as baselinePolicies from "./baseline_policies.ts";

/** Time beyond the longest deadline for which `stop` waits at most. */
const STOP_GRACE_MS = 2000;

/** Request path of one host. */
export class RequestPath {
  readonly #options: pathOptions.PathOptions;
  readonly #dispatcher: dispatcher.Dispatcher;
  readonly #endpointCalls: endpointCalls.EndpointClient;
  readonly #accounting: accounting.Accounting;
  readonly #subscriptions: endpointCalls.Subscriptions;
  readonly #executor: executor.Executor;
  readonly #intake: intake.Intake;
  readonly #server: callers.Server;
  #draining = false;
  #closed = false;

  private constructor(options: pathOptions.PathOptions) {
    this.#options = options;
    const { settings, clock, metrics, random, claims } = options;
    const limits = settings.limits ?? {};
    this.#dispatcher = dispatcher.Dispatcher.create({
      policySet: options.policySet ??
        baselinePolicies.create({ inFlight: limits.inFlight }),
      observers: options.observers,
    });
    this.#endpointCalls = endpointCalls.EndpointClient.create({
      clock,
      metrics,
      answerBytes: limits.answerBytes,
    });
    this.#accounting = accounting.Accounting.create({ clock, metrics });
    this.#executor = executor.Executor.create({
      dispatcher: this.#dispatcher,
      endpointCalls: this.#endpointCalls,
      clock,
      accounting: this.#accounting,
    });
    this.#subscriptions = this.#endpointCalls.listen({
      random,
      take: (event) => this.#executor.push(event),
    });
    this.#intake = intake.Intake.create({
      host: settings.host,
      clock,
      random,
      accounting: this.#accounting,
      executor: this.#executor,
      claims,
    });
    this.#server = callers.Server.create({
      ...options,
      catalogue: catalogue.Catalogue.create(settings),
      intake: this.#intake,
      abandon: (id) => this.#executor.abandon(id),
    });
  }

  static create(options: pathOptions.PathOptions): RequestPath {
    return new RequestPath(options);
  }

  /** Port of the callers' interface; known after `start`. */
  get port(): number {
    return this.#server.port;
  }

  /** Requests without a final answer. */
  get inFlight(): number {
    return this.#executor.inFlight;
  }

  /** Replaces the set of known endpoints. */
  setEndpoints(endpoints: readonly pathOptions.ReachableEndpoint[]): void {
    // An update after `stop` would open connections that are never closed.
    if (this.#closed) return;
    this.#executor.setEndpoints(endpoints);
    this.#subscriptions.replace(endpoints);
  }

  /** Replaces the policies, which come from the settings table. */
  setPolicies(policies: event.Policies): void {
    this.#intake.setPolicies(policies);
    this.#executor.push({ type: "policies", policies });
  }

  /** Starts to listen for callers. */
  async start(): Promise<void> {
    await this.#server.start();
  }

  /** Refuses new requests and fails the health check of load balancers. */
  drain(): void {
    if (this.#draining) return;
    this.#draining = true;
    this.#options.metrics.gauge("node.draining", 1);
    this.#options.log.info({}, "draining");
    this.#server.drain();
    this.#executor.push({ type: "drain" });
  }

  /** Drains, waits for the requests in flight, and closes all connections. */
  async stop(): Promise<void> {
    this.drain();
    const { clock, settings } = this.#options;
    const deadlines = settings.pipelines.map(({ deadline }) => deadline);
    const longestDeadline = Math.max(
      catalogue.SERVICE_DEADLINE_MS,
      ...deadlines,
    );
    let cancelTimeout = () => {};
    const timeout = new Promise<void>((resolve) => {
      cancelTimeout = clock.after(longestDeadline + STOP_GRACE_MS, resolve);
    });
    await Promise.race([this.#server.idle(), timeout]);
    cancelTimeout();
    await this.#server.close();
    this.#closed = true;
    this.#subscriptions.close();
    this.#executor.close();
    await this.#endpointCalls.close();
  }

  /** Current state as plain JSON, without secrets and payloads. */
  dump(): unknown {
    return {
      draining: this.#draining,
      open: this.#server.open,
      accounts: this.#accounting.dump(),
      dispatcher: this.#dispatcher.dump(this.#options.clock.now()),
    };
  }
}
