/** Types generated from schema/registry.yaml.
 * @module */

/**
 * What hosts tell each other of endpoints.
 */
export type RegistryMessage = Renew | Want | RegistryRoot | RegistryNews | RegistryCompare | RegistryEntries;
export type Id = string;
/**
 * An endpoint goes through these in order within a generation.
 */
export type Phase = "ready" | "draining" | "left";
/**
 * @maxItems 512
 */
export type RegistryList = RegistryEntry[];

/**
 * Renewals that the sender heard, for the holder of the leases.
 */
export interface Renew {
  type: "renew";
  renewals: Renewal[];
  /**
   * Set by a host that took the sender's mistake on itself.
   */
  forwarded?: boolean;
}
export interface Renewal {
  id: Id;
  generation: number;
}
/**
 * Asks for entries that the sender does not know.
 */
export interface Want {
  type: "want";
  ids: Id[];
}
/**
 * Hash of the sender's copy.
 */
export interface RegistryRoot {
  type: "root";
  root: string;
}
/**
 * Changes on their way to all hosts.
 */
export interface RegistryNews {
  type: "news";
  news: RegistryList;
  /**
   * Id, hash of the version and host that let the lease run out, of endpoints that the receiver should know.
   *
   * @maxItems 512
   */
  expired?: string[];
}
/**
 * What is known of one endpoint.
 */
export interface RegistryEntry {
  id: Id;
  /**
   * Grows with each run of the endpoint.
   */
  generation: number;
  phase: Phase;
  /**
   * Grows with each change in one phase of one generation.
   */
  sequence: number;
  /**
   * Host that let the lease run out; absent while it runs.
   */
  expired?: string;
  /**
   * Incarnation that the endpoint itself stated.
   */
  declared?: number;
  endpoint?: Endpoint;
  /**
   * Milliseconds since the endpoint left.
   */
  age?: number;
}
/**
 * Announcement of the endpoint, less its state.
 */
export interface Endpoint {
  service: string;
  kind: "engine" | "encoder" | "retriever" | "reranker" | "plain";
  url: string;
  dataCentre: string;
  slots?: number;
  fencing?: "checks" | "ignores" | "unknown";
  role?: "both" | "prefill" | "decode";
  models?: string[];
}
/**
 * Hashes of all groups, or of the buckets of one group.
 */
export interface RegistryCompare {
  type: "compare";
  group?: number;
  /**
   * @maxItems 32
   */
  hashes: string[];
}
/**
 * All that the sender knows in some buckets.
 */
export interface RegistryEntries {
  type: "entries";
  /**
   * @maxItems 256
   */
  buckets: number[];
  news: RegistryList;
  /**
   * Whether the sender wants back what is newer.
   */
  reply: boolean;
}
