/** Sizes and workload of a deployment: pools, request kinds with their stages,
 * and client accounts.
 * @module */

import type * as request from "../../src/request/mod.ts";
import type * as endpoint from "../../src/schema/endpoint_types.ts";

/** Endpoints of one service and how long their calls take. */
export interface Pool {
  service: string;
  kind: endpoint.EndpointKind;
  endpoints: number;
  /** Calls that an endpoint runs side by side. */
  slots: number;
  /** Milliseconds a call. */
  constant: number;
  /** Milliseconds a token of input. */
  input: number;
  /** Milliseconds a token of output. */
  output: number;
}

/** One stage of a kind, with the size of its input. */
export interface Stage extends request.Stage {
  /** Tokens for a request of `size` tokens. */
  sizeOf(size: number): number;
}

/** Requests that are alike. */
export interface Kind {
  name: string;
  stages: readonly Stage[];
  /** Median tokens of input, spread by `spread` (of the logarithm). */
  size: number;
  spread: number;
  /** Milliseconds. */
  deadline: number;
  /** Share of all requests. */
  share: number;
  idempotent: boolean;
  weight: number;
}

/** One client account. */
export interface Account {
  name: string;
  weight: number;
  /** Share of all requests. */
  share: number;
  spend: number;
}

/** One user of the system. */
export interface Deployment {
  name: string;
  dataCentres: readonly string[];
  pools: readonly Pool[];
  kinds: readonly Kind[];
  accounts: readonly Account[];
}

/** Mean share of `maxTokens` that an engine generates. */
export const OUTPUT_SHARE = 0.5;

/** Expected milliseconds of a slot for a stage's call. */
export function workOf(pool: Pool, size: number, output: number): number {
  return pool.constant + pool.input * size + pool.output * output;
}

/** Requests a second at which the busiest pool is just full. */
export function capacityOf(deployment: Deployment): number {
  const needs = deployment.pools.map((pool) => {
    const work = meanWork(deployment, pool);
    return work > 0 ? 1000 * pool.endpoints * pool.slots / work : Infinity;
  });
  return Math.min(...needs);
}

/** The pool that fills up first. */
export function busiestOf(users: Deployment): Pool {
  const load = (pool: Pool) => {
    return meanWork(users, pool) / (pool.endpoints * pool.slots);
  };
  return users.pools.toSorted((a, b) => load(b) - load(a))[0];
}

/** Mean milliseconds of one pool's slots that a request takes. */
export function meanWork(deployment: Deployment, pool: Pool): number {
  let sum = 0;
  for (const kind of deployment.kinds) {
    const size = kind.size * Math.exp(kind.spread ** 2 / 2);
    for (const stage of kind.stages) {
      if (stage.service !== pool.service) continue;
      const output = OUTPUT_SHARE * stage.maxTokens;
      sum += kind.share * workOf(pool, stage.sizeOf(size), output);
    }
  }
  return sum;
}

/** Rows of the table for a deployment. */
export function policiesOf(deployment: Deployment): request.Policies {
  const policies = new Map<string, request.Policy>();
  for (const { name, weight, spend } of deployment.accounts) {
    policies.set(`account/${name}`, { weight, spend });
  }
  for (const { name, weight } of deployment.kinds) {
    policies.set(`kind/${name}`, { weight });
  }
  return policies;
}
