/** The endpoints that a host knows, by service.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import * as incarnations from "../endpoints/incarnation.ts";
import type * as endpoints from "../endpoints/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as endpoint from "./endpoint.ts";
import * as firstEvents from "./first_event_latency.ts";
import * as promptMemory from "./cached_prefixes.ts";

/** An endpoint that is no more. */
export interface EndedEndpoint {
  readonly identity: endpoint.Identity;
  /** Whether it has started again under its name, so that what was under way
   * is lost. */
  readonly isRestarted: boolean;
}

/** Endpoints by service, each incarnation an endpoint of its own; changed in
 * place. */
export class EndpointPool {
  readonly #byId = new Map<string, endpoint.Endpoint>();
  readonly #byAddress = new Map<string, string>();
  readonly #byService = new Map<string, endpoint.Endpoint[]>();
  readonly #firstEvents = new Map<string, firstEvents.FirstEventLatency>();
  #evacuated: ReadonlySet<string> = new Set();
  #revision = 0;

  static create(): EndpointPool {
    return new EndpointPool();
  }

  /** Follows a roster and what is known of services now; returns who has
   * ended. */
  update(
    entries: Iterable<endpoints.RosterEntry>,
    service: (name: string) => configurations.Service | undefined,
  ): EndedEndpoint[] {
    const seen = new Set<string>();
    const names = new Set<string>();
    const newest = newestByAddress(entries);
    for (const entry of newest.values()) {
      const id = incarnations.keyOf(entry);
      seen.add(id);
      names.add(entry.id);
      const known = this.#byId.get(id) ?? this.#add(entry);
      this.#followService(known, service(entry.service));
      known.isReady = entry.state === "ready";
      known.isSilent = entry.isSilent;
      known.coldUntil = entry.coldUntil;
    }
    const ended = [...this.#byId].filter(([id]) => !seen.has(id));
    return ended.map(([id, known]) => {
      known.isReady = false;
      this.#remove(id, known);
      const { identity } = known;
      return { identity, isRestarted: names.has(identity.name) };
    });
  }

  /** Follows which data centres are evacuated, and which were taken back just
   * now: their endpoints may have become cold since they were heard. */
  setEvacuated(
    dataCentres: Iterable<string>,
    { returned, now }: { returned: readonly string[]; now: number },
  ): void {
    this.#evacuated = new Set(dataCentres);
    for (const each of this.#byId.values()) {
      this.#followEvacuation(each);
      if (returned.includes(each.identity.dataCentre)) each.assumeCold(now);
    }
  }

  /** Another number whenever an endpoint has come or ended. */
  get revision(): number {
    return this.#revision;
  }

  get(id: string): endpoint.Endpoint | undefined {
    return this.#byId.get(id);
  }

  /** Notes what another host has engines do, and what they have read for it. */
  recordRemoteLoad(
    host: string,
    uses: readonly schema.EngineUse[],
    now: number,
  ): void {
    for (const use of uses) {
      const engine = this.#byId.get(use.engine);
      engine?.remoteLoad.record(host, use, now);
      use.read.forEach((parts) => engine?.cachedPrefixes?.insert({ parts }));
      use.verdicts?.forEach((verdict) => engine?.recordHealth(verdict, now));
      use.firsts?.forEach(({ work, took }) =>
        engine?.recordFirstEvent(work, { took, now })
      );
    }
  }

  /** Data centre of the endpoint at an address. */
  dataCentreOf(address: string): string | undefined {
    return this.#byAddress.get(address);
  }

  /** All endpoints of a service that are known. */
  endpointsOf(service: string): readonly endpoint.Endpoint[] {
    return this.#byService.get(service) ?? [];
  }

  /** Endpoints that take new requests, the sound ones where there are any. */
  usable(service: string, now: number): readonly endpoint.Endpoint[] {
    return usableOf(this.endpointsOf(service), now);
  }

  /** State for people. */
  dump(now: number): unknown {
    return [...this.#byId.values()].map((each) => ({
      ...each.identity,
      ready: each.isReady,
      silent: each.isSilent,
      inFlight: each.inFlight,
      health: each.successRate,
      resting: each.isEjected(now),
      evacuated: each.isEvacuated,
      coldRate: each.coldRate(now),
      duration: each.meanDuration,
    }));
  }

  #add(entry: endpoints.RosterEntry): endpoint.Endpoint {
    const { id: name, service, address, dataCentre, slots } = entry;
    const id = incarnations.keyOf(entry);
    this.#revision++;
    this.#byAddress.set(address, dataCentre);
    const identity = { id, name, service, address, dataCentre, slots };
    const added = endpoint.Endpoint.create(identity);
    this.#followEvacuation(added);
    this.#byId.set(id, added);
    this.#byService.set(service, [...this.endpointsOf(service), added]);
    return added;
  }

  /** An endpoint and its service become known in any order, and a service's
   * figures change; what an engine has read is kept through it. One whose
   * service is not known is what it was. */
  #followService(
    known: endpoint.Endpoint,
    service: configurations.Service | undefined,
  ): void {
    if (service === undefined) return;
    known.cold = service.cold;
    const { engine } = service;
    if (engine === undefined) {
      known.engine = undefined;
      return;
    }
    const { tokens, fetchRate } = engine;
    const memory = known.cachedPrefixes ??
      promptMemory.CachedPrefixes.create(tokens);
    memory.resize(tokens);
    const firstEvent = this.#firstEvent(service.name);
    known.engine = {
      fetchRate,
      cachedPrefixes: memory,
      firstEventLatency: firstEvent,
    };
  }

  #followEvacuation(known: endpoint.Endpoint): void {
    known.isEvacuated = this.#evacuated.has(known.identity.dataCentre);
  }

  #firstEvent(service: string): firstEvents.FirstEventLatency {
    const known = this.#firstEvents.get(service);
    if (known !== undefined) return known;
    const made = firstEvents.FirstEventLatency.create();
    this.#firstEvents.set(service, made);
    return made;
  }

  #remove(id: string, { identity }: endpoint.Endpoint): void {
    this.#revision++;
    this.#byId.delete(id);
    const rest = this.endpointsOf(identity.service).filter((each) =>
      each.identity.id !== id
    );
    this.#byService.set(identity.service, rest);
  }
}

/** Those of some endpoints that take new requests, the sound ones where there
 * are any. */
export function usableOf(
  endpoints: readonly endpoint.Endpoint[],
  now: number,
): readonly endpoint.Endpoint[] {
  const ready = endpoints.filter((each) => each.isAccepting);
  const heard = ready.filter((each) => each.isAlive(now));
  const there = heard.length > 0 ? heard : ready;
  const sound = there.filter((each) => !each.isEjected(now));
  return sound.length > 0 ? sound : there;
}

/** Of the endpoints that were heard at one address, the one heard last: the
 * others have ended, whether they have said so or not. */
function newestByAddress(
  entries: Iterable<endpoints.RosterEntry>,
): Map<string, endpoints.RosterEntry> {
  const newest = new Map<string, endpoints.RosterEntry>();
  for (const entry of entries) {
    if (entry.state === "gone") continue;
    const other = newest.get(entry.address);
    if (other === undefined || other.heardAt < entry.heardAt) {
      newest.set(entry.address, entry);
    }
  }
  return newest;
}
