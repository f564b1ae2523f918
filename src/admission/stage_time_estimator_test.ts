import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as stageTimeEstimator from "./stage_time_estimator.ts";
import * as naiveStageTimeEstimator from "./naive_stage_time_estimator.ts";
import * as stageDeadlines from "./stage_deadlines.ts";

const SLOW = 10;

function createWork(size: number): stageTimeEstimator.StageInput {
  return { service: "lm-pool", stage: "generate", size, maxTokens: 0 };
}

/** Draws a size from 50 to 20,000 tokens, log-uniformly. */
function sizeFrom(random: runtime.Random): number {
  return Math.round(50 * Math.exp(6 * random.next()));
}

/** Time of a call: 40 ms plus 0.2 ms per token, with noise of up to 20%. */
function timeOf(size: number, random: runtime.Random): number {
  return (40 + 0.2 * size) * (0.8 + 0.4 * random.next());
}

test("learns time as a function of size from a cold start", (t) => {
  const random = runtime.createRandom(1);
  const estimator = stageTimeEstimator.StageTimeEstimator.create();
  for (let i = 0; i < 100; i++) {
    const size = sizeFrom(random);
    const time = timeOf(size, random);
    estimator.observe(createWork(size), { time, outputTokens: 0 });
  }
  for (const size of [100, 1000, 10_000]) {
    const ratio = estimator.predict(createWork(size)).mean / (40 + 0.2 * size);
    t.true(ratio > 0.85 && ratio < 1.15, `${size}: ${ratio}`);
  }
});

test("stays near the reference when a tenth of calls are stragglers", (t) => {
  for (let seed = 1; seed <= 20; seed++) {
    const random = runtime.createRandom(seed);
    const estimator = stageTimeEstimator.StageTimeEstimator.create();
    const reference = new naiveStageTimeEstimator.NaiveStageTimeEstimator();
    for (let i = 0; i < 500; i++) {
      const size = sizeFrom(random);
      const slow = random.next() < 0.1 ? SLOW : 1;
      const time = slow * timeOf(size, random);
      estimator.observe(createWork(size), { time, outputTokens: 0 });
      reference.observe(size, time);
    }
    for (const size of [200, 1000, 8000]) {
      const ratio = estimator.predict(createWork(size)).mean /
        reference.predict(size);
      t.true(ratio > 0.75 && ratio < 1.3, `seed ${seed}, ${size}: ${ratio}`);
    }
  }
});

test("adapts to a lasting change of stage times", (t) => {
  const random = runtime.createRandom(2);
  const estimator = stageTimeEstimator.StageTimeEstimator.create();
  for (let i = 0; i < 500; i++) {
    const size = sizeFrom(random);
    const time = (i < 200 ? 1 : 4) * timeOf(size, random);
    estimator.observe(createWork(size), { time, outputTokens: 0 });
  }
  const ratio = estimator.predict(createWork(1000)).mean / 960;
  t.true(ratio > 0.8 && ratio < 1.2, `${ratio}`);
});

test("the high prediction covers 95 of 100 calls", (t) => {
  const random = runtime.createRandom(3);
  const estimator = stageTimeEstimator.StageTimeEstimator.create();
  let covered = 0;
  for (let i = 0; i < 3000; i++) {
    const size = sizeFrom(random);
    const time = timeOf(size, random);
    const { high } = estimator.predict(createWork(size));
    if (i >= 1000 && time <= high) covered++;
    estimator.observe(createWork(size), { time, outputTokens: 0 });
  }
  t.true(covered > 1840 && covered < 1960, `${covered} of 2000`);
});

test("learns which share of the maximum tokens is generated", (t) => {
  const random = runtime.createRandom(4);
  const estimator = stageTimeEstimator.StageTimeEstimator.create();
  for (let i = 0; i < 300; i++) {
    const maxTokens = 100 + random.below(400);
    const outputTokens = Math.round(maxTokens * (0.4 + 0.2 * random.next()));
    const work = { ...createWork(sizeFrom(random)), maxTokens };
    const time = 20 + 0.1 * work.size + 8 * outputTokens;
    estimator.observe(work, { time, outputTokens });
  }
  const work = { ...createWork(1000), maxTokens: 300 };
  const ratio = estimator.predict(work).mean / (120 + 8 * 150);
  t.true(ratio > 0.85 && ratio < 1.15, `${ratio}`);
});

test("bounds the number of records", (t) => {
  const estimator = stageTimeEstimator.StageTimeEstimator.create();
  for (let i = 0; i < 3000; i++) {
    const work = { ...createWork(100), service: `s${i}` };
    estimator.observe(work, { time: 10, outputTokens: 0 });
  }
  t.true(Object.keys(estimator.toJSON()).length <= 1025);
});

test("splits the remaining time over the remaining stages", (t) => {
  const stages = [
    { mean: 10, high: 20, low: 5 },
    { mean: 30, high: 60, low: 15 },
  ];
  t.deepEqual(stageDeadlines.splitDeadline(stages, 100, 500), [
    { latestStart: 460, finish: 200 },
    { latestStart: 470, finish: 500 },
  ]);
});
