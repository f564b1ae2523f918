/** Pool of the endpoints that a host knows, by service.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import * as incarnations from "../endpoints/incarnation.ts";
import type * as endpoints from "../endpoints/mod.ts";
import * as performances from "../performance/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as brittlenesses from "./brittleness.ts";
import * as announcements from "./announcements.ts";
import * as endpoint from "./endpoint.ts";
import * as firstEventLatencies from "./first_event_latency.ts";
import * as cachedPrefixes from "./cached_prefixes.ts";

/** Former endpoints whose announcements are kept, the latest: an outdated
 * roster may list them again. */
const MAX_FORMER_COUNT = 1024;

/** An endpoint incarnation that has ended. */
export interface EndedEndpoint {
  readonly identity: endpoint.Identity;
  /** Whether the endpoint has restarted under the same name, so that its calls
   * in flight are lost. */
  readonly isRestarted: boolean;
  /** When its successor, under the same name and at the same address, was first
   * heard of, by the clock of this host. */
  readonly successorSince?: number;
}

/** Parts of a pool that a host may turn off. */
export interface PoolOptions {
  /** Whether the slowness of endpoints is estimated; true by default. */
  readonly isPerformanceEnabled?: boolean;
}

/** Endpoints by service; each incarnation is a separate endpoint. Changed in
 * place. */
export class EndpointPool {
  readonly #byId = new Map<string, endpoint.Endpoint>();
  readonly #dataCentres = new Map<string, string>();
  readonly #idByAddress = new Map<string, string>();
  readonly #byService = new Map<string, endpoint.Endpoint[]>();
  readonly #latencies = new Map<
    string,
    firstEventLatencies.FirstEventLatency
  >();
  readonly #eventGaps = new Map<string, performances.MeanDuration>();
  readonly #brittleness = new Map<
    string,
    brittlenesses.ServiceBrittleness
  >();
  readonly #performances = new Map<string, performances.ServicePerformance>();
  readonly #durations = new Map<string, performances.MeanDuration>();
  readonly #isPerformanceEnabled: boolean;
  /** Announcements of former endpoints, by incarnation. */
  readonly #former = new Map<string, announcements.Announcements>();
  readonly #unreadableLoggedAt: announcements.LastLogged = new Map();
  #evacuatedDataCentres: ReadonlySet<string> = new Set();
  #revision = 0;

  private constructor(isPerformanceEnabled: boolean) {
    this.#isPerformanceEnabled = isPerformanceEnabled;
  }

  static create(
    { isPerformanceEnabled = true }: PoolOptions = {},
  ): EndpointPool {
    return new EndpointPool(isPerformanceEnabled);
  }

