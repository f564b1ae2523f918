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
  ended: Ended,
): void {
  if (outcome.type === "failed") return noteFailure(target, outcome, ended);
  const { now, duration } = ended;
  if (outcome.type === "ended") return target.judge("good", now);
  const { head } = outcome;
  if (head.load !== undefined) target.report(head.load, now);
  target.time(duration);
  target.judge(head.status >= 500 ? "bad" : "good", now);
}

/** Name of an outcome in logs: a status, or what happened. */
export function nameOf(outcome: attempts.Outcome): string {
  if (outcome.type === "failed") return outcome.cause;
  return outcome.type === "answer" ? `${outcome.head.status}` : "ended";
}

function noteFailure(
  target: endpoint.Endpoint,
  { cause }: Extract<attempts.Outcome, { type: "failed" }>,
  { now, metrics }: Ended,
): void {
  const { service } = target.identity;
  metrics.count("gateway.failed", 1, { service, cause });
  if (cause === "cancelled" || cause === "deadline") return;
  if (cause === "misdirected") target.isReplaced = true;
  const isFull = cause === "full" || cause === "lacks-input";
  target.judge(isFull ? "full" : "bad", now);
}
