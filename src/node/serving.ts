/** Lists the endpoints that can receive calls: announced endpoints and static
 * ones from the settings.
 * @module */

import type * as endpoints from "../endpoints/mod.ts";
import type * as operators from "../operators/mod.ts";
import type * as request from "../request/mod.ts";
import type * as settings from "../schema/settings_types.ts";

/** Concurrent calls per endpoint when neither its announcement nor its service
 * gives a number. */
const DEFAULT_SLOTS = 8;

/** Endpoints that can receive calls, and draining ones that finish theirs. */
export function reachable(
  { services }: settings.Settings,
  serving: readonly endpoints.ServingEntry[],
): readonly request.ReachableEndpoint[] {
  const byName = new Map(services.map((service) => [service.name, service]));
  const announced = serving.map((entry) => {
    const service = byName.get(entry.endpoint.service);
    return fromEntry(entry, service?.slots ?? DEFAULT_SLOTS);
  });
  return [...announced, ...services.flatMap(staticEndpoints)];
}

/** The same endpoints as shown to operators. */
export function views(
  of: settings.Settings,
  serving: readonly endpoints.ServingEntry[],
): readonly operators.EndpointView[] {
  const announced = new Set(serving.map(({ id }) => id));
  return reachable(of, serving).map(({ role: _, generation: __, ...rest }) => ({
    ...rest,
    source: announced.has(rest.id) ? "announced" : "static",
  }));
}

/** Returns the reason for which a notice is rejected, or undefined when it is
 * valid. */
export function reject(
  { services }: settings.Settings,
  { endpoint, ...notice }: request.Notice,
): string | undefined {
  if (services.flatMap(staticEndpoints).some(({ id }) => id === endpoint)) {
    return `the settings name ${endpoint}`;
  }
  if (notice.type === "leave") return undefined;
  const { service, kind } = notice.announcement;
  const expectedService = services.find(({ name }) => name === service);
  if (expectedService === undefined) return `there is no service ${service}`;
  if (expectedService.kind === kind) return undefined;
  return `${service} is of kind ${expectedService.kind}, not ${kind}`;
}

function fromEntry(
  { id, generation, phase, endpoint }: endpoints.ServingEntry,
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

function staticEndpoints(
  service: settings.Service,
): request.ReachableEndpoint[] {
  const { name, kind, slots = DEFAULT_SLOTS, endpoints = [] } = service;
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
