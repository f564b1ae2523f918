/** Stage times by input size and output tokens, learnt online.
 *
 * One record per service and stage: a fit of time, a fit of output tokens, a
 * fit of the stage's input size against the request's size, and the high
 * quantile of actual against predicted time. About 1 KB a record.
 * @module */

import * as quantile from "./quantile_estimator.ts";
import * as regression from "./regression.ts";

/** One stage's work, as far as known before it runs. */
export interface StageInput {
  service: string;
  stage: string;
  /** Input tokens. */
  size: number;
  /** Most output tokens; 0 where it generates none. */
  maxTokens: number;
}

/** What a finished call took. */
export interface Sample {
  /** Milliseconds from the call to the whole answer. */
  time: number;
  outputTokens: number;
}

/** One predicted stage. */
export interface Prediction {
  /** Milliseconds expected. */
  mean: number;
  /** Milliseconds that 95 of 100 calls stay below. */
  high: number;
  /** Milliseconds that 90 of 100 calls take at least. */
  low: number;
}

/** Most records; later stages share one record for all. */
const MOST_RECORDS = 1024;

/** Tokens in one unit of size, so that coefficients are of like magnitude. */
const UNIT = 1000;

/** Before any sample: 20 ms a call, 100 ms per 1,000 tokens in, 10 ms a token
 * out. */
const TIME_PRIOR: regression.Coefficients = {
  constant: 20,
  first: 100,
  second: 10_000,
};

/** Before any sample: about a quarter of the most tokens is generated. */
const OUTPUT_PRIOR: regression.Coefficients = {
  constant: 0.01,
  first: 0.001,
  second: 0.25,
};

/** Before any sample: a stage's input is about as large as the request. */
const SIZE_PRIOR: regression.Coefficients = {
  constant: 0.05,
  first: 1,
  second: 0.01,
};

const HIGH: quantile.Options = {
  quantile: 0.95,
  initial: 2,
  step: 0.1,
  min: 1,
  max: 20,
};

const LOW: quantile.Options = {
  quantile: 0.1,
  initial: 0.5,
  step: 0.1,
  min: 0.05,
  max: 1,
};

interface Record {
  time: regression.Regression;
  output: regression.Regression;
  size: regression.Regression;
  high: quantile.QuantileEstimator;
  low: quantile.QuantileEstimator;
}

/** Learnt stage times of all services; `observe` changes it in place. */
export class StageTimeEstimator {
  readonly #records = new Map<string, Record>();

  private constructor() {}

  static create(): StageTimeEstimator {
    return new StageTimeEstimator();
  }

  /** Time that a stage is expected to take in a slot. */
  predict(work: StageInput): Prediction {
    const record = this.#recordOf(work);
    const output = outputOf(record, work);
    const mean = record.time.predict(work.size / UNIT, output / UNIT);
    const { high, low } = record;
    return { mean, high: mean * high.value, low: mean * low.value };
  }

  /** Input size of a stage of a request that came in with `size` tokens. */
  sizeOf(stage: { service: string; stage: string }, size: number): number {
    const record = this.#recordOf(stage);
    return UNIT * record.size.predict(size / UNIT, 0);
  }

  /** Learns from a call that was answered whole. */
  observe(work: StageInput, sample: Sample): void {
    const record = this.#recordOf(work);
    const size = work.size / UNIT;
    const output = sample.outputTokens / UNIT;
    const guess = record.time.predict(size, output);
    record.high.observe(sample.time / guess);
    record.low.observe(sample.time / guess);
    record.time.observe([size, output], sample.time);
    if (work.maxTokens > 0) {
      record.output.observe([size, work.maxTokens / UNIT], output);
    }
  }

  /** Learns the input size that a stage got for a request of `size` tokens. */
  observeSize(work: StageInput, size: number): void {
    this.#recordOf(work).size.observe([size / UNIT, 0], work.size / UNIT);
  }

  toJSON() {
    const entries = [...this.#records].map(([name, record]) => [name, {
      time: record.time.toJSON(),
      high: record.high.value,
      low: record.low.value,
    }]);
    return Object.fromEntries(entries);
  }

  #recordOf(work: { service: string; stage: string }): Record {
    const name = `${work.service} ${work.stage}`;
    const found = this.#records.get(name);
    if (found !== undefined) return found;
    if (this.#records.size >= MOST_RECORDS) return this.#shared();
    const record = createRecord();
    this.#records.set(name, record);
    return record;
  }

  #shared(): Record {
    let record = this.#records.get("");
    if (record === undefined) {
      record = createRecord();
      this.#records.set("", record);
    }
    return record;
  }
}

function createRecord(): Record {
  return {
    time: regression.Regression.create(TIME_PRIOR),
    output: regression.Regression.create(OUTPUT_PRIOR),
    size: regression.Regression.create(SIZE_PRIOR),
    high: quantile.QuantileEstimator.create(HIGH),
    low: quantile.QuantileEstimator.create(LOW),
  };
}

function outputOf(record: Record, work: StageInput): number {
  if (work.maxTokens === 0) return 0;
  const output = record.output.predict(
    work.size / UNIT,
    work.maxTokens / UNIT,
  );
  return Math.min(work.maxTokens, UNIT * output);
}
