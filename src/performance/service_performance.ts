/** Slowness of the endpoints of a service, where they differ enough to matter.
 * @module */

import * as slownesses from "./slowness.ts";

/** Factor between the slowest and the fastest endpoint from which a service is
 * uneven. Below it, the feedback by load and delay is enough. */
const UNEVEN_FACTOR = 1.5;
/** Factor below which it no longer is; lower, so that an estimate near the bound
 * doesn't switch the service back and forth. */
const EVEN_FACTOR = 1.3;
/** Observations without which an endpoint doesn't count: the mean of fewer
 * differs by chance. */
const MIN_EVIDENCE = 8;
/** Standard deviations by which the differences between all endpoints must exceed
 * those of equal endpoints: calls that vary widely make equal endpoints look
 * different for a while. */
const MIN_DEVIATIONS = 6;
/** Variance of the logarithm of ratios that is assumed before observations, and
 * its weight in observations: calls often differ by half of their mean. */
const PRIOR_VARIANCE = 0.16;
const PRIOR_WEIGHT = 8;
/** Largest weight of the observed variance, in observations. */
const MAX_WEIGHT = 256;
/** Milliseconds after which the comparison is repeated without observations,
 * since evidence decays. */
const COMPARISON_MS = 1000;

/** Endpoints that are compared for each changed estimate, so that an observation
 * costs the same in a large service. */
const ENDPOINTS_PER_CHANGE = 8;

/** An endpoint and its estimate. */
export interface EndpointSlowness {
  readonly endpoint: string;
  readonly slowness: number;
  readonly evidence: number;
}

/** Fastest and slowest endpoint of a service. */
export interface SlownessRange {
  readonly fastest: EndpointSlowness;
  readonly slowest: EndpointSlowness;
}

/** Own observations of an endpoint that no report has yet. */
interface Unreported {
  readonly logSum: number;
  readonly count: number;
}

/** Slowness of a service's endpoints; changed in place. Endpoints are named by
 * the id of one incarnation. */
export class ServicePerformance {
  readonly #isEnabled: boolean;
  readonly #estimates = new Map<string, slownesses.Slowness>();
  readonly #unreported = new Map<string, Unreported>();
  #isUneven = false;
  /** Mean square of the deviation of observations from the mean of their
   * endpoint, and its weight in observations. */
  #variance = PRIOR_VARIANCE;
  #weight = PRIOR_WEIGHT;
  #comparedAt = -Infinity;
  /** Changed estimates since the last comparison. */
  #changes = 0;

  private constructor(isEnabled: boolean) {
    this.#isEnabled = isEnabled;
  }

  static create(
    { isEnabled }: { readonly isEnabled: boolean },
  ): ServicePerformance {
    return new ServicePerformance(isEnabled);
  }

