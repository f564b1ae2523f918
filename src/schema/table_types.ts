/** Types generated from schema/table.yaml.
 * @module */

/**
 * weight: share under contention (1 when empty). rate: requests a second.
 * concurrency: requests in flight. deadline: most milliseconds.
 * priority: 0 to 9, passed on to engines. spend: share of extra cost that
 * may be spent on attainment, 0 to 1. tokenHash: SHA-256 of the account's
 * bearer token, hex. model, adapter, version, role, replicas: desired state
 * of a service's engines.
 *
 *
 * This interface was referenced by `Edit`'s JSON-Schema
 * via the `definition` "Column".
 */
export type Column =
  | "weight"
  | "rate"
  | "concurrency"
  | "deadline"
  | "priority"
  | "spend"
  | "tokenHash"
  | "model"
  | "adapter"
  | "version"
  | "role"
  | "replicas";
/**
 * This interface was referenced by `Edit`'s JSON-Schema
 * via the `definition` "CellValue".
 */
export type CellValue = number | string | boolean;

/**
 * One edit of the table; all its changes are applied, or none.
 */
export interface Edit {
  /**
   * Id that a resend repeats, so that the edit is applied once.
   */
  operation: string;
  /**
   * Name of the operator.
   */
  actor: string;
  /**
   * @minItems 1
   * @maxItems 4000
   */
  changes: [Change, ...Change[]];
}
/**
 * New value of one cell, made from one version of it.
 *
 * This interface was referenced by `Edit`'s JSON-Schema
 * via the `definition` "Change".
 */
export interface Change {
  row: string;
  column: Column;
  /**
   * Revision that last changed the cell; 0 when it is empty.
   */
  version: number;
  /**
   * Null empties the cell.
   */
  value: CellValue | null;
}
/**
 * This interface was referenced by `Edit`'s JSON-Schema
 * via the `definition` "Cell".
 */
export interface Cell {
  value: CellValue;
  version: number;
}
