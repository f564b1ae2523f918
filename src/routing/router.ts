/** Routing of all services of a host. Each service has a group of endpoints, a
 * retry budget, a hedge budget and a hedge policy with learned thresholds.
 * @module */

import type * as event from "../request/event.ts";
import * as extraCallBudget from "./extra_call_budget.ts";
import * as endpointChoice from "./endpoint_choice.ts";
import * as endpointGroup from "./endpoint_group.ts";
import * as hedge from "./hedge.ts";

/** Events that update the routing state. */
export type RoutingEvent = Extract<
  event.Event,
  { type: "endpoints" | "load" | "cache" }
>;

/** Routing state of one service. */
export interface ServiceState {
  group: endpointGroup.EndpointGroup;
  retryBudget: extraCallBudget.ExtraCallBudget;
  /** Receives the policy table's `spend` for each request. */
  hedgeBudget: extraCallBudget.ExtraCallBudget;
  hedgePolicy: hedge.HedgePolicy;
}

/** Retries granted for each request. */
const RETRY_RATIO = 0.1;
/** Share of extra cost granted to hedges when the policy table sets none. */
const DEFAULT_HEDGE_RATIO = 0.02;

/** Routing state of all services; mutated in place. */
export class Router {
  #options: endpointGroup.Options;
  #services = new Map<string, ServiceState>();
  /** Name of the service by endpoint. */
  #serviceByEndpoint = new Map<string, string>();

  private constructor(options: endpointGroup.Options) {
    this.#options = options;
  }

  /** Creates a router without endpoints. */
  static create(options: endpointGroup.Options): Router {
    return new Router(options);
  }

  /** Applies an event. */
  update(seen: RoutingEvent, now: number): void {
    if (seen.type === "endpoints") return this.#replace(seen.endpoints, now);
    const service = this.#serviceByEndpoint.get(seen.endpoint);
    if (service === undefined) return;
    const { group } = this.service(service, now);
    if (seen.type === "load") group.reportLoad(seen.endpoint, seen.load, now);
    else group.prefixIndex.applyEvent(seen.endpoint, seen, now);
  }

  /** State of a service; created on first use. */
  service(name: string, now: number): ServiceState {
    let found = this.#services.get(name);
    if (found === undefined) {
      found = {
        group: endpointGroup.EndpointGroup.create(this.#options),
        retryBudget: extraCallBudget.ExtraCallBudget.create({
          ratio: RETRY_RATIO,
        }, now),
        hedgeBudget: extraCallBudget.ExtraCallBudget.create({
          ratio: 1,
          floor: 0,
        }, now),
        hedgePolicy: hedge.HedgePolicy.create(),
      };
      this.#services.set(name, found);
    }
    return found;
  }

  /** Counts the first call of a request's stage, which adds to the budgets of
   * retries and hedges. */
  deposit(name: string, spend: number | undefined, now: number): void {
    const service = this.service(name, now);
    service.retryBudget.deposit(now);
    service.hedgeBudget.deposit(now, spend ?? DEFAULT_HEDGE_RATIO);
  }

  /** Chooses an endpoint of a service; undefined when none has a free slot. */
  choose(
    name: string,
    call: endpointChoice.Call,
    now: number,
  ): endpointChoice.Choice | undefined {
    return endpointChoice.choose(this.service(name, now).group, call, now);
  }

  /** Plain JSON of the state of each service. */
  dump(now: number): unknown {
    const services = [...this.#services].map(([name, service]) => {
      const { group, retryBudget: retries, hedgeBudget: spend } = service;
      return [name, {
        endpoints: group.size,
        ejected: group.outliers.ejectedIds,
        utilisation: group.utilisation,
        service: group.meanServiceTime,
        blocks: group.prefixIndex.size,
        retries: retries.available(now),
        hedges: spend.available(now),
      }];
    });
    return Object.fromEntries(services);
  }

  #replace(endpoints: readonly event.Endpoint[], now: number): void {
    const present = new Set<string>();
    for (const endpoint of endpoints) {
      present.add(endpoint.id);
      const previous = this.#serviceByEndpoint.get(endpoint.id);
      if (previous !== undefined && previous !== endpoint.service) {
        this.service(previous, now).group.remove(endpoint.id);
      }
      this.#serviceByEndpoint.set(endpoint.id, endpoint.service);
      this.service(endpoint.service, now).group.upsert(endpoint);
    }
    for (const [id, service] of this.#serviceByEndpoint) {
      if (present.has(id)) continue;
      this.service(service, now).group.remove(id);
      this.#serviceByEndpoint.delete(id);
    }
  }
}
