/** What operators order as a whole, version by version: routes, services,
 * client accounts and limits. Times are in milliseconds, sizes in bytes.
 * @module */

/** What may be repeated: `safe` work always, `unsafe` work never, a stream
 * only where its route lets it be resumed. */
export type RouteKind = "safe" | "unsafe" | "streaming";

/** Work on pieces that must be done before a request of a route can run. */
export interface Stage {
  readonly service: string;
  /** Numbers of the stages whose results it needs. */
  readonly after: readonly number[];
  /** About how large one result is. */
  readonly bytes: number;
}

/** A service that a route leads to, and its part of the requests. */
export interface Target {
  readonly service: string;
  readonly weight: number;
}

/** Where requests of one host name and path prefix go. */
export interface Route {
  readonly name: string;
  readonly hostname: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly Target[];
  /** Longest time that a client is kept waiting. */
  readonly timeout: number;
  /** Time within which an answer earns its full credit. */
  readonly objective: number;
  /** Among the requests of one account priority; 0 is the highest. */
  readonly priority: number;
  /** Most endpoints that one attempt of a client may be sent to. */
  readonly attempts: number;
  readonly stages: readonly Stage[];
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether requests name the shared parts of their prompts. */
  readonly affinity: boolean;
  /** Whether a stream may go on at another endpoint. */
  readonly resumable: boolean;
  /** Longest pause between events that is still on time. */
  readonly gap?: number;
}

/** Figures of one engine of a service that runs models. */
export interface EngineTraits {
  readonly slots: number;
  /** Tokens of running requests and cached parts that its memory holds. */
  readonly tokens: number;
  /** Prompt tokens that an engine fetches in a millisecond from another one's
   * memory in its data centre; absent where it can't. */
  readonly fetchRate?: number;
}

/** Figures of one endpoint of a service that makes pieces. */
export interface BatchTraits {
  /** Calls in progress at once. */
  readonly slots: number;
  /** Calls that may wait. */
  readonly queue: number;
  /** Most pieces in a call. */
  readonly batch: number;
  readonly callTime: number;
  readonly itemTime: number;
  /** Bytes of results that it can hold. */
  readonly room: number;
  /** How long a result is kept after its call. */
  readonly keepTime: number;
}

/** How endpoints of a service are when they have just started. */
export interface ColdTraits {
  /** How long they are cold. */
  readonly time: number;
  /** Requests a second, from all hosts together, that one bears meanwhile. */
  readonly rate: number;
}

/** A kind of endpoint. */
export interface Service {
  readonly name: string;
  /** Connections that one endpoint takes from all hosts together. */
  readonly connections: number;
  readonly engine?: EngineTraits;
  readonly batching?: BatchTraits;
  /** Absent where they are never cold. */
  readonly cold?: ColdTraits;
}

/** A client account and the keys that show it. */
export interface Account {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the priorities of routes; 0 is the highest. Requests without
   * one go after those with one. */
  readonly priority?: number;
}

/** Bounds on what a client may send. */
export interface Limits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: number;
  readonly idleTimeout: number;
}

/** One whole version. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly accounts: readonly Account[];
  readonly limits: Limits;
}

/** Whether the work of a route may run more than once. */
export function isIdempotent({ kind, resumable }: Route): boolean {
  return kind === "safe" || (kind === "streaming" && resumable);
}

/** Whether what a client has left behind is stopped at its endpoint: work that
 * may be repeated, and streams, which nobody reads to their end any more. */
export function isCancellable({ kind }: Route): boolean {
  return kind !== "unsafe";
}
