/** Online linear fit `y = a + b x1 + c x2` that stragglers hardly move.
 *
 * Weighted least squares with exponential forgetting, on relative errors, and
 * a pull towards a prior. A sample far off the fit is clipped to a multiple of
 * the learnt median error. A lasting change widens that median and so gets
 * through; while nearly all samples lie on one side, the past is forgotten
 * faster. Errors are taken relative to the prior, not to the fit: weights by
 * the fit would keep a fit that had once been low from rising. The prior gives
 * the shape only; its level is learnt. Constant memory: 16 numbers.
 * @module */

/** Coefficients of a fit. */
export interface Coefficients {
  constant: number;
  first: number;
  second: number;
}

/** Share of the past that one sample keeps. */
const MEMORY = 0.99;

/** The same while nearly all samples lie on one side of the fit. */
const SHORT_MEMORY = 0.85;

/** Mean side, of -1 to 1, past which the fit counts as outdated. */
const OUTDATED = 0.8;

/** Step of the mean side. */
const SIDE_STEP = 0.1;

/** Samples are clipped at this many median errors. */
const CLIP = 3;

/** Median relative error assumed before any sample. */
const FIRST_ERROR = 8;

/** Least median relative error, so that an exact fit still follows a change. */
const LEAST_ERROR = 0.1;

/** Least relative step of the median error. */
const ERROR_STEP = 0.1;

/** Least prediction as a share of the prior at its learnt level, for sizes far
 * from those seen. */
const LEAST_SHARE = 0.05;

/** Weight of the prior against that of one sample. */
const PRIOR_WEIGHT = 0.01;

/** Least prediction; keeps relative errors finite. */
const LEAST = 1e-3;

/** An online fit; `observe` changes it in place. */
export class Regression {
  readonly #prior: Coefficients;
  /** Sums of weighted products: 11, 12, 13, 22, 23, 33. */
  readonly #products = new Float64Array(6);
  readonly #targets = new Float64Array(3);
  #line: Coefficients;
  #stale = false;
  /** Mean of the samples against the prior. */
  #level = 1;
  #error = FIRST_ERROR;
  /** Mean of 1 for samples above the fit, -1 for those below. */
  #side = 0;
  #samples = 0;

  private constructor(prior: Coefficients) {
    this.#prior = prior;
    this.#line = prior;
  }

  static create(prior: Coefficients): Regression {
    return new Regression(prior);
  }

  get samples(): number {
    return this.#samples;
  }

  /** Median relative error of late. */
  get error(): number {
    return this.#error;
  }

  predict(x1: number, x2: number): number {
    if (this.#stale) this.#solve();
    const { constant, first, second } = this.#line;
    const least = LEAST_SHARE * this.#level * shapeOf(this.#prior, [x1, x2]);
    return Math.max(LEAST, least, constant + first * x1 + second * x2);
  }

  observe(x: readonly [number, number], y: number): void {
    const guess = this.predict(x[0], x[1]);
    const bound = CLIP * this.#error;
    const most = guess * (1 + bound);
    const least = guess * Math.max(0, 1 - bound);
    const clipped = Math.min(most, Math.max(least, y));
    this.#learnError(Math.abs(y - guess) / guess);
    this.#side += SIDE_STEP * (Math.sign(y - guess) - this.#side);
    this.#add(x, clipped);
    this.#samples++;
  }

  toJSON() {
    if (this.#stale) this.#solve();
    return { ...this.#line, error: this.#error, samples: this.#samples };
  }

  #learnError(error: number): void {
    const step = Math.max(ERROR_STEP, 1 / (1 + this.#samples / 4));
    const direction = error > this.#error ? 0.5 : -0.5;
    const next = this.#error * Math.exp(step * direction);
    this.#error = Math.max(LEAST_ERROR, next);
  }

  #add([x1, x2]: readonly [number, number], y: number): void {
    const scale = shapeOf(this.#prior, [x1, x2]);
    const weight = 1 / (scale * scale);
    const outdated = Math.abs(this.#side) > OUTDATED;
    const memory = outdated ? SHORT_MEMORY : MEMORY;
    const step = Math.max(1 - memory, 1 / (1 + this.#samples));
    this.#level += step * (y / scale - this.#level);
    const terms = [1, x1, x2, x1 * x1, x1 * x2, x2 * x2];
    for (let i = 0; i < 6; i++) {
      this.#products[i] = memory * this.#products[i] + weight * terms[i];
    }
    for (let i = 0; i < 3; i++) {
      this.#targets[i] = memory * this.#targets[i] + weight * terms[i] * y;
    }
    this.#stale = true;
  }

  #solve(): void {
    const [p1, p2, p3, p4, p5, p6] = this.#products;
    const { constant, first, second } = this.#prior;
    const [pull1, pull2, pull3] = [constant, first, second].map(pullOf);
    const [goal1, goal2, goal3] = [constant, first, second].map((prior) => {
      return pullOf(prior) * prior * this.#level;
    });
    const [t1, t2, t3] = this.#targets;
    const rows = [
      [p1 + pull1, p2, p3, t1 + goal1],
      [p2, p4 + pull2, p5, t2 + goal2],
      [p3, p5, p6 + pull3, t3 + goal3],
    ];
    const [a, b, c] = eliminate(rows);
    this.#line = { constant: a, first: b, second: c };
    this.#stale = false;
  }
}

function shapeOf(
  line: Coefficients,
  [x1, x2]: readonly [number, number],
): number {
  return Math.max(LEAST, line.constant + line.first * x1 + line.second * x2);
}

function pullOf(prior: number): number {
  const scale = Math.max(LEAST, Math.abs(prior));
  return PRIOR_WEIGHT / (scale * scale);
}

/** Solves three equations; they are positive definite, so no pivoting. */
function eliminate(rows: number[][]): number[] {
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
