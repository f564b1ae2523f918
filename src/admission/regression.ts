/** Online linear regression `y = a + b x1 + c x2` that is robust to outliers.
 *
 * Weighted least squares on relative errors, with exponential forgetting and
 * regularization towards a prior. A sample far off the fit is clipped to a
 * multiple of the learned median error. A lasting change widens that median and
 * so takes effect; while nearly all samples lie on one side of the fit, old
 * samples are forgotten faster. Errors are relative to the prior, not to the
 * fit: with weights from the fit, a fit that had once been too low could not
 * rise again. The prior determines only the shape; its level is learned.
 * Constant memory: 16 numbers.
 * @module */

/** Coefficients of the constant term and of the two variables. */
export interface Coefficients {
  constant: number;
  first: number;
  second: number;
}

/** Forgetting factor: remaining weight of old samples after a new one. */
const FORGETTING_FACTOR = 0.99;

/** Forgetting factor while nearly all samples lie on one side of the fit. */
const OUTDATED_FORGETTING_FACTOR = 0.85;

/** Absolute mean sign of the residuals, on a scale from -1 to 1, above which
 * the fit counts as outdated. */
const OUTDATED_SIGN_MEAN = 0.8;

/** Weight of the newest sample in the mean sign of the residuals. */
const SIGN_MEAN_STEP = 0.1;

/** Number of median errors at which samples are clipped. */
const CLIP_ERROR_COUNT = 3;

/** Median relative error assumed before any sample. */
const INITIAL_ERROR_RATIO = 8;

/** Minimum of the median relative error, so that an exact fit can still adapt
 * to a change. */
const MIN_ERROR_RATIO = 0.1;

/** Minimum relative step of the median error. */
const MIN_ERROR_STEP = 0.1;

/** Minimum prediction as a share of the prior at its learned level, for inputs
 * far from those observed. */
const MIN_PRIOR_RATIO = 0.05;

/** Weight of the prior relative to that of one sample. */
const PRIOR_WEIGHT = 0.01;

/** Minimum prediction; keeps relative errors finite. */
const MIN_PREDICTION = 1e-3;

/** An online regression; `observe` updates it in place. */
export class Regression {
  readonly #prior: Coefficients;
  /** Weighted normal matrix, upper triangle: 11, 12, 13, 22, 23, 33. */
  readonly #products = new Float64Array(6);
  readonly #targets = new Float64Array(3);
  #fit: Coefficients;
  #stale = false;
  /** Mean ratio of the samples to the prior. */
  #level = 1;
  #error = INITIAL_ERROR_RATIO;
  /** Moving average of the residuals' signs: 1 above the fit, -1 below. */
  #signMean = 0;
  #samples = 0;

  private constructor(prior: Coefficients) {
    this.#prior = prior;
    this.#fit = prior;
  }

  static create(prior: Coefficients): Regression {
    return new Regression(prior);
  }

  get samples(): number {
    return this.#samples;
  }

  /** Median relative error of recent samples. */
  get error(): number {
    return this.#error;
  }

  predict(x1: number, x2: number): number {
    if (this.#stale) this.#solve();
    const { constant, first, second } = this.#fit;
    const min = MIN_PRIOR_RATIO * this.#level * evaluate(this.#prior, [x1, x2]);
    return Math.max(MIN_PREDICTION, min, constant + first * x1 + second * x2);
  }

  observe(x: readonly [number, number], y: number): void {
    const predicted = this.predict(x[0], x[1]);
    const bound = CLIP_ERROR_COUNT * this.#error;
    const max = predicted * (1 + bound);
    const min = predicted * Math.max(0, 1 - bound);
    const clipped = Math.min(max, Math.max(min, y));
    this.#updateError(Math.abs(y - predicted) / predicted);
    this.#signMean += SIGN_MEAN_STEP *
      (Math.sign(y - predicted) - this.#signMean);
    this.#add(x, clipped);
    this.#samples++;
  }

  toJSON() {
    if (this.#stale) this.#solve();
    return { ...this.#fit, error: this.#error, samples: this.#samples };
  }

  #updateError(error: number): void {
    const step = Math.max(MIN_ERROR_STEP, 1 / (1 + this.#samples / 4));
    const direction = error > this.#error ? 0.5 : -0.5;
    const next = this.#error * Math.exp(step * direction);
    this.#error = Math.max(MIN_ERROR_RATIO, next);
  }

  #add([x1, x2]: readonly [number, number], y: number): void {
    const scale = evaluate(this.#prior, [x1, x2]);
    const weight = 1 / (scale * scale);
    const outdated = Math.abs(this.#signMean) > OUTDATED_SIGN_MEAN;
    const forgetting = outdated
      ? OUTDATED_FORGETTING_FACTOR
      : FORGETTING_FACTOR;
    const step = Math.max(1 - forgetting, 1 / (1 + this.#samples));
    this.#level += step * (y / scale - this.#level);
    const terms = [1, x1, x2, x1 * x1, x1 * x2, x2 * x2];
    for (let i = 0; i < 6; i++) {
      this.#products[i] = forgetting * this.#products[i] + weight * terms[i];
    }
    for (let i = 0; i < 3; i++) {
      this.#targets[i] = forgetting * this.#targets[i] + weight * terms[i] * y;
    }
    this.#stale = true;
  }

  #solve(): void {
    const [p1, p2, p3, p4, p5, p6] = this.#products;
    const { constant, first, second } = this.#prior;
    const [weight1, weight2, weight3] = [constant, first, second].map(
      priorWeight,
    );
    const [prior1, prior2, prior3] = [constant, first, second].map((prior) => {
      return priorWeight(prior) * prior * this.#level;
    });
    const [t1, t2, t3] = this.#targets;
    const rows = [
      [p1 + weight1, p2, p3, t1 + prior1],
      [p2, p4 + weight2, p5, t2 + prior2],
      [p3, p5, p6 + weight3, t3 + prior3],
    ];
    const [a, b, c] = solveLinear(rows);
    this.#fit = { constant: a, first: b, second: c };
    this.#stale = false;
  }
}

function evaluate(
  prior: Coefficients,
  [x1, x2]: readonly [number, number],
): number {
  return Math.max(
    MIN_PREDICTION,
    prior.constant + prior.first * x1 + prior.second * x2,
  );
}

function priorWeight(prior: number): number {
  const scale = Math.max(MIN_PREDICTION, Math.abs(prior));
  return PRIOR_WEIGHT / (scale * scale);
}

/** Solves the system by Gaussian elimination. The matrix is positive definite,
 * so that no pivoting is needed. */
function solveLinear(rows: number[][]): number[] {
  const size = rows.length;
  for (let i = 0; i < size; i++) {
    for (let j = i + 1; j < size; j++) {
      const factor = rows[j][i] / rows[i][i];
      for (let k = i; k <= size; k++) rows[j][k] -= factor * rows[i][k];
    }
  }
  const solution = new Array<number>(size).fill(0);
  for (let i = size - 1; i >= 0; i--) {
    let sum = rows[i][size];
    for (let j = i + 1; j < size; j++) sum -= rows[i][j] * solution[j];
    solution[i] = sum / rows[i][i];
  }
  return solution;
}
