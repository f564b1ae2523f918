/** Online estimates of stage times from input size and output tokens.
 *
 * Each service and stage has one record: regressions of the time, of the output
 * tokens, and of the stage's input size against the request's size, and a high
 * and a low quantile of the ratio of actual to predicted time. A record takes
 * about 1 KB.
 * @module */

import * as quantileEstimator from "./quantile_estimator.ts";
import * as regression from "./regression.ts";

/** Input of a stage, as far as known before it runs. */
export interface StageInput {
  service: string;
  stage: string;
  /** Input tokens. */
  size: number;
  /** Maximum output tokens; 0 for a stage that generates none. */
  maxTokens: number;
}

/** Measurement of a completed call. */
export interface Sample {
  /** Milliseconds from the start of the call to its complete answer. */
  time: number;
  outputTokens: number;
}

/** Predicted time of a stage, milliseconds. */
export interface Prediction {
  /** Expected time. */
  mean: number;
  /** Time that 95 of 100 calls do not exceed. */
  high: number;
  /** Time that 90 of 100 calls take at least. */
  low: number;
}

/** Number of stages with a record of their own; further ones share one. */
const MAX_RECORDS = 1024;

/** Tokens in one unit of size, so that the coefficients have similar
 * magnitudes. */
const UNIT_TOKENS = 1000;

/** Prior of the time: 20 ms for a call, 100 ms for 1,000 input tokens, and
 * 10 ms for an output token. */
const TIME_PRIOR: regression.Coefficients = {
  constant: 20,
  first: 100,
  second: 10_000,
};

/** Prior of the output: about a quarter of the maximum tokens. */
const OUTPUT_PRIOR: regression.Coefficients = {
  constant: 0.01,
  first: 0.001,
  second: 0.25,
};

/** Prior of a stage's input size: about the size of the request. */
const SIZE_PRIOR: regression.Coefficients = {
  constant: 0.05,
  first: 1,
  second: 0.01,
};

/** Parameters of the 95th percentile of actual over predicted time. */
const HIGH_OPTIONS: quantileEstimator.Options = {
  quantile: 0.95,
  initial: 2,
  step: 0.1,
  min: 1,
  max: 20,
};

/** Parameters of the 10th percentile of actual over predicted time. */
const LOW_OPTIONS: quantileEstimator.Options = {
  quantile: 0.1,
  initial: 0.5,
  step: 0.1,
  min: 0.05,
  max: 1,
};

/** Learned estimates of one stage. */
interface StageRecord {
  time: regression.Regression;
  output: regression.Regression;
  size: regression.Regression;
  high: quantileEstimator.QuantileEstimator;
  low: quantileEstimator.QuantileEstimator;
}

/** Stage time estimates of all services; `observe` updates them in place. */
export class StageTimeEstimator {
  readonly #records = new Map<string, StageRecord>();

  private constructor() {}

  static create(): StageTimeEstimator {
    return new StageTimeEstimator();
  }

  /** Predicts the time of a stage in a slot. */
  predict(input: StageInput): Prediction {
    const record = this.#recordOf(input);
    const output = predictOutput(record, input);
    const mean = record.time.predict(
      input.size / UNIT_TOKENS,
      output / UNIT_TOKENS,
    );
    const { high, low } = record;
    return { mean, high: mean * high.value, low: mean * low.value };
  }

  /** Predicts a stage's input size for a request of `size` tokens. */
  sizeOf(stage: { service: string; stage: string }, size: number): number {
    const record = this.#recordOf(stage);
    return UNIT_TOKENS * record.size.predict(size / UNIT_TOKENS, 0);
  }

  /** Adds a sample of a completely answered call. */
  observe(input: StageInput, sample: Sample): void {
    const record = this.#recordOf(input);
    const size = input.size / UNIT_TOKENS;
    const output = sample.outputTokens / UNIT_TOKENS;
    const predicted = record.time.predict(size, output);
    record.high.observe(sample.time / predicted);
    record.low.observe(sample.time / predicted);
    record.time.observe([size, output], sample.time);
    if (input.maxTokens > 0) {
      record.output.observe([size, input.maxTokens / UNIT_TOKENS], output);
    }
  }

  /** Adds a sample of a stage's input size for a request of `size` tokens. */
  observeSize(input: StageInput, size: number): void {
    this.#recordOf(input).size.observe(
      [size / UNIT_TOKENS, 0],
      input.size / UNIT_TOKENS,
    );
  }

  toJSON() {
    const entries = [...this.#records].map(([name, record]) => [name, {
      time: record.time.toJSON(),
      high: record.high.value,
      low: record.low.value,
    }]);
    return Object.fromEntries(entries);
  }

  #recordOf(stage: { service: string; stage: string }): StageRecord {
    const name = `${stage.service} ${stage.stage}`;
    const found = this.#records.get(name);
    if (found !== undefined) return found;
    if (this.#records.size >= MAX_RECORDS) return this.#sharedRecord();
    const record = createRecord();
    this.#records.set(name, record);
    return record;
  }

  #sharedRecord(): StageRecord {
    let record = this.#records.get("");
    if (record === undefined) {
      record = createRecord();
      this.#records.set("", record);
    }
    return record;
  }
}

function createRecord(): StageRecord {
  return {
    time: regression.Regression.create(TIME_PRIOR),
    output: regression.Regression.create(OUTPUT_PRIOR),
    size: regression.Regression.create(SIZE_PRIOR),
    high: quantileEstimator.QuantileEstimator.create(HIGH_OPTIONS),
    low: quantileEstimator.QuantileEstimator.create(LOW_OPTIONS),
  };
}

function predictOutput(record: StageRecord, input: StageInput): number {
  if (input.maxTokens === 0) return 0;
  const output = record.output.predict(
    input.size / UNIT_TOKENS,
    input.maxTokens / UNIT_TOKENS,
  );
  return Math.min(input.maxTokens, UNIT_TOKENS * output);
}
