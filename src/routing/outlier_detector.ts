/** Outlier detection: ejects endpoints that fail or are slow compared with
 * their group, probes them, and returns them gradually. A share of the group is
 * never ejected.
 * @module */

import * as healthRecord from "./health.ts";

/** A call that ended, and the health of its endpoint. */
interface Evaluation {
  id: string;
  health: healthRecord.Health;
  observation: healthRecord.Observation;
  now: number;
}

/** Consecutive failures that eject an endpoint. */
const EJECTION_FAILURES = 3;
/** Excess of the failure rate over the group's median that ejects. */
const EJECTION_FAILURE_RATIO = 0.3;
/** Minimum number of calls before a rate or an average is used. */
const MIN_CALLS = 8;
/** Minimum slowness relative to the group's median that ejects (log ratio). */
const EJECTION_LOG_RATIO = Math.log(3);
/** Slowness up to which a difference to the median is noise (log ratio). */
const NOISE_LOG_RATIO = Math.log(1.5);
/** Number of standard deviations from the group's median that ejects. */
const EJECTION_DEVIATIONS = 5;
/** Ratio of a normal distribution's standard deviation to its median absolute
 * deviation. */
const DEVIATION_MAD_RATIO = 1.4826;
/** Duration of the first ejection, doubled for each further one. */
const EJECTION_MS = 2000;
/** Maximum time for which an endpoint can ask to get no calls. */
const MAX_HOLD_MS = 30_000;
/** Maximum duration of an ejection. */
const MAX_EJECTION_MS = 60_000;
/** Successful probes required before an endpoint returns. */
const MIN_PROBES = 2;
/** Time after which a probe without a result is repeated. */
const PROBE_TIMEOUT_MS = 5000;
/** Maximum share of the group that is ejected. */
const MAX_EJECTED_RATIO = 0.5;
/** Minimum interval between two computations of the group's statistics. */
const STATISTICS_INTERVAL_MS = 500;
/** Maximum number of endpoints read for the group's statistics. */
const MAX_STATISTICS_COUNT = 256;

/** Outlier detection among the endpoints of one service; mutated in place. */
export class OutlierDetector {
  #byId = new Map<string, healthRecord.Health>();
  #ejected = new Map<string, healthRecord.Health>();
  #nextProbeAt = Infinity;
  #statisticsAt = -Infinity;
  #medianSlowness = 0;
  #slownessDeviation = 0;
  #medianFailureRate = 0;
  /** Whether enough of the group has timed samples for a comparison. */
  #comparable = false;

  /** Creates a detector without endpoints. */
  static create(): OutlierDetector {
    return new OutlierDetector();
  }

  /** Number of ejected endpoints, which get no calls but probes. */
  get ejectedCount(): number {
    return this.#ejected.size;
  }