  /** Updates the endpoints from a roster and the configured services; returns
   * the endpoints that have ended. */
  update(
    entries: Iterable<endpoints.RosterEntry>,
    service: (name: string) => configurations.Service | undefined,
  ): EndedEndpoint[] {
    const currentIds = new Set<string>();
    const currentNames = new Set<string>();
    const isKnown = (name: string) => service(name) !== undefined;
    const ended: endpoint.Endpoint[] = [];
    const newest = newestByAddress(entries, isKnown);
    for (const entry of newest.values()) {
      const id = incarnations.keyOf(entry);
      currentIds.add(id);
      currentNames.add(entry.id);
      const known = this.#byId.get(id);
      const isReplaced = known !== undefined &&
        known.identity.service !== entry.service &&
        isKnown(entry.service) && !isKnown(known.identity.service);
      if (isReplaced) ended.push(this.#remove(id, known));
      const updated = this.#byId.get(id) ?? this.#add(entry);
      this.#applyService(updated, service(entry.service));
      updated.isReady = entry.state === "ready";
      updated.isSilent = entry.isSilent;
      updated.coldUntil = entry.coldUntil;
    }
    for (const [id, known] of [...this.#byId]) {
      if (!currentIds.has(id)) ended.push(this.#remove(id, known));
    }
    return ended.map(({ identity }) => {
      const successor = newest.get(identity.address);
      const isSame = successor?.id === identity.name;
      return {
        identity,
        isRestarted: currentNames.has(identity.name),
        ...(isSame && { successorSince: successor.firstHeardAt }),
      };
    });
  }

  /** Sets the evacuated data centres. Endpoints of those just returned to
   * service count as cold: they may have become so since their last
   * heartbeat. */
  setEvacuated(
    dataCentres: Iterable<string>,
    { returned: restored, now }: { returned: readonly string[]; now: number },
  ): void {
    this.#evacuatedDataCentres = new Set(dataCentres);
    for (const each of this.#byId.values()) {
      this.#applyEvacuation(each);
      if (restored.includes(each.identity.dataCentre)) each.assumeCold(now);
    }
  }

  /** Number that changes whenever an endpoint is added or removed. */
  get revision(): number {
    return this.#revision;
  }

  /** The endpoint of an incarnation. */
  get(id: string): endpoint.Endpoint | undefined {
    return this.#byId.get(id);
  }

  /** Records another host's load updates: its load on engines, the prompt parts
   * that they now have in cache, and the outcomes of its calls. Returns the
   * engines that these outcomes eject. */
  recordRemoteLoad(
    host: string,
    loads: readonly schema.EngineUse[],
    now: number,
  ): endpoint.Endpoint[] {
    const ejected = new Set<endpoint.Endpoint>();
    for (const load of loads) {
      const engine = this.#byId.get(load.engine);
      engine?.remoteLoad.record(host, load, now);
      load.read.forEach((parts) => engine?.cachedPrefixes?.insert({ parts }));
      load.verdicts?.forEach((signal) => {
        if (engine?.recordHealth(signal, now)) ejected.add(engine);
      });
      load.firsts?.forEach(({ work, took, fetched }) => {
        engine?.recordFirstEvent(work, { took, now, isFetched: fetched });
        engine?.rejections.recordAcceptance(now - took);
      });
      load.gaps?.forEach((ratio) => engine?.recordSlowness(ratio, now));
    }
    return [...ejected];
  }

  /** The endpoint now at an address. */
  at(address: string): endpoint.Endpoint | undefined {
    return this.#byId.get(this.#idByAddress.get(address) ?? "");
  }

  /** Data centre of the endpoint at an address. */
  dataCentreOf(address: string): string | undefined {
    return this.#dataCentres.get(address);
  }

  /** All known endpoints of a service. */
  endpointsOf(service: string): readonly endpoint.Endpoint[] {
    return this.#byService.get(service) ?? [];
  }

  /** Slowness of the endpoints, by service. */
  get performances(): ReadonlyMap<string, performances.ServicePerformance> {
    return this.#performances;
  }

  /** Endpoints of a service and version that accept calls; only the healthy
   * ones if there are any. */
  usable(
    service: string,
    now: number,
    version?: string,
  ): readonly endpoint.Endpoint[] {
    return usableOf(ofVersion(this.endpointsOf(service), version), now);
  }

  /** Ids of the endpoints of a service that accept no calls by what they have
   * announced to this host. */
  announcedClosed(service: string, now: number): string[] {
    return this.endpointsOf(service)
      .filter(({ announcements }) =>
        announcements.isLeaving(now) || announcements.backoff(now) > 0
      )
      .map(({ identity }) => identity.id);
  }

  /** State for diagnostics. */
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
      concurrencyLimit: each.concurrencyLimit(now),
      duration: each.meanDuration,
      ...each.announcements.dump(now),
      ...each.rejections.dump(now),
    }));
  }

  /** Slowness of the endpoints by service, for diagnostics. */
  dumpPerformance(now: number): unknown {
    return Object.fromEntries(
      [...this.#performances].map(([service, performance]) => [
        service,
        {
          ...performance.dump(now),
          meanDuration: this.#durations.get(service)?.value,
        },
      ]),
    );
  }

  #add(entry: endpoints.RosterEntry): endpoint.Endpoint {
    const { id: name, service, address, dataCentre, version, slots } = entry;
    const id = incarnations.keyOf(entry);
    this.#revision++;
    this.#dataCentres.set(address, dataCentre);
    this.#idByAddress.set(address, id);
    const location = { service, address, dataCentre };
    const identity = { id, name, ...location, version, slots };
    const added = endpoint.Endpoint.create(identity);
    added.announcements = this.#former.get(id) ??
      announcements.Announcements.create(this.#unreadableLoggedAt);
    this.#former.delete(id);
    added.brittleness = brittlenesses.Brittleness.create(
      this.#brittlenessOf(service),
    );
    added.performance = this.#performanceOf(service);
    added.serviceDuration = this.#durationOf(service);
    this.#applyEvacuation(added);
    this.#byId.set(id, added);
    this.#byService.set(service, [...this.endpointsOf(service), added]);
    return added;
  }

  /** Applies the configuration of its service to an endpoint. Endpoint and
   * service may become known in either order, and the service's values may
   * change; the estimate of the prefix cache is kept. An endpoint whose service
   * is unknown is left unchanged. */
  #applyService(
    updated: endpoint.Endpoint,
    service: configurations.Service | undefined,
  ): void {
    if (service === undefined) return;
    updated.cold = service.cold;
    const { engine } = service;
    if (engine === undefined) {
      updated.engine = undefined;
      return;
    }
    const { tokens, fetchRate } = engine;
    const prefixes = updated.cachedPrefixes ??
      cachedPrefixes.CachedPrefixes.create(tokens);
    prefixes.resize(tokens);
    const firstEventLatency = this.#latencyOf(service.name);
    updated.engine = {
      fetchRate,
      cachedPrefixes: prefixes,
      firstEventLatency,
      eventGap: this.#eventGapOf(service.name),
    };
  }

  #applyEvacuation(updated: endpoint.Endpoint): void {
    updated.isEvacuated = this.#evacuatedDataCentres.has(
      updated.identity.dataCentre,
    );
  }

  #latencyOf(service: string): firstEventLatencies.FirstEventLatency {
    const known = this.#latencies.get(service);
    if (known !== undefined) return known;
    const created = firstEventLatencies.FirstEventLatency.create();
    this.#latencies.set(service, created);
    return created;
  }

  #eventGapOf(service: string): performances.MeanDuration {
    const known = this.#eventGaps.get(service);
    if (known !== undefined) return known;
    const created = performances.MeanDuration.create();
    this.#eventGaps.set(service, created);
    return created;
  }

  #brittlenessOf(service: string): brittlenesses.ServiceBrittleness {
    const known = this.#brittleness.get(service);
    if (known !== undefined) return known;
    const created = { announcedAt: -Infinity };
    this.#brittleness.set(service, created);
    return created;
  }

  #performanceOf(service: string): performances.ServicePerformance {
    const known = this.#performances.get(service);
    if (known !== undefined) return known;
    const created = performances.ServicePerformance.create({
      isEnabled: this.#isPerformanceEnabled,
    });
    this.#performances.set(service, created);
    return created;
  }

  #durationOf(service: string): performances.MeanDuration {
    const known = this.#durations.get(service);
    if (known !== undefined) return known;
    const created = performances.MeanDuration.create();
    this.#durations.set(service, created);
    return created;
  }

  #remove(id: string, removed: endpoint.Endpoint): endpoint.Endpoint {
    const { identity, announcements } = removed;
    removed.isReady = false;
    this.#revision++;
    removed.detachPerformance();
    if (!announcements.isEmpty) this.#former.set(id, announcements);
    const [oldest] = this.#former.keys();
    if (this.#former.size > MAX_FORMER_COUNT) this.#former.delete(oldest);
    this.#byId.delete(id);
    if (this.#idByAddress.get(identity.address) === id) {
      this.#idByAddress.delete(identity.address);
    }
    const remaining = this.endpointsOf(identity.service).filter((each) =>
      each.identity.id !== id
    );
    this.#byService.set(identity.service, remaining);
    this.#performances.get(identity.service)?.retain(
      new Set(remaining.map((each) => each.identity.id)),
    );
    // Heartbeats may name any number of services.
    if (remaining.length === 0) {
      this.#performances.delete(identity.service);
      this.#durations.delete(identity.service);
    }
    return removed;
  }
}

