/** What is known of the health of one endpoint, and the weight it gets by it.
 * @module */

/** What one ended call says of its endpoint. */
export interface Observation {
  ok: boolean;
  /** Time taken over the time expected of the group for the same work; of a
   * cancelled call the time so far, which is a lower bound. */
  slowness?: number;
}

/** Whether an endpoint is used. */
export type HealthState = "used" | "ejected" | "probing" | "returning";

/** Health of an endpoint; times in milliseconds of the monotonic clock. */
export interface Health {
  state: HealthState;
  /** End of an ejection, of a probe or of a return. */
  until: number;
  ejections: number;
  consecutiveFailures: number;
  failureRate: number;
  samples: number;
  /** Mean of the logarithms of slowness, and how many it rests on. */
  meanLogSlowness: number;
  timedSamples: number;
  probes: number;
  suspect: boolean;
  heldUntil: number;
}

/** Weight of the newest call in the means. */
const ALPHA = 0.1;
/** Milliseconds in which the weight of a returning endpoint grows to 1. */
export const RETURN_RAMP_MS = 10_000;
/** Weight at the start of a return, and of an endpoint that would be ejected
 * if the group could spare it. */
const LOW_WEIGHT = 0.1;

/** Share of its usual calls that an endpoint gets, by its state. */
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

/** Health of an endpoint of which nothing is known. */
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

/** Moves the means; the first calls count alike, later ones fade. */
export function record(health: Health, seen: Observation): void {
  health.consecutiveFailures = seen.ok ? 0 : health.consecutiveFailures + 1;
  health.samples++;
  const alpha = Math.max(ALPHA, 1 / health.samples);
  health.failureRate += alpha * ((seen.ok ? 0 : 1) - health.failureRate);
  if (seen.slowness === undefined) return;
  health.timedSamples++;
  const log = Math.log(Math.max(1e-3, seen.slowness));
  const step = Math.max(ALPHA, 1 / health.timedSamples);
  health.meanLogSlowness += step * (log - health.meanLogSlowness);
}
