/** Routing of all services of a host: one group of endpoints, one budget of
 * retries, one of hedges and one set of learnt bounds for each.
 * @module */

import type * as event from "../request/event.ts";
import * as budget from "./budget.ts";
import * as choice from "./choice.ts";
import * as group from "./group.ts";
import * as hedge from "./hedge.ts";

/** Events that routing learns from. */
export type RoutingEvent = Extract<
  event.Event,
  { type: "endpoints" | "load" | "cache" }
>;

/** What routing keeps of one service. */
export interface Service {
  group: group.Group;
  retries: budget.Budget;
  /** Fed with the table's `spend` for each request. */
  spend: budget.Budget;
  hedges: hedge.Hedges;
}

/** Retries for each request. */
const RETRIES = 0.1;
/** Share of extra cost that may be spent where the table does not say. */
const SPEND = 0.02;

/** Services by name; changed in place. */
export class Router {
  #options: group.GroupOptions;
  #services = new Map<string, Service>();
  /** Name of the service by endpoint. */
  #homes = new Map<string, string>();

  private constructor(options: group.GroupOptions) {
    this.#options = options;
  }

  /** A router that knows no endpoint. */
  static create(options: group.GroupOptions): Router {
    return new Router(options);
  }

  /** Learns from an event. */
  update(seen: RoutingEvent, now: number): void {
    if (seen.type === "endpoints") return this.#replace(seen.endpoints, now);
    const service = this.#homes.get(seen.endpoint);
    if (service === undefined) return;
    const { group } = this.service(service, now);
    if (seen.type === "load") group.report(seen.endpoint, seen.load, now);
    else group.prefixes.event(seen.endpoint, seen, now);
  }

  /** What is kept of a service; made when first asked for. */
  service(name: string, now: number): Service {
    let found = this.#services.get(name);
    if (found === undefined) {
      found = {
        group: group.Group.create(this.#options),
        retries: budget.Budget.create({ share: RETRIES }, now),
        spend: budget.Budget.create({ share: 1, floor: 0 }, now),
        hedges: hedge.Hedges.create(),
      };
      this.#services.set(name, found);
    }
    return found;
  }

  /** Counts the first call of a request's stage; retries and hedges are paid
   * from what such calls bring in. */
  request(name: string, spend: number | undefined, now: number): void {
    const service = this.service(name, now);
    service.retries.deposit(now);
    service.spend.deposit(now, spend ?? SPEND);
  }

  /** Chooses an endpoint of a service; undefined when none has room. */
  choose(
    name: string,
    call: choice.Call,
    now: number,
  ): choice.Chosen | undefined {
    return choice.choose(this.service(name, now).group, call, now);
  }

  /** Plain JSON of what is kept of each service. */
  dump(now: number): unknown {
    const services = [...this.#services].map(([name, service]) => {
      const { group, retries, spend } = service;
      return [name, {
        endpoints: group.size,
        ejected: group.ejection.ejectedIds,
        utilisation: group.utilisation,
        service: group.service,
        blocks: group.prefixes.size,
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
      this.service(one.service, now).group.put(one);
    }
    for (const [id, service] of this.#homes) {
      if (present.has(id)) continue;
      this.service(service, now).group.remove(id);
      this.#homes.delete(id);
    }
  }
}
