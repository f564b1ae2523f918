/** Derives health signals of endpoints from the outcomes of calls.
 * @module */

import type * as telemetry from "../telemetry/mod.ts";
import type * as attempts from "./attempt.ts";
import type * as endpoints from "./endpoint.ts";

/** The end of a call. */
export interface CallEnd {
  readonly now: number;
  /** Milliseconds that the call took. */
  readonly duration: number;
  readonly metrics: telemetry.Metrics;
}

/** Records the outcome of a call in the state of its endpoint. */
export function record(
  target: endpoints.Endpoint,
  outcome: attempts.Outcome,
  { now, duration, metrics }: CallEnd,
): void {
  const signal = signalOf(outcome);
  if (signal !== undefined) target.recordHealth(signal, now);
  if (outcome.type === "failed") {
    const { service } = target.identity;
    metrics.count("gateway.failed", 1, { service, cause: outcome.cause });
    if (outcome.cause === "misdirected") target.isReplaced = true;
  }
  if (outcome.type !== "answer") return;
  const { head } = outcome;
  if (head.load !== undefined) target.recordLoad(head.load, now);
  target.recordDuration(duration);
}

/** Health signal of an outcome; undefined if it shows nothing of the
 * endpoint. */
export function signalOf(
  outcome: attempts.Outcome,
): endpoints.HealthSignal | undefined {
  if (outcome.type === "ended") return "good";
  if (outcome.type === "answer") {
    return outcome.head.status >= 500 ? "bad" : "good";
  }
  const { cause } = outcome;
  if (NEUTRAL_CAUSES.has(cause)) return undefined;
  if (cause === "lacks-input") return "good";
  return cause === "full" ? "full" : "bad";
}

const NEUTRAL_CAUSES: ReadonlySet<attempts.FailureCause> = new Set([
  "cancelled",
  "deadline",
  "withheld",
]);

/** Name of an outcome in logs: a status or a cause of failure. */
export function outcomeName(outcome: attempts.Outcome): string {
  if (outcome.type === "failed") return outcome.cause;
  return outcome.type === "answer" ? `${outcome.head.status}` : "ended";
}
