/** Index of one version of the configuration.
 * @module */

import type * as configurations from "./configuration.ts";
import * as ranks from "./ranks.ts";

/** Looks up routes, accounts and services of one version. */
export class Catalogue {
  readonly configuration: configurations.Configuration;
  /** Names of the services that compute items. */
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
      this.#routes.set(routeKey(hostname.toLowerCase(), prefix), route);
    }
    for (const account of configuration.accounts) {
      for (const key of account.keys) this.#accounts.set(key, account);
    }
    for (const service of configuration.services) {
      this.#services.set(service.name, service);
    }
    this.batchServices = configuration.services.filter(({ batching }) =>
      batching
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

  /** Whether requests of non-public routes need an API key. */
  get hasAccounts(): boolean {
    return this.#accounts.size > 0 || this.configuration.accounts.length > 0;
  }

  /** Returns the route with the longest prefix of `target`, which may contain a
   * query. `host` is the value of the Host header and may contain a port. */
  route(host: string, target: string): configurations.Route | undefined {
    const hostname = host.replace(/:\d*$/, "").toLowerCase();
    const query = target.indexOf("?");
    const path = query < 0 ? target : target.slice(0, query);
    let end = path.lastIndexOf("/");
    while (end >= 0) {
      const key = routeKey(hostname, path.slice(0, end + 1));
      const found = this.#routes.get(key);
      if (found !== undefined) return found;
      end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
    }
    return undefined;
  }

  /** Returns the account of an API key. */
  account(key: string): configurations.Account | undefined {
    return this.#accounts.get(key);
  }

  /** Priority of a request with this route and account; 0 is the highest. */
  rankOf(
    route: configurations.Route,
    account?: configurations.Account,
  ): number {
    return this.#ranks.rankOf(route, account);
  }

  /** Returns the service of a name. */
  service(name: string): configurations.Service | undefined {
    return this.#services.get(name);
  }
}

function routeKey(hostname: string, prefix: string): string {
  return `${hostname} ${prefix}`;
}
