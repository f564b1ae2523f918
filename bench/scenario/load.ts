/** Arrivals of a scenario, drawn from a seed.
 * @module */

import type * as runtime from "../../src/runtime/mod.ts";
import type * as request from "../../src/request/mod.ts";
import * as chance from "./chance.ts";
import * as deployment from "./deployment.ts";
import type * as scenario from "./scenario.ts";

/** Requests of one run, in order of arrival. */
export function arrivals(
  users: deployment.Deployment,
  run: scenario.Scenario,
  seed: number,
): request.Request[] {
  const random = chance.chanceOf(seed);
  const mixed = mix(users, run);
  const capacity = deployment.capacityOf(mixed);
  const requests: request.Request[] = [];
  let now = 0;
  while (true) {
    const rate = capacity * run.loadAt(now) / 1000;
    now += -Math.log(1 - random.next()) / rate;
    if (now >= run.length) return requests;
    const kind = pick(mixed.kinds, random);
    const account = pick(mixed.accounts, random);
    const id = `r${requests.length}`;
    requests.push(createRequest({ kind, account, id, now }, random));
  }
}

/** The deployment with the scenario's shares of kinds. */
export function mix(
  users: deployment.Deployment,
  run: scenario.Scenario,
): deployment.Deployment {
  const shares = users.kinds.map((kind) => run.mix?.(kind) ?? kind.share);
  const total = shares.reduce((sum, share) => sum + share, 0);
  const kinds = users.kinds.map((kind, i) => {
    return { ...kind, share: shares[i] / total };
  });
  return { ...users, kinds };
}

function createRequest(
  from: {
    kind: deployment.Kind;
    account: deployment.Account;
    id: string;
    now: number;
  },
  random: runtime.Random,
): request.Request {
  const { kind, account, id, now } = from;
  const size = Math.round(kind.size * Math.exp(kind.spread * normal(random)));
  return {
    id,
    account: account.name,
    kind: kind.name,
    target: kind.name,
    stages: kind.stages.map(({ name, service, kind, maxTokens }) => {
      return { name, service, kind, maxTokens };
    }),
    size,
    arrived: now,
    deadline: now + kind.deadline,
    idempotent: kind.idempotent,
    streaming: false,
    prefix: [kind.name],
  };
}

function pick<T extends { share: number }>(
  values: readonly T[],
  random: runtime.Random,
): T {
  let left = random.next();
  for (const value of values) {
    left -= value.share;
    if (left < 0) return value;
  }
  return values[values.length - 1];
}

/** A draw from the standard normal distribution. */
export function normal(random: runtime.Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}
