/** What the outcome of a call says of its endpoint.
 * @module */

import type * as telemetry from "../telemetry/mod.ts";
import type * as attempts from "./attempt.ts";
import type * as endpoint from "./endpoint.ts";

/** When a call ended, and what it took. */
export interface CallEnd {
  readonly now: number;
  readonly duration: number;
  readonly metrics: telemetry.Metrics;
}

/** Judges an endpoint by a call that has ended. */
export function record(
  target: endpoint.Endpoint,
  outcome: attempts.Outcome,
  { now, duration, metrics }: CallEnd,
): void {
  const verdict = signalOf(outcome);
  if (verdict !== undefined) target.recordHealth(verdict, now);
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

/** What an outcome says of an endpoint; undefined where it says nothing. */
export function signalOf(
  outcome: attempts.Outcome,
): endpoint.HealthSignal | undefined {
  if (outcome.type === "ended") return "good";
  if (outcome.type === "answer") {
    return outcome.head.status >= 500 ? "bad" : "good";
  }
  const { cause } = outcome;
  if (cause === "cancelled" || cause === "deadline") return undefined;
  return cause === "full" || cause === "lacks-input" ? "full" : "bad";
}

/** Name of an outcome in logs: a status, or what happened. */
export function outcomeName(outcome: attempts.Outcome): string {
  if (outcome.type === "failed") return outcome.cause;
  return outcome.type === "answer" ? `${outcome.head.status}` : "ended";
}
