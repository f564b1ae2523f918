/** Types generated from schema/shares.yaml.
 * @module */

/**
 * What hosts and the allocator tell each other of shares of limits.
 */
export type SharesMessage = Report | Grant | Lead;
/**
 * Column of the table that holds the limit.
 */
export type LimitColumn = "rate" | "concurrency";

/**
 * What a host needs; sent to the allocator about once a second.
 */
export interface Report {
  type: "report";
  /**
   * Grows with each report of one run of the host.
   */
  number: number;
  /**
   * Term of the allocator that the host reports to.
   */
  term: number;
  /**
   * Number of the last grant in force at the host.
   */
  applied: number;
  /**
   * Number of an answered report whose rows it changes; absent when it has all rows.
   */
  like?: number;
  /**
   * A demand of 0 without requests in flight ends a claim.
   *
   * @maxItems 10000
   */
  rows: Claim[];
}
export interface Claim {
  row: string;
  column: LimitColumn;
  /**
   * Requests a second, or requests in flight and waiting.
   */
  demand: number;
  /**
   * Leased to the host now, over its base.
   */
  held: number;
  /**
   * Requests in flight over its base, which may outlast a lease.
   */
  used?: number;
}
/**
 * Shares over the base, for the length of a lease that begins when the report was sent.
 */
export interface Grant {
  type: "grant";
  /**
   * Grows with each grant of one term.
   */
  number: number;
  term: number;
  /**
   * Number of the report that it answers.
   */
  report: number;
  /**
   * Milliseconds.
   */
  lease: number;
  /**
   * Number of the grant in force whose shares it changes or repeats.
   */
  like?: number;
  /**
   * Absent when it repeats a grant. An extra of 0 ends a share.
   *
   * @maxItems 10000
   */
  rows?: Share[];
}
export interface Share {
  row: string;
  column: LimitColumn;
  extra: number;
}
/**
 * Answer of the allocator to a report that names another term.
 */
export interface Lead {
  type: "lead";
  term: number;
}
