/** Time of one admission and of one queue operation by queue size, and their
 * ratio to the naive twins.
 * @module */

import * as runtime from "../src/runtime/mod.ts";
import * as backlog from "../src/admission/backlog.ts";
import * as estimate from "../src/admission/stage_time_estimator.ts";
import * as fairQueue from "../src/admission/fair_queue.ts";
import * as gate from "../src/admission/deadline_admission.ts";
import type * as lane from "../src/admission/flow_queue.ts";
import * as naiveEstimate from "../src/admission/naive_stage_time_estimator.ts";
import * as naiveQueue from "../src/admission/naive_fair_queue.ts";
import type * as result from "./result.ts";

const SIZES = [100, 1000, 10_000];
const ACCOUNTS = 5;
const KINDS = 4;

/** Operations timed at each size. */
const OPERATIONS = 20_000;
const NAIVE_OPERATIONS = 40;

/** The measurement as `bench/main.ts` runs it. */
export const measurement: result.Measurement = {
  title: "time of an admission and of a queue operation",
  run: () => Promise.resolve(runAll()),
};

function runAll(): result.Result[] {
  const results: result.Result[] = [];
  const fast = SIZES.map((size) => timeQueue(size));
  SIZES.forEach((size, i) => {
    const naive = timeNaiveQueue(size);
    results.push(time(`queue/push and pop/${size}`, fast[i]));
    results.push(ratio(`queue/of naive/${size}`, fast[i] / naive, 0.5));
  });
  // 100 times the items: a logarithm doubles, caches take their part.
  results.push(ratio("queue/10000 of 100", fast[2] / fast[0], 8));
  results.push(...timeGate(), ...timeEstimate());
  return results;
}

function timeQueue(size: number): number {
  const queue = fairQueue.FairQueue.create();
  const random = runtime.createRandom(size);
  for (let i = 0; i < size; i++) queue.push(createItem(i, random));
  let id = size;
  return timeEach(OPERATIONS, () => {
    queue.push(createItem(id++, random));
    queue.pop();
  });
}

function timeNaiveQueue(size: number): number {
  const queue = new naiveQueue.NaiveFairQueue();
  const random = runtime.createRandom(size);
  for (let i = 0; i < size; i++) queue.push(createItem(i, random));
  let id = size;
  return timeEach(NAIVE_OPERATIONS, () => {
    queue.push(createItem(id++, random));
    queue.pop();
  });
}

function timeGate(): result.Result[] {
  const each = SIZES.map((size) => {
    const { door, ask } = fillGate(size);
    let id = size;
    return timeEach(OPERATIONS, () => {
      const asked = ask(id++);
      door.decide(asked, 0);
      door.finish(asked.id, 1000, true);
    });
  });
  const results = SIZES.map((size, i) => time(`gate/decide/${size}`, each[i]));
  return [...results, ratio("gate/10000 of 100", each[2] / each[0], 4)];
}

/** A gate that has promised `size` requests of four stages. */
function fillGate(size: number) {
  const random = runtime.createRandom(size);
  const promised = backlog.Backlog.create();
  const times = estimate.StageTimeEstimator.create();
  const services = ["encode", "retrieve", "rerank", "generate"];
  for (const service of services) promised.setSlots(service, size);
  const basis = { estimate: times, backlog: promised, random };
  const door = gate.DeadlineAdmission.create(basis);
  const ask = (i: number): gate.AdmissionRequest => ({
    id: `r${i}`,
    account: `account-${random.below(ACCOUNTS)}`,
    kind: `kind-${random.below(KINDS)}`,
    deadline: 1e9,
    stages: services.map((service) => {
      return { service, stage: service, size: 500, maxTokens: 0 };
    }),
  });
  for (let i = 0; i < size; i++) door.decide(ask(i), 0);
  return { door, ask };
}

function timeEstimate(): result.Result[] {
  const random = runtime.createRandom(1);
  const times = estimate.StageTimeEstimator.create();
  const naive = new naiveEstimate.NaiveStageTimeEstimator();
  for (let i = 0; i < 1000; i++) {
    naive.observe(random.below(5000), random.below(1000));
  }
  const fast = timeEach(OPERATIONS, () => {
    const size = random.below(5000);
    const work = { service: "s", stage: "s", size, maxTokens: 0 };
    times.observe(work, { time: 20 + size, outputTokens: 0 });
    times.predict(work);
  });
  const slow = timeEach(NAIVE_OPERATIONS, () => {
    naive.predict(random.below(5000));
  });
  return [
    time("estimate/observe and predict", fast),
    ratio("estimate/of naive with 1000 samples", fast / slow, 0.2),
  ];
}

function createItem(i: number, random: runtime.Random): lane.Item {
  const deadline = 1000 + random.below(10_000);
  return {
    id: `r${i}`,
    account: `account-${random.below(ACCOUNTS)}`,
    kind: `kind-${random.below(KINDS)}`,
    arrived: i,
    deadline,
    expires: deadline,
    work: 1 + random.below(100),
  };
}

/** Microseconds of one operation, after a tenth as many to warm up. */
function timeEach(operations: number, operate: () => void): number {
  for (let i = 0; i < operations / 10; i++) operate();
  const start = performance.now();
  for (let i = 0; i < operations; i++) operate();
  return 1000 * (performance.now() - start) / operations;
}

function time(name: string, value: number): result.Result {
  return { name, unit: "us", value, kind: "time" };
}

/** A ratio that must not pass `most`. */
function ratio(name: string, value: number, most: number): result.Result {
  return { name, unit: "ratio", value, kind: "speed", bound: { most } };
}