  /** Ids of the ejected endpoints. */
  get ejectedIds(): readonly string[] {
    return [...this.#ejected.keys()];
  }

  /** Adds an endpoint. */
  add(id: string): void {
    if (!this.#byId.has(id)) this.#byId.set(id, healthRecord.createHealth());
  }

  /** Removes an endpoint and its health record. */
  remove(id: string): void {
    this.#byId.delete(id);
    this.#ejected.delete(id);
    this.#readmit();
    this.#updateNextProbe();
  }

  /** State of an endpoint. */
  state(id: string): healthRecord.HealthState {
    return this.#byId.get(id)?.state ?? "used";
  }

  /** Share of its usual calls that an endpoint gets, 0 to 1. */
  weight(id: string, now: number): number {
    const health = this.#byId.get(id);
    if (health === undefined) return 0;
    if (now < health.heldUntil) return 0;
    return healthRecord.weightByState[health.state](health, now);
  }

  /** Ratio of an endpoint's times to its group's median. Differences within
   * the noise give 1, since calls vary more than endpoints do. */
  slowness(id: string): number {
    const health = this.#byId.get(id);
    if (health === undefined || health.timedSamples < MIN_CALLS) return 1;
    if (!this.#comparable) return 1;
    const difference = health.meanLogSlowness - this.#medianSlowness;
    const noise = Math.max(NOISE_LOG_RATIO, 2 * this.#slownessDeviation);
    return difference > noise ? Math.exp(difference) : 1;
  }

  /** Records that a call is sent, which is a probe if the endpoint is
   * ejected. */
  startCall(id: string, now: number): void {
    const health = this.#ejected.get(id);
    if (health === undefined) return;
    health.state = "probing";
    health.until = now + PROBE_TIMEOUT_MS;
    this.#updateNextProbe();
  }

  /** Id of an ejected endpoint that is due for a probe. */
  dueProbe(now: number): string | undefined {
    if (now < this.#nextProbeAt) return undefined;
    for (const [id, health] of this.#ejected) {
      if (now >= health.until && now >= health.heldUntil) return id;
    }
    return undefined;
  }

  /** Sends the endpoint no calls for `ms`, as it requested. */
  hold(id: string, ms: number, now: number): void {
    const health = this.#byId.get(id);
    if (health === undefined) return;
    const until = now + Math.min(MAX_HOLD_MS, ms);
    health.heldUntil = Math.max(health.heldUntil, until);
  }

  /** Records a call that ended and evaluates its endpoint. */
  observe(
    id: string,
    observation: healthRecord.Observation,
    now: number,
  ): void {
    const health = this.#byId.get(id);
    if (health === undefined) return;
    healthRecord.record(health, observation);
    this.#updateStatistics(now);
    evaluations[health.state](this, { id, health, observation, now });
  }

  /** Evaluates an endpoint in use by its moving averages. */
  evaluateInUse({ id, health, now }: Evaluation): void {
    if (health.state === "returning" && now >= health.until) {
      health.state = "used";
      health.ejections = Math.max(0, health.ejections - 1);
    }
    health.suspect = this.#isOutlier(health);
    if (health.suspect && this.#canEject()) this.#eject(id, health, { now });
  }

  /** Evaluates an ejected endpoint by its probe alone. */
  evaluateProbe({ id, health, observation, now }: Evaluation): void {
    const difference = Math.log(observation.slowness ?? 1) -
      this.#medianSlowness;
    const slow = this.#comparable && difference > EJECTION_LOG_RATIO;
    if (!observation.ok || slow) return this.#eject(id, health, { now });
    health.probes++;
    health.state = "ejected";
    health.until = now;
    if (health.probes >= MIN_PROBES) this.#startReturn(id, health, { now });
    this.#updateNextProbe();
  }

  #isOutlier(health: healthRecord.Health): boolean {
    if (health.consecutiveFailures >= EJECTION_FAILURES) return true;
    const failing =
      health.failureRate - this.#medianFailureRate > EJECTION_FAILURE_RATIO;
    if (health.samples >= MIN_CALLS && failing) return true;
    const bound = Math.max(
      EJECTION_LOG_RATIO,
      EJECTION_DEVIATIONS * this.#slownessDeviation,
    );
    const slow = health.meanLogSlowness - this.#medianSlowness > bound;
    return this.#comparable && health.timedSamples >= MIN_CALLS && slow;
  }

  #canEject(): boolean {
    return this.#ejected.size + 1 <= this.#byId.size * MAX_EJECTED_RATIO;
  }

  #eject(
    id: string,
    health: healthRecord.Health,
    { now }: { now: number },
  ): void {
    const time = EJECTION_MS * 2 ** health.ejections;
    health.state = "ejected";
    health.until = now + Math.min(MAX_EJECTION_MS, time);
    health.ejections++;
    health.probes = 0;
    this.#ejected.set(id, health);
    this.#updateNextProbe();
  }

  #startReturn(
    id: string,
    health: healthRecord.Health,
    { now }: { now: number },
  ): void {
    const { ejections, heldUntil } = health;
    Object.assign(health, healthRecord.createHealth(), {
      ejections,
      heldUntil,
    });
    health.state = "returning";
    health.until = now + healthRecord.RETURN_RAMP_MS;
    this.#ejected.delete(id);
  }

  /** Returns ejected endpoints to use when a smaller group leaves too many of
   * its endpoints ejected. */
  #readmit(): void {
    for (const [id, health] of this.#ejected) {
      if (this.#ejected.size <= this.#byId.size * MAX_EJECTED_RATIO) return;
      health.state = "used";
      health.suspect = true;
      this.#ejected.delete(id);
    }
  }

  #updateNextProbe(): void {
    this.#nextProbeAt = Infinity;
    for (const health of this.#ejected.values()) {
      this.#nextProbeAt = Math.min(this.#nextProbeAt, health.until);
    }
  }

  /** Recomputes the medians of the group at intervals, from a bounded part of
   * it. */
  #updateStatistics(now: number): void {
    if (now - this.#statisticsAt < STATISTICS_INTERVAL_MS) return;
    this.#statisticsAt = now;
    const means: number[] = [];
    const rates: number[] = [];
    for (const health of this.#byId.values()) {
      if (
        means.length >= MAX_STATISTICS_COUNT ||
        rates.length >= MAX_STATISTICS_COUNT
      ) break;
      if (health.timedSamples >= MIN_CALLS) means.push(health.meanLogSlowness);
      if (health.samples >= MIN_CALLS) rates.push(health.failureRate);
    }
    this.#medianSlowness = median(means);
    const readCount = Math.min(MAX_STATISTICS_COUNT, this.#byId.size);
    this.#comparable = means.length >= Math.max(2, readCount / 2);
    const deviations = means.map((one) => Math.abs(one - this.#medianSlowness));
    this.#slownessDeviation = DEVIATION_MAD_RATIO * median(deviations);
    this.#medianFailureRate = median(rates);
  }
}

/** Evaluation of a call that ended, by the state of its endpoint. Calls that
 * were sent before an ejection and end after it do not extend it. */
const evaluations: Record<
  healthRecord.HealthState,
  (detector: OutlierDetector, evaluation: Evaluation) => void
> = {
  used: (detector, evaluation) => detector.evaluateInUse(evaluation),
  returning: (detector, evaluation) => detector.evaluateInUse(evaluation),
  probing: (detector, evaluation) => detector.evaluateProbe(evaluation),
  ejected: () => {},
};

function median(values: number[]): number {
  if (values.length === 0) return 0;
  values.sort((a, b) => a - b);
  return values[(values.length - 1) >> 1];
}
