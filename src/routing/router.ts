/** Routing of all services of a host: one group of endpoints, one budget of
 * retries, one of hedges and one set of learnt bounds for each.
 * @module */

import type * as event from "../request/event.ts";
import * as budget from "./extra_call_budget.ts";
import * as choice from "./endpoint_choice.ts";
import * as group from "./endpoint_group.ts";
import * as hedge from "./hedge.ts";

/** Events that routing learns from. */
export type RoutingEvent = Extract<
  event.Event,
  { type: "endpoints" | "load" | "cache" }
>;

/** What routing keeps of one service. */
export interface ServiceState {
  group: group.EndpointGroup;
  retryBudget: budget.ExtraCallBudget;
  /** Fed with the table's `spend` for each request. */
  hedgeBudget: budget.ExtraCallBudget;
  hedgePolicy: hedge.HedgePolicy;
}

/** Retries for each request. */
const RETRIES = 0.1;
/** Share of extra cost that may be spent where the table does not say. */
const SPEND = 0.02;

/** Services by name; changed in place. */
export class Router {
  #options: group.Options;
  #services = new Map<string, ServiceState>();
  /** Name of the service by endpoint. */
  #homes = new Map<string, string>();

  private constructor(options: group.Options) {
    this.#options = options;
  }

  /** A router that knows no endpoint. */
  static create(options: group.Options): Router {
    return new Router(options);
  }

  /** Learns from an event. */
  update(seen: RoutingEvent, now: number): void {
    if (seen.type === "endpoints") return this.#replace(seen.endpoints, now);
    const service = this.#homes.get(seen.endpoint);
    if (service === undefined) return;
    const { group } = this.service(service, now);
    if (seen.type === "load") group.reportLoad(seen.endpoint, seen.load, now);
    else group.prefixIndex.applyEvent(seen.endpoint, seen, now);
  }

  /** What is kept of a service; made when first asked for. */
  service(name: string, now: number): ServiceState {
    let found = this.#services.get(name);
    if (found === undefined) {
      found = {
        group: group.EndpointGroup.create(this.#options),
        retryBudget: budget.ExtraCallBudget.create({ ratio: RETRIES }, now),
        hedgeBudget: budget.ExtraCallBudget.create({ ratio: 1, floor: 0 }, now),
        hedgePolicy: hedge.HedgePolicy.create(),
      };
      this.#services.set(name, found);
    }
    return found;
  }

  /** Counts the first call of a request's stage; retries and hedges are paid
   * from what such calls bring in. */
  deposit(name: string, spend: number | undefined, now: number): void {
    const service = this.service(name, now);
    service.retryBudget.deposit(now);
    service.hedgeBudget.deposit(now, spend ?? SPEND);
  }

  /** Chooses an endpoint of a service; undefined when none has room. */
  choose(
    name: string,
    call: choice.Call,
    now: number,
  ): choice.Choice | undefined {
    return choice.choose(this.service(name, now).group, call, now);
  }

  /** Plain JSON of what is kept of each service. */
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
    for (const one of endpoints) {
      present.add(one.id);
      const home = this.#homes.get(one.id);
      if (home !== undefined && home !== one.service) {
        this.service(home, now).group.remove(one.id);
      }
      this.#homes.set(one.id, one.service);
      this.service(one.service, now).group.upsert(one);
    }
    for (const [id, service] of this.#homes) {
      if (present.has(id)) continue;
      this.service(service, now).group.remove(id);
      this.#homes.delete(id);
    }
  }
}
