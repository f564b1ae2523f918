/** The request path of a host, assembled: callers' HTTP interface, intake,
 * dispatcher, execution and connections to endpoints.
 * @module */

import * as endpointCalls from "../endpoint_calls/mod.ts";
import * as callers from "../callers/mod.ts";
import * as accounting from "./accounting.ts";
import * as catalogue from "./catalogue.ts";
import * as dispatcher from "./dispatcher.ts";
import type * as event from "./event.ts";
import * as execution from "./executor.ts";
import * as intake from "./intake.ts";
import type * as pathOptions from "./path_options.ts";
import * as plainPolicies from "./baseline_policies.ts";

/** Milliseconds after the longest deadline that a stop waits at most. */
const STOP_GRACE = 2000;

/** Request path of one host. */
export class RequestPath {
  readonly #options: pathOptions.PathOptions;
  readonly #dispatcher: dispatcher.Dispatcher;
  readonly #endpointCalls: endpointCalls.EndpointClient;
  readonly #accounting: accounting.Accounting;
  readonly #subscriptions: endpointCalls.Subscriptions;
  readonly #execution: execution.Executor;
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
        plainPolicies.create({ inFlight: limits.inFlight }),
      observers: options.observers,
    });
    this.#endpointCalls = endpointCalls.EndpointClient.create({
      clock,
      metrics,
      answerBytes: limits.answerBytes,
    });
    this.#accounting = accounting.Accounting.create({ clock, metrics });
    this.#execution = execution.Executor.create({
      dispatcher: this.#dispatcher,
      endpointCalls: this.#endpointCalls,
      clock,
      accounting: this.#accounting,
    });
    this.#subscriptions = this.#endpointCalls.listen({
      random,
      take: (heard) => this.#execution.push(heard),
    });
    this.#intake = intake.Intake.create({
      host: settings.host,
      clock,
      random,
      accounting: this.#accounting,
      execution: this.#execution,
      claims,
    });
    this.#server = callers.Server.create({
      ...options,
      catalogue: catalogue.Catalogue.create(settings),
      intake: this.#intake,
      abandon: (id) => this.#execution.abandon(id),
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
    return this.#execution.inFlight;
  }

  /** Takes the present endpoints in place of the old ones. */
  setEndpoints(endpoints: readonly pathOptions.ReachableEndpoint[]): void {
    // Late news would open connections that nobody closes.
    if (this.#closed) return;
    this.#execution.setEndpoints(endpoints);
    this.#subscriptions.replace(endpoints);
  }

  /** Takes the table's policies in place of the old ones. */
  setPolicies(policies: event.Policies): void {
    this.#intake.setPolicies(policies);
    this.#execution.push({ type: "policies", policies });
  }

  /** Opens the callers' interface. */
  async start(): Promise<void> {
    await this.#server.start();
  }

  /** Refuses new requests and says so to the balancer. */
  drain(): void {
    if (this.#draining) return;
    this.#draining = true;
    this.#options.metrics.gauge("node.draining", 1);
    this.#options.log.info({}, "draining");
    this.#server.drain();
    this.#execution.push({ type: "drain" });
  }

  /** Drains, waits for the requests in flight, and closes everything. */
  async stop(): Promise<void> {
    this.drain();
    const { clock, settings } = this.#options;
    const deadlines = settings.pipelines.map(({ deadline }) => deadline);
    const longest = Math.max(catalogue.SERVICE_DEADLINE, ...deadlines);
    let cancel = () => {};
    const bound = new Promise<void>((resolve) => {
      cancel = clock.after(longest + STOP_GRACE, resolve);
    });
    await Promise.race([this.#server.idle(), bound]);
    cancel();
    await this.#server.close();
    this.#closed = true;
    this.#subscriptions.close();
    this.#execution.close();
    await this.#endpointCalls.close();
  }

  /** Plain JSON of the present state, without secrets and payloads. */
  dump(): unknown {
    return {
      draining: this.#draining,
      open: this.#server.open,
      accounts: this.#accounting.dump(),
      dispatcher: this.#dispatcher.dump(this.#options.clock.now()),
    };
  }
}
