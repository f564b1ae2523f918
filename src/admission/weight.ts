/** Weights of accounts and request kinds, from the policy table, and the charge
 * for work under them.
 *
 * Accounts share slots in proportion to their weights. Within an account, a
 * kind's weight is the value of one of its requests: the less work a request
 * takes, the larger its kind's share of the account's slots, so that more
 * requests are answered under overload.
 * @module */

import type * as request from "../request/mod.ts";

/** Weight of a row that sets none. */
export const DEFAULT_WEIGHT = 1;

/** Minimum weight; a flow of weight 0 is still served when no other flow has
 * work. */
export const MIN_WEIGHT = 0.001;

/** Requests of one kind from one client account. */
export interface Flow {
  account: string;
  kind: string;
}

/** Name of a flow, as a map key and for dumps. */
export function nameOf(flow: Flow): string {
  return `${flow.account} ${flow.kind}`;
}

/** Weight of an account among all accounts. */
export function ofAccount(policies: request.Policies, name: string): number {
  return atLeastMin(policies.get(`account/${name}`)?.weight);
}

/** Weight of a kind among the kinds of one account. */
export function ofKind(policies: request.Policies, name: string): number {
  return atLeastMin(policies.get(`kind/${name}`)?.weight);
}

/** Weight of a flow among all flows, which determines what is shed under
 * overload. */
export function ofFlow(policies: request.Policies, flow: Flow): number {
  const { account, kind } = flow;
  return ofAccount(policies, account) * ofKind(policies, kind);
}

/** Exponent of the charge. 1 shares slots equally between kinds of the same
 * weight, 2 in inverse proportion to the work of a request, and 3 in inverse
 * proportion to its square. See docs/design/admission.md. */
const CHARGE_EXPONENT = 3;

/** Charge for work among the kinds of one account. */
export function chargeOf(work: number): number {
  return work ** CHARGE_EXPONENT;
}

function atLeastMin(weight = DEFAULT_WEIGHT): number {
  return Math.max(MIN_WEIGHT, weight);
}
