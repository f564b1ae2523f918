/** When a call would finish at an endpoint.
 * @module */

/** What a prediction rests on; times in milliseconds. */
export interface Conditions {
  /** Way to the endpoint and back. */
  latency: number;
  /** Time of the call at an idle, typical endpoint. */
  work: number;
  /** Part of the work that a cached prefix saves. */
  saved: number;
  /** Calls that the endpoint has. */
  load: number;
  /** Calls that it runs side by side. */
  slots: number;
  /** Time that a call of the group takes on average. */
  service: number;
  /** Time that the endpoint takes over that of a typical one. */
  slowness: number;
  /** Share of KV memory in use, 0 to 1. */
  kvUsed: number;
}

/** Added time of a call in a full batch against one alone. */
const BATCHING = 0.5;
/** Share of KV memory above which engines begin to push calls out. */
const KV_TIGHT = 0.9;
/** Added time of a call when KV memory is full. */
const KV_FULL = 1;

/** Milliseconds until the call would finish. */
export function predict(prospect: Conditions): number {
  const { load, slots } = prospect;
  const waiting = Math.max(0, load + 1 - slots) / slots;
  const batch = 1 + BATCHING * Math.min(1, load / slots);
  const tight = Math.max(0, prospect.kvUsed - KV_TIGHT) / (1 - KV_TIGHT);
  const crowded = batch + KV_FULL * tight;
  const run = Math.max(0, prospect.work - prospect.saved) * crowded;
  const queue = waiting * prospect.service;
  return prospect.latency + (queue + run) * prospect.slowness;
}
