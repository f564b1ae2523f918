/** Types of the configuration, which operators apply as a whole, version by
 * version: routes, services, client accounts and limits. Times are in
 * milliseconds, sizes in bytes.
 * @module */

/** Which requests may be retried: `safe` ones always, `unsafe` ones never,
 * streams only if the route is resumable. */
export type RouteKind = "safe" | "unsafe" | "streaming";

/** Computation of items that has to complete before a request of the route can
 * run. */
export interface Stage {
  readonly service: string;
  /** Indexes of the stages whose results it takes as input. */
  readonly after: readonly number[];
  /** Approximate size of one result. */
  readonly bytes: number;
}

/** A service to which a route sends requests, and its share of them. */
export interface Target {
  readonly service: string;
  readonly weight: number;
}

/** Destination of requests with one host name and path prefix. */
export interface Route {
  readonly name: string;
  readonly hostname: string;
  /** Starts and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly Target[];
  /** Maximum duration of a request. */
  readonly timeout: number;
  /** Latency objective: time within which a response has its full value. */
  readonly objective: number;
  /** Priority among requests of the same account priority; 0 is the highest. */
  readonly priority: number;
  /** Maximum number of endpoints to which one request of a client may be
   * sent. */
  readonly attempts: number;
  readonly stages: readonly Stage[];
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Whether requests declare the shared prefixes of their prompts. */
  readonly affinity: boolean;
  /** Whether a stream may be resumed at another endpoint. */
  readonly resumable: boolean;
  /** Longest gap between events that counts as on time. */
  readonly gap?: number;
}

/** Performance figures of one engine of a model service. */
export interface EngineTraits {
  readonly slots: number;
  /** Capacity of its KV cache, for running requests and cached prefixes, in
   * tokens. */
  readonly tokens: number;
  /** Prompt tokens per millisecond that an engine fetches from the KV cache of
   * another one in its data centre; absent if it can't. */
  readonly fetchRate?: number;
}

/** Performance figures of one endpoint of a service that computes items. */
export interface BatchTraits {
  /** Maximum number of concurrent calls. */
  readonly slots: number;
  /** Maximum number of queued calls. */
  readonly queue: number;
  /** Maximum number of items in a call. */
  readonly batch: number;
  readonly callTime: number;
  readonly itemTime: number;
  /** Memory for results, in bytes. */
  readonly room: number;
  /** Time for which a result is kept after its call. */
  readonly keepTime: number;
}

/** Limits of an endpoint of a service that has just started. */
export interface ColdTraits {
  /** Time for which an endpoint is cold. */
  readonly time: number;
  /** Requests per second of all hosts together that one can handle
   * meanwhile. */
  readonly rate: number;
}

/** A service: endpoints of one kind. */
export interface Service {
  readonly name: string;
  /** Maximum number of connections of all hosts together to one endpoint. */
  readonly connections: number;
  readonly engine?: EngineTraits;
  readonly batching?: BatchTraits;
  /** Absent if endpoints need no warm-up. */
  readonly cold?: ColdTraits;
}

/** A client account and its API keys. */
export interface Account {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the priority of routes; 0 is the highest. Requests
   * without an account priority come after those with one. */
  readonly priority?: number;
}

/** Limits on requests of clients. */
export interface Limits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: number;
  readonly idleTimeout: number;
}

/** One version of the configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly accounts: readonly Account[];
  readonly limits: Limits;
}

/** Whether requests of a route may run more than once. */
export function isIdempotent({ kind, resumable }: Route): boolean {
  return kind === "safe" || (kind === "streaming" && resumable);
}

/** Whether a request is cancelled at its endpoint when the client disconnects:
 * true of requests that may be retried, and of streams, which have no other
 * reader. */
export function isCancellable({ kind }: Route): boolean {
  return kind !== "unsafe";
}
