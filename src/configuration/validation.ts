/** Finds what makes a configuration invalid, before anything is proposed.
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

/** A fault, and where it is. */
export interface Violation {
  readonly kind: ViolationKind;
  readonly detail: string;
}

/** The first fault of a configuration; undefined when it is valid. */
export function findViolation(
  configuration: configurations.Configuration,
): Violation | undefined {
  const services = new Set(configuration.services.map(({ name }) => name));
  if (services.size < configuration.services.length) {
    return { kind: "same-name", detail: "two services share a name" };
  }
  for (const route of configuration.routes) {
    const fault = faultOfRoute(route, services);
    if (fault !== undefined) return fault;
  }
  return sharedPlace(configuration.routes) ?? sharedKey(configuration.accounts);
}

function faultOfRoute(
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
  const isBad = stages.some(({ after }, number) =>
    after.some((other) => !(other >= 0 && other < number))
  );
  if (!isBad) return undefined;
  const detail = `a stage of route ${name} needs a later one`;
  return { kind: "bad-stage", detail };
}

function sharedPlace(
  routes: readonly configurations.Route[],
): Violation | undefined {
  const places = new Map<string, string>();
  for (const { name, hostname, prefix } of routes) {
    const place = `${hostname.toLowerCase()} ${prefix}`;
    const other = places.get(place);
    if (other !== undefined) {
      const detail = `routes ${other} and ${name} share host and prefix`;
      return { kind: "same-place", detail };
    }
    places.set(place, name);
  }
  return undefined;
}

function sharedKey(
  accounts: readonly configurations.Account[],
): Violation | undefined {
  const holders = new Map<string, string>();
  for (const { name, keys } of accounts) {
    for (const key of keys) {
      const other = holders.get(key) ?? name;
      if (other !== name) {
        const detail = `accounts ${other} and ${name} share a key`;
        return { kind: "shared-key", detail };
      }
      holders.set(key, name);
    }
  }
  return undefined;
}
