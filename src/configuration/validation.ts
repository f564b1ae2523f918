/** Validation of a configuration, before it is proposed.
 * @module */

import type * as configurations from "./configuration.ts";

/** Why a configuration is invalid. */
export type ViolationKind =
  | "unknown-service"
  | "same-place"
  | "no-weight"
  | "no-timeout"
  | "bad-prefix"
  | "bad-stage"
  | "shared-key"
  | "same-name";

/** A violated rule, and where. */
export interface Violation {
  readonly kind: ViolationKind;
  readonly detail: string;
}

/** Returns the first violation in a configuration; undefined if it is valid. */
export function findViolation(
  configuration: configurations.Configuration,
): Violation | undefined {
  const services = new Set(configuration.services.map(({ name }) => name));
  if (services.size < configuration.services.length) {
    return { kind: "same-name", detail: "two services share a name" };
  }
  for (const route of configuration.routes) {
    const violation = findRouteViolation(route, services);
    if (violation !== undefined) return violation;
  }
  return duplicateRoute(configuration.routes) ??
    duplicateApiKey(configuration.accounts);
}

function findRouteViolation(
  route: configurations.Route,
  services: ReadonlySet<string>,
): Violation | undefined {
  const { name, targets, stages, timeout, prefix } = route;
  const named = [...targets, ...stages].map(({ service }) => service);
  const unknown = named.find((service) => !services.has(service));
  if (unknown !== undefined) {
    const detail = `route ${name} names the unknown service ${unknown}`;
    return { kind: "unknown-service", detail };
  }
  const weight = targets.reduce((sum, target) => sum + target.weight, 0);
  if (!(weight > 0) || targets.some((target) => target.weight < 0)) {
    return { kind: "no-weight", detail: `route ${name} has no weight` };
  }
  if (!(timeout > 0)) {
    return { kind: "no-timeout", detail: `route ${name} has no timeout` };
  }
  if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
    return { kind: "bad-prefix", detail: `route ${name} has a bad prefix` };
  }
  const isInvalid = stages.some(({ after }, index) =>
    after.some((other) => !(other >= 0 && other < index))
  );
  if (!isInvalid) return undefined;
  const detail = `a stage of route ${name} needs a later one`;
  return { kind: "bad-stage", detail };
}

function duplicateRoute(
  routes: readonly configurations.Route[],
): Violation | undefined {
  const routeNames = new Map<string, string>();
  for (const { name, hostname, prefix } of routes) {
    const key = `${hostname.toLowerCase()} ${prefix}`;
    const other = routeNames.get(key);
    if (other !== undefined) {
      const detail = `routes ${other} and ${name} share host and prefix`;
      return { kind: "same-place", detail };
    }
    routeNames.set(key, name);
  }
  return undefined;
}

function duplicateApiKey(
  accounts: readonly configurations.Account[],
): Violation | undefined {
  const accountNames = new Map<string, string>();
  for (const { name, keys } of accounts) {
    for (const key of keys) {
      const other = accountNames.get(key) ?? name;
      if (other !== name) {
        const detail = `accounts ${other} and ${name} share a key`;
        return { kind: "shared-key", detail };
      }
      accountNames.set(key, name);
    }
  }
  return undefined;
}
