/** Types generated from schema/orders.yaml.
 * @module */

/**
 * This interface was referenced by `Report`'s JSON-Schema
 * via the `definition` "Order".
 */
export type Order = ModelOrder | RoleOrder;

/**
 * What an engine has loaded; answer to GET /v1/orders.
 */
export interface Report {
  /**
   * @maxItems 1000
   */
  models: LoadedModel[];
  role?: string;
  /**
   * Highest fencing token seen, where the engine keeps one.
   */
  token?: number | null;
  /**
   * Whether a load is under way.
   */
  loading: boolean;
}
/**
 * This interface was referenced by `Report`'s JSON-Schema
 * via the `definition` "LoadedModel".
 */
export interface LoadedModel {
  model: string;
  adapter?: string | null;
  version?: string | null;
}
/**
 * This interface was referenced by `Report`'s JSON-Schema
 * via the `definition` "ModelOrder".
 */
export interface ModelOrder {
  type: "load" | "unload";
  model: string;
  adapter?: string;
  version?: string;
}
/**
 * This interface was referenced by `Report`'s JSON-Schema
 * via the `definition` "RoleOrder".
 */
export interface RoleOrder {
  type: "role";
  role: string;
}
