/** Weights of flows, from the rows of the table.
 * @module */

import type * as request from "../request/mod.ts";

/** Weight of a row that says nothing. */
export const DEFAULT_WEIGHT = 1;

/** Least weight, so that a weight of 0 still drains when nothing else waits. */
export const LEAST_WEIGHT = 0.001;

/** Requests of one client account and one request kind. */
export interface Flow {
  account: string;
  kind: string;
}

/** Name of a flow, for maps and dumps. */
export function nameOf(flow: Flow): string {
  return `${flow.account} ${flow.kind}`;
}

/** Weight of a flow: that of its account times that of its kind. */
export function weightOf(policies: request.Policies, flow: Flow): number {
  const account = policies.get(`account/${flow.account}`)?.weight;
  const kind = policies.get(`kind/${flow.kind}`)?.weight;
  const weight = (account ?? DEFAULT_WEIGHT) * (kind ?? DEFAULT_WEIGHT);
  return Math.max(LEAST_WEIGHT, weight);
}
