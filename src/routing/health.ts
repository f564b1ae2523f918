/** Health record of one endpoint and the load-balancing weight derived from it.
 * @module */

/** Outcome of one call, as a sample of its endpoint's health. */
export interface Observation {
  ok: boolean;
  /** Ratio of the time taken to the time expected of the group for the same
   * work. For a cancelled call it is based on the time until the cancellation
   * and is a lower bound. */
  slowness?: number;
}

/** State of an endpoint in outlier detection. */
export type HealthState = "used" | "ejected" | "probing" | "returning";

/** Health of an endpoint; times in milliseconds of the monotonic clock. */
export interface Health {
  state: HealthState;
  /** End of the ejection, of the probe or of the return ramp. */
  until: number;
  /** Recent ejections, which set the length of the next one. */
  ejections: number;
  consecutiveFailures: number;
  /** Moving average of failed calls, 0 to 1. */
  failureRate: number;
  /** Number of observed calls. */
  samples: number;
  /** Moving average of the logarithm of slowness. */
  meanLogSlowness: number;
  /** Number of calls in that average. */
  timedSamples: number;
  /** Successful probes since the last ejection. */
  probes: number;
  /** Whether the endpoint is an outlier but may not have been ejected. */
  suspect: boolean;
  /** End of the time for which the endpoint asked to get no calls. */
  heldUntil: number;
}

/** Weight of the newest call in the moving averages. */
const SAMPLE_STEP = 0.1;
/** Time in which the weight of a returning endpoint grows to 1. */
export const RETURN_RAMP_MS = 10_000;
/** Weight at the start of the return ramp, and of an outlier that is not
 * ejected because too much of the group is ejected already. */
const LOW_WEIGHT = 0.1;

/** Share of its usual calls that an endpoint gets, by state. */
export const weightByState: Record<
  HealthState,
  (health: Health, now: number) => number
> = {
  used: (health) => health.suspect ? LOW_WEIGHT : 1,
  ejected: () => 0,
  probing: () => 0,
  returning: (health, now) => {
    if (health.suspect) return LOW_WEIGHT;
    const done = 1 - (health.until - now) / RETURN_RAMP_MS;
    return Math.min(1, Math.max(LOW_WEIGHT, done));
  },
};

/** Creates the health record of an endpoint without samples. */
export function createHealth(): Health {
  return {
    state: "used",
    until: 0,
    ejections: 0,
    consecutiveFailures: 0,
    failureRate: 0,
    samples: 0,
    meanLogSlowness: 0,
    timedSamples: 0,
    probes: 0,
    suspect: false,
    heldUntil: 0,
  };
}

/** Updates the averages with a call. The first samples are averaged with equal
 * weights, later ones exponentially. */
export function record(health: Health, observation: Observation): void {
  health.consecutiveFailures = observation.ok
    ? 0
    : health.consecutiveFailures + 1;
  health.samples++;
  const alpha = Math.max(SAMPLE_STEP, 1 / health.samples);
  health.failureRate += alpha * ((observation.ok ? 0 : 1) - health.failureRate);
  if (observation.slowness === undefined) return;
  health.timedSamples++;
  const log = Math.log(Math.max(1e-3, observation.slowness));
  const step = Math.max(SAMPLE_STEP, 1 / health.timedSamples);
  health.meanLogSlowness += step * (log - health.meanLogSlowness);
}
