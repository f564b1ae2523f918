/** One version of the configuration, ready to be looked up in.
 * @module */

import type * as configurations from "./configuration.ts";
import * as ranks from "./ranks.ts";

/** Finds routes, accounts and services of one version. */
export class Catalogue {
  readonly configuration: configurations.Configuration;
  /** Names of the services that make pieces. */
  readonly batchServices: readonly string[];
  readonly #routes = new Map<string, configurations.Route>();
  readonly #accounts = new Map<string, configurations.Account>();
  readonly #services = new Map<string, configurations.Service>();
  readonly #ranks: ranks.Ranks;

  private constructor(configuration: configurations.Configuration) {
    this.configuration = configuration;
    this.#ranks = ranks.Ranks.of(configuration);
    for (const route of configuration.routes) {
      const { hostname, prefix } = route;
      this.#routes.set(placeOf(hostname.toLowerCase(), prefix), route);
    }
    for (const account of configuration.accounts) {
      for (const key of account.keys) this.#accounts.set(key, account);
    }
    for (const service of configuration.services) {
      this.#services.set(service.name, service);
    }
    this.batchServices = configuration.services.filter(({ batching: pieces }) =>
      pieces
    )
      .map(({ name }) => name);
  }

  /** Indexes a valid configuration. */
  static create(configuration: configurations.Configuration): Catalogue {
    return new Catalogue(configuration);
  }

  get version(): number {
    return this.configuration.version;
  }

  /** Whether requests of routes that are not public need a key. */
  get hasAccounts(): boolean {
    return this.#accounts.size > 0 || this.configuration.accounts.length > 0;
  }

  /** The route with the longest prefix of `target`, which may end in a query;
   * `host` is the header and may name a port. */
  route(host: string, target: string): configurations.Route | undefined {
    const hostname = host.replace(/:\d*$/, "").toLowerCase();
    const query = target.indexOf("?");
    const path = query < 0 ? target : target.slice(0, query);
    let end = path.lastIndexOf("/");
    while (end >= 0) {
      const place = placeOf(hostname, path.slice(0, end + 1));
      const found = this.#routes.get(place);
      if (found !== undefined) return found;
      end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
    }
    return undefined;
  }

  /** The account that holds a key. */
  account(key: string): configurations.Account | undefined {
    return this.#accounts.get(key);
  }

  /** How urgent a request of a route and an account is; 0 is the highest. */
  rankOf(
    route: configurations.Route,
    account?: configurations.Account,
  ): number {
    return this.#ranks.rankOf(route, account);
  }

  /** The service of a name. */
  service(name: string): configurations.Service | undefined {
    return this.#services.get(name);
  }
}

function placeOf(hostname: string, prefix: string): string {
  return `${hostname} ${prefix}`;
}
