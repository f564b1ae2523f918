/** Predicts the time until a call finishes at an endpoint.
 * @module */

/** Properties of a call and of an endpoint; times in milliseconds. */
export interface Conditions {
  /** Round trip to the endpoint. */
  latency: number;
  /** Time of the call at an idle, typical endpoint. */
  work: number;
  /** Part of the work that a cached prefix saves. */
  saved: number;
  /** Running and waiting calls at the endpoint. */
  load: number;
  /** Calls that the endpoint runs concurrently. */
  slots: number;
  /** Mean service time of a call in the group. */
  service: number;
  /** Ratio of the endpoint's times to those of a typical one. */
  slowness: number;
  /** Share of KV memory in use, 0 to 1. */
  kvUsed: number;
}

/** Relative slowdown of a call in a full batch. */
const BATCH_SLOWDOWN_RATIO = 0.5;
/** Share of KV memory in use above which engines begin to preempt calls. */
const KV_PRESSURE_RATIO = 0.9;
/** Relative slowdown of a call when KV memory is full. */
const KV_FULL_SLOWDOWN_RATIO = 1;

/** Predicts the milliseconds until the call finishes. */
export function predict(conditions: Conditions): number {
  const { load, slots } = conditions;
  const waiting = Math.max(0, load + 1 - slots) / slots;
  const batch = 1 + BATCH_SLOWDOWN_RATIO * Math.min(1, load / slots);
  const kvPressure = Math.max(0, conditions.kvUsed - KV_PRESSURE_RATIO) /
    (1 - KV_PRESSURE_RATIO);
  const slowdown = batch + KV_FULL_SLOWDOWN_RATIO * kvPressure;
  const runMs = Math.max(0, conditions.work - conditions.saved) * slowdown;
  const queueMs = waiting * conditions.service;
  return conditions.latency + (queueMs + runMs) * conditions.slowness;
}