  /** Records that a call took `ratio` times the expectation. */
  observe(endpoint: string, ratio: number, now: number): void {
    if (!this.#isEnabled || !(ratio > 0)) return;
    const known = this.#estimate(endpoint);
    if (known.evidence(now) > 0) {
      this.#recordDeviation(slownesses.logOf(ratio) - known.logMean);
    }
    this.#set(endpoint, known.observe(ratio, now));
    const { logSum, count } = this.#unreported.get(endpoint) ?? NONE;
    this.#unreported.set(endpoint, {
      logSum: logSum + slownesses.logOf(ratio),
      count: count + 1,
    });
  }

  /** Records the momentary slowness that an endpoint announces. */
  announce(endpoint: string, value: number, now: number): void {
    if (!this.#isEnabled || !(value > 0)) return;
    const estimate = this.#estimate(endpoint).announce(value, now);
    this.#estimates.set(endpoint, estimate);
  }

  /** Replaces the lasting estimates of the endpoints in `reports` by those of all
   * hosts, plus own observations that no report has yet. */
  adopt(reports: readonly slownesses.SlownessReport[], now: number): void {
    if (!this.#isEnabled) return;
    for (const report of reports) {
      const { endpoint } = report;
      const known = this.#estimate(endpoint);
      // A control host that has restarted knows less than this host.
      if (2 * report.count < known.evidence(now)) continue;
      const adopted = known.replaceLasting(report, now);
      const unreported = this.#unreported.get(endpoint);
      this.#set(
        endpoint,
        unreported === undefined
          ? adopted
          : adopted.add(reportOf(endpoint, unreported), now),
      );
    }
  }

  /** Own observations since the last call. */
  takeReports(): slownesses.SlownessReport[] {
    const reports = [...this.#unreported].map(([endpoint, unreported]) =>
      reportOf(endpoint, unreported)
    );
    this.#unreported.clear();
    return reports;
  }

  /** Slowness of an endpoint at this moment; 1 while the service is even. */
  slowness(endpoint: string, now: number): number {
    if (!this.isUneven(now)) return 1;
    return this.#estimate(endpoint).value(now);
  }

  /** Its slowness without the momentary deviation. */
  lasting(endpoint: string, now: number): number {
    if (!this.isUneven(now)) return 1;
    return this.#estimate(endpoint).lasting(now);
  }

  /** Whether the endpoints differ enough for their slowness to be used. */
  isUneven(now: number): boolean {
    const isDue = this.#changes * ENDPOINTS_PER_CHANGE > this.#estimates.size ||
      now - this.#comparedAt >= COMPARISON_MS;
    if (isDue) this.#compare(now);
    return this.#isUneven;
  }

  /** Fastest and slowest endpoint among those with enough observations;
   * undefined without any. */
  range(now: number): SlownessRange | undefined {
    const known = [...this.#estimates]
      .filter(([, estimate]) => estimate.evidence(now) >= MIN_EVIDENCE)
      .map(([endpoint, estimate]) => ({
        endpoint,
        slowness: estimate.lasting(now),
        evidence: estimate.evidence(now),
      }))
      .sort((one, two) => one.slowness - two.slowness);
    const [fastest] = known;
    const slowest = known.at(-1);
    return slowest === undefined ? undefined : { fastest, slowest };
  }

  /** Endpoints with an estimate. */
  get endpoints(): string[] {
    return [...this.#estimates.keys()];
  }

  /** Drops the incarnations that aren't among `endpoints`. */
  retain(endpoints: ReadonlySet<string>): void {
    for (const endpoint of [...this.#estimates.keys()]) {
      if (endpoints.has(endpoint)) continue;
      this.#estimates.delete(endpoint);
      this.#unreported.delete(endpoint);
      this.#changes = Infinity;
    }
  }

  /** State for diagnostics. */
  dump(now: number): object {
    return {
      isUneven: this.isUneven(now),
      endpoints: [...this.#estimates].map(([endpoint, estimate]) => ({
        endpoint,
        slowness: estimate.value(now),
        lasting: estimate.lasting(now),
        evidence: estimate.evidence(now),
      })),
    };
  }

  #estimate(endpoint: string): slownesses.Slowness {
    return this.#estimates.get(endpoint) ?? slownesses.Slowness.PRIOR;
  }

  #set(endpoint: string, estimate: slownesses.Slowness): void {
    this.#estimates.set(endpoint, estimate);
    this.#changes++;
  }

  #recordDeviation(deviation: number): void {
    this.#weight = Math.min(MAX_WEIGHT, this.#weight + 1);
    this.#variance += (deviation ** 2 - this.#variance) / this.#weight;
  }

  #compare(now: number): void {
    this.#comparedAt = now;
    this.#changes = 0;
    const known = this.#known(now);
    const values = known.map(({ value }) => value);
    const difference = Math.max(...values) - Math.min(...values);
    this.#isUneven = this.#isUneven
      ? difference >= Math.log(EVEN_FACTOR)
      : difference >= Math.log(UNEVEN_FACTOR) && this.#isSignificant(known);
  }

  /** Endpoints with enough observations. */
  #known(now: number): Known[] {
    return [...this.#estimates.values()].flatMap((estimate) => {
      const evidence = estimate.evidence(now);
      if (evidence < MIN_EVIDENCE) return [];
      const { logMean: mean } = estimate;
      return [{ value: estimate.logLasting(now), mean, evidence }];
    });
  }

  /** Whether endpoints differ by more than equal ones by chance: the sum of
   * squared differences from the mean of all, in units of their variance, is
   * compared with that of equal endpoints (analysis of variance). */
  #isSignificant(known: readonly Known[]): boolean {
    const total = sumOf(known, ({ evidence }) => evidence);
    const mean = sumOf(known, (each) => each.evidence * each.mean) / total;
    const squares = sumOf(
      known,
      (each) => each.evidence * (each.mean - mean) ** 2,
    );
    const freedom = known.length - 1;
    const expected = freedom + MIN_DEVIATIONS * Math.sqrt(2 * freedom);
    return squares / this.#variance >= expected;
  }
}

/** What is known of an endpoint. */
interface Known {
  /** Logarithm of the lasting slowness. */
  readonly value: number;
  /** The same without the prior. */
  readonly mean: number;
  readonly evidence: number;
}

function sumOf<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((sum, item) => sum + value(item), 0);
}

const NONE: Unreported = { logSum: 0, count: 0 };

function reportOf(
  endpoint: string,
  { logSum, count }: Unreported,
): slownesses.SlownessReport {
  return { endpoint, ratio: Math.exp(logSum / count), count };
}
