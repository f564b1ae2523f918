/** Weights of accounts and kinds, from the rows of the table, and what work
 * counts for under them.
 *
 * Accounts share slots in proportion to their weights. Inside an account, a
 * kind's weight is what one of its requests is worth: kinds share the
 * account's slots the more, the less work a request is, so that under overload
 * more requests are answered.
 * @module */

import type * as request from "../request/mod.ts";

/** Weight of a row that says nothing. */
export const DEFAULT_WEIGHT = 1;

/** Least weight, so that a weight of 0 still drains when nothing else waits. */
export const MIN_WEIGHT = 0.001;

/** Requests of one client account and one request kind. */
export interface Flow {
  account: string;
  kind: string;
}

/** Name of a flow, for maps and dumps. */
export function nameOf(flow: Flow): string {
  return `${flow.account} ${flow.kind}`;
}

/** Weight of an account among accounts. */
export function ofAccount(policies: request.Policies, name: string): number {
  return orLeast(policies.get(`account/${name}`)?.weight);
}

/** Weight of a kind among the kinds of one account. */
export function ofKind(policies: request.Policies, name: string): number {
  return orLeast(policies.get(`kind/${name}`)?.weight);
}

/** Weight of a flow among all, by which overload sheds. */
export function ofFlow(policies: request.Policies, flow: Flow): number {
  const { account, kind } = flow;
  return ofAccount(policies, account) * ofKind(policies, kind);
}

/** 1 would share slots alike between kinds of one weight; 2 in inverse
 * proportion to work, 3 to its square. Measured: docs/design/admission.md. */
const CHARGE_POWER = 3;

/** What work counts for among the kinds of one account. */
export function chargeOf(work: number): number {
  return work ** CHARGE_POWER;
}

function orLeast(weight = DEFAULT_WEIGHT): number {
  return Math.max(MIN_WEIGHT, weight);
}
