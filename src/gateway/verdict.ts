/** What the outcome of a call says of its endpoint.
 * @module */

import type * as telemetry from "../telemetry/mod.ts";
import type * as attempts from "./attempt.ts";
import type * as endpoint from "./endpoint.ts";

/** When a call ended, and what it took. */
export interface Ended {
  readonly now: number;
  readonly duration: number;
  readonly metrics: telemetry.Metrics;
}

/** Judges an endpoint by a call that has ended. */
export function note(
  target: endpoint.Endpoint,
  outcome: attempts.Outcome,
  { now, duration, metrics }: Ended,
): void {
  const verdict = of(outcome);
  if (verdict !== undefined) target.judge(verdict, now);
  if (outcome.type === "failed") {
    const { service } = target.identity;
    metrics.count("gateway.failed", 1, { service, cause: outcome.cause });
    if (outcome.cause === "misdirected") target.isReplaced = true;
  }
  if (outcome.type !== "answer") return;
  const { head } = outcome;
  if (head.load !== undefined) target.report(head.load, now);
  target.time(duration);
}

/** What an outcome says of an endpoint; undefined where it says nothing. */
export function of(outcome: attempts.Outcome): endpoint.Verdict | undefined {
  if (outcome.type === "ended") return "good";
  if (outcome.type === "answer") {
    return outcome.head.status >= 500 ? "bad" : "good";
  }
  const { cause } = outcome;
  if (cause === "cancelled" || cause === "deadline") return undefined;
  return cause === "full" || cause === "lacks-input" ? "full" : "bad";
}

/** Name of an outcome in logs: a status, or what happened. */
export function nameOf(outcome: attempts.Outcome): string {
  if (outcome.type === "failed") return outcome.cause;
  return outcome.type === "answer" ? `${outcome.head.status}` : "ended";
}
