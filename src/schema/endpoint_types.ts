/** Types generated from schema/endpoint.yaml.
 * @module */

/**
 * Chooses the handler that talks to the endpoint.
 *
 * This interface was referenced by `Announcement`'s JSON-Schema
 * via the `definition` "EndpointKind".
 */
export type EndpointKind = "engine" | "encoder" | "retriever" | "reranker" | "plain";
/**
 * Part of generation that an engine takes.
 *
 * This interface was referenced by `Announcement`'s JSON-Schema
 * via the `definition` "EngineRole".
 */
export type EngineRole = "both" | "prefill" | "decode";

/**
 * What an endpoint says of itself when it announces or renews.
 */
export interface Announcement {
  /**
   * Name of the service that the endpoint serves.
   */
  service: string;
  kind: EndpointKind;
  /**
   * Base URL, without a final slash.
   */
  url: string;
  dataCentre: string;
  /**
   * Calls it runs side by side.
   */
  slots?: number;
  /**
   * Whether it refuses an order with an old fencing token.
   */
  fencing?: "checks" | "ignores" | "unknown";
  role?: EngineRole;
  models?: string[];
  /**
   * A draining endpoint finishes its calls and takes no new one.
   */
  state?: "ready" | "draining";
  /**
   * Grows with each start of the endpoint.
   */
  incarnation?: number;
}
