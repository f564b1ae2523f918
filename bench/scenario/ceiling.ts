/** The most requests that any dispatcher could answer in time, even one that
 * knows all arrivals and times before.
 *
 * Only the busiest pool is looked at, as one server as fast as all its slots,
 * whose calls can be interrupted at will; all else takes no time. Within these
 * limits the requests with the least work go first, each in part as far as it
 * fits, which answers the most: what fits is a polymatroid, on which the
 * greedy choice is optimal. So the share is an upper bound, not a schedule.
 * @module */

import * as chance from "./chance.ts";
import * as deployment from "./deployment.ts";
import * as fakeEndpoint from "./fake_endpoint.ts";
import type * as world from "./world.ts";

/** Upper bounds of attainment. */
export interface Ceiling {
  /** Of all requests alike. */
  attainment: number;
  /** While the account with the highest weight is served before the others. */
  weighted: number;
}

/** Milliseconds of a bin of time; arrivals are rounded down to it, deadlines
 * up, so that the bound stays one. */
const BIN = 500;

interface Job {
  account: string;
  /** Milliseconds of a slot at the busiest pool. */
  work: number;
  /** Bins between which it can run. */
  first: number;
  end: number;
}

/** Bounds for the requests of a history. */
export function of(
  { traces }: world.History,
  users: deployment.Deployment,
  seed: number,
): Ceiling {
  const pool = deployment.busiestOf(users);
  const jobs = traces.map((trace) => jobOf(trace, pool, seed));
  const [highest] = users.accounts.toSorted((a, b) => b.weight - a.weight);
  const byWork = jobs.toSorted((a, b) => a.work - b.work);
  const isHighest = (job: Job) => Number(job.account === highest.name);
  const byWeight = byWork.toSorted((a, b) => isHighest(b) - isHighest(a));
  const slots = pool.endpoints * pool.slots;
  const total = Math.max(1, jobs.length);
  return {
    attainment: fill(byWork, slots) / total,
    weighted: fill(byWeight, slots) / total,
  };
}

/** Number of jobs that fit, parts included, when taken in this order. */
function fill(jobs: readonly Job[], slots: number): number {
  const bins = jobs.reduce((most, job) => Math.max(most, job.end), 0);
  // What is free in each interval of bins, for work that must lie inside.
  const free = Array.from({ length: bins }, (_, first) => {
    return Float64Array.from({ length: bins + 1 }, (_, end) => {
      return slots * BIN * Math.max(0, end - first);
    });
  });
  let fitted = 0;
  for (const job of jobs) {
    if (job.work === 0) {
      fitted++;
      continue;
    }
    const taken = Math.min(job.work, room(free, job));
    take(free, job, taken);
    fitted += taken / job.work;
  }
  return fitted;
}

/** Work that still fits into every interval around a job. */
function room(free: readonly Float64Array[], { first, end }: Job): number {
  let least = Infinity;
  for (let from = 0; from <= first; from++) {
    const row = free[from];
    for (let to = end; to < row.length; to++) least = Math.min(least, row[to]);
  }
  return Math.max(0, least);
}

function take(
  free: readonly Float64Array[],
  { first, end }: Job,
  work: number,
): void {
  for (let from = 0; from <= first; from++) {
    const row = free[from];
    for (let to = end; to < row.length; to++) row[to] -= work;
  }
}

/** A request at the busiest pool, as long as its first call would take. */
function jobOf(
  { request, kind, output }: world.Trace,
  pool: deployment.Pool,
  seed: number,
): Job {
  let work = 0;
  kind.stages.forEach((stage, i) => {
    if (stage.service !== pool.service) return;
    const number = Number(request.id.slice(1));
    const random = chance.chanceOf(seed, number, i, 1);
    const tokens = Math.round(output * stage.maxTokens);
    const size = stage.sizeOf(request.size);
    work += fakeEndpoint.noiseOf(random) *
      deployment.workOf(pool, size, tokens);
  });
  return {
    account: request.account,
    work,
    first: Math.floor(request.arrived / BIN),
    end: Math.ceil(request.deadline / BIN),
  };
}