/** Those of the given endpoints whose software has a version; all of them if it
 * is undefined, none if it is empty, which stands for an unknown one. */
export function ofVersion(
  endpoints: readonly endpoint.Endpoint[],
  version: string | undefined,
): readonly endpoint.Endpoint[] {
  if (version === undefined) return endpoints;
  if (version === "") return [];
  return endpoints.filter(({ identity }) => identity.version === version);
}

/** Those of the given endpoints that accept calls; only the live ones, and of
 * these only those not to be avoided, if there are any. */
export function usableOf(
  endpoints: readonly endpoint.Endpoint[],
  now: number,
): readonly endpoint.Endpoint[] {
  const accepting = endpoints.filter((each) => each.isAccepting(now));
  const alive = accepting.filter((each) => each.isAlive(now));
  const candidates = alive.length > 0 ? alive : accepting;
  const healthy = candidates.filter((each) => !each.isAvoided(now));
  return healthy.length > 0 ? healthy : candidates;
}

/** For each address, the entry of a known service that was heard from last: the
 * others at that address have ended, announced or not. An entry of an unknown
 * service may come from another writer, so it counts only where there is no
 * other. */
function newestByAddress(
  entries: Iterable<endpoints.RosterEntry>,
  isKnown: (service: string) => boolean,
): Map<string, endpoints.RosterEntry> {
  const newest = new Map<string, endpoints.RosterEntry>();
  for (const entry of entries) {
    if (entry.state === "gone") continue;
    const other = newest.get(entry.address);
    if (other === undefined || isPreferred(entry, other, { isKnown })) {
      newest.set(entry.address, entry);
    }
  }
  return newest;
}

function isPreferred(
  entry: endpoints.RosterEntry,
  other: endpoints.RosterEntry,
  { isKnown }: { isKnown(service: string): boolean },
): boolean {
  const isEntryKnown = isKnown(entry.service);
  if (isEntryKnown !== isKnown(other.service)) return isEntryKnown;
  return other.heardAt < entry.heardAt;
}
