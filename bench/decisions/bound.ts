/** What no scheduler can serve more of than, not even one that knows all
 * requests beforehand.
 *
 * Each service's endpoints, their room and the engines' reading are resources.
 * A request needs some of a resource between its arrival and its objective. In
 * any stretch of time the requests that lie in it can't be given more than the
 * stretch holds; what they lose at the least, each resource by itself and over
 * stretches that don't overlap, is lost to any scheduler. Faults are left out,
 * calls are full, and parts of requests may be served: so it is a bound, not
 * what could be reached.
 * @module */

import * as accounts from "./account.ts";
import type * as deployments from "./deployment.ts";
import type * as loads from "./load.ts";
import * as sums from "./sum.ts";

/** Milliseconds between the times at which stretches begin and end. */
const GRID = 500;

/** What a request needs of one resource. */
interface Need {
  readonly from: number;
  readonly until: number;
  readonly amount: number;
  /** What is lost where it is not in time. */
  readonly worth: number;
}

interface Resource {
  readonly name: string;
  /** What there is of it in a millisecond. */
  readonly rate: number;
  readonly needs: readonly Need[];
}

/** A bound of what is served, and what causes it. */
export interface Bound {
  /** Part of what could be earned. */
  readonly share: number;
  /** Resource that loses most. */
  readonly resource: string;
}

/** Bounds what is served of some requests. */
export function boundOf(
  deployment: deployments.Deployment,
  requests: readonly loads.Request[],
): Bound {
  const owed = sums.sum(
    requests.map((request) => accounts.worthOf({ request })),
  );
  const lost = resourcesOf(deployment, requests)
    .map((resource) => ({ name: resource.name, loss: lossOf(resource) }));
  const most = lost.reduce((one, other) => other.loss > one.loss ? other : one);
  return { share: 1 - most.loss / owed, resource: most.name };
}

function resourcesOf(
  { makers, engines }: deployments.Deployment,
  requests: readonly loads.Request[],
): Resource[] {
  const services = Object.entries(makers).flatMap(([name, maker]) => {
    const endpoints = countOf(maker.counts);
    const { slots, batch, callTime, itemTime: pieceTime, room } = maker.traits;
    const amounts = (of: (stage: deployments.StageLoad) => number) =>
      needsOf(
        requests,
        ({ kind, pieces }) =>
          sums.sum(kind.stages.map((stage, number) =>
            stage.service === name ? pieces[number] * of(stage) : 0
          )),
      );
    return [
      {
        name,
        rate: endpoints * slots,
        needs: amounts(({ effort }) => callTime / batch + pieceTime * effort),
      },
      {
        name: `room of ${name}`,
        rate: endpoints * room,
        // A result takes room for its own call at the least.
        needs: amounts(({ bytes, effort }) =>
          bytes * (callTime + pieceTime * effort)
        ),
      },
    ];
  });
  const own = ({ prompt }: loads.Request) => prompt.parts.at(-1)!.tokens;
  const reading = {
    name: "reading",
    rate: countOf(engines.counts) * engines.readRate,
    needs: needsOf(requests, own),
  };
  return [...services, reading];
}

function needsOf(
  requests: readonly loads.Request[],
  amountOf: (request: loads.Request) => number,
): Need[] {
  return requests.map((request) => {
    const { at, kind: { objective, worth, lateWorth } } = request;
    const atStake = accounts.worthOf({ request }) * (1 - lateWorth / worth);
    const amount = amountOf(request);
    return { from: at, until: at + objective, amount, worth: atStake };
  }).filter(({ amount }) => amount > 0);
}

/** The most that stretches which don't overlap lose together. */
function lossOf({ rate, needs }: Resource): number {
  const end = Math.max(0, ...needs.map(({ until }) => until));
  const steps = Math.ceil(end / GRID);
  const losses = [0];
  for (let to = 1; to <= steps; to++) {
    let most = losses[to - 1];
    for (let from = 0; from < to; from++) {
      const inside = needs.filter((need) =>
        need.from >= from * GRID && need.until <= to * GRID
      );
      const loss = lossWithin(inside, rate * (to - from) * GRID);
      most = Math.max(most, losses[from] + loss);
    }
    losses.push(most);
  }
  return losses[steps];
}

/** What is lost of some needs where there is only so much for all of them: the
 * dearest for what they take are served, the last one in part. */
function lossWithin(needs: readonly Need[], amount: number): number {
  if (sums.sum(needs.map((need) => need.amount)) <= amount) return 0;
  const dearest = [...needs].sort((one, other) =>
    other.worth / other.amount - one.worth / one.amount
  );
  let left = amount;
  return sums.sum(dearest.map((need) => {
    const served = Math.min(1, left / need.amount);
    left -= served * need.amount;
    return need.worth * (1 - served);
  }));
}

function countOf(counts: Readonly<Record<string, number>>): number {
  return sums.sum(Object.values(counts));
}
