/** The endpoints that calls can be sent to: those that announce themselves and
 * those that the settings name.
 * @module */

import type * as endpoints from "../endpoints/mod.ts";
import type * as operators from "../operators/mod.ts";
import type * as request from "../request/mod.ts";
import type * as settings from "../schema/settings_types.ts";

/** Calls that an endpoint runs at once when nobody says. */
const SLOTS = 8;

/** Endpoints that calls can be sent to, or that finish theirs. */
export function reachable(
  { services }: settings.Settings,
  serving: readonly endpoints.Serving[],
): readonly request.ReachableEndpoint[] {
  const byName = new Map(services.map((service) => [service.name, service]));
  const announced = serving.map((entry) => {
    const service = byName.get(entry.endpoint.service);
    return fromEntry(entry, service?.slots ?? SLOTS);
  });
  return [...announced, ...services.flatMap(fixed)];
}

/** The same endpoints for people. */
export function views(
  of: settings.Settings,
  serving: readonly endpoints.Serving[],
): readonly operators.EndpointView[] {
  const announced = new Set(serving.map(({ id }) => id));
  return reachable(of, serving).map(({ role: _, generation: __, ...rest }) => ({
    ...rest,
    source: announced.has(rest.id) ? "announced" : "static",
  }));
}

/** Says why an endpoint may not announce itself so, or undefined. */
export function reject(
  { services }: settings.Settings,
  { endpoint, ...notice }: request.Notice,
): string | undefined {
  if (services.flatMap(fixed).some(({ id }) => id === endpoint)) {
    return `the settings name ${endpoint}`;
  }
  if (notice.type === "leave") return undefined;
  const { service, kind } = notice.announcement;
  const known = services.find(({ name }) => name === service);
  if (known === undefined) return `there is no service ${service}`;
  if (known.kind === kind) return undefined;
  return `${service} is of kind ${known.kind}, not ${kind}`;
}

function fromEntry(
  { id, generation, phase, endpoint }: endpoints.Serving,
  defaultSlots: number,
): request.ReachableEndpoint {
  const { service, kind, url, dataCentre, slots, role } = endpoint;
  return {
    id,
    service,
    kind,
    url,
    dataCentre,
    slots: slots ?? defaultSlots,
    role: role ?? "both",
    state: phase === "draining" ? "draining" : "ready",
    generation,
  };
}

function fixed(service: settings.Service): request.ReachableEndpoint[] {
  const { name, kind, slots = SLOTS, endpoints = [] } = service;
  return endpoints.map(({ id, url, dataCentre }) => ({
    id,
    service: name,
    kind,
    url,
    dataCentre,
    slots,
    role: "both",
    state: "ready",
  }));
}
