/** The system's own answers: what they say and what they promise.
 * @module */

/** Why a request gets no endpoint's answer. */
export type RefusalReason =
  | "malformed"
  | "too-large"
  | "unreadable"
  | "no-configuration"
  | "stale-configuration"
  | "no-route"
  | "bad-key"
  | "no-endpoint"
  | "evacuated"
  | "rate-limited"
  | "suspected"
  | "quarantined"
  | "not-run"
  | "no-pieces"
  | "no-time"
  | "timeout-not-run"
  | "timeout"
  | "failed"
  | "stopping";

/** What is said for a reason. Only 503 promises that the request has not run
 * and never will. */
export interface Refusal {
  readonly status: number;
  /** Seconds after which to come back; present where that can help. */
  readonly retryAfter?: number;
}

/** Milliseconds from a host's start within which it knows the configuration,
 * also where all hosts start at once and control hosts elect a leader first:
 * 0.85 to 1.0 s in plays after a loss of power. */
const CONFIGURED = 1200;
/** Least milliseconds after which to come back to a host without one. */
const LEAST_RETURN = 300;

/** Seconds after which a host that started `uptime` milliseconds ago and knows
 * no configuration can be expected to know one. */
export function retryAfterUnconfigured(uptime: number): number {
  return Math.max(LEAST_RETURN, CONFIGURED - uptime) / 1000;
}

/** Whether a reason is answered with the promise that nothing has run. */
export function guaranteesNotRun(reason: RefusalReason): boolean {
  return REFUSALS[reason].status === 503;
}

/** Answers by reason. Retry-After follows how soon the reason may be over: an
 * election or a poll of the configuration takes some hundreds of
 * milliseconds, a new endpoint about a heartbeat. */
export const REFUSALS: Readonly<Record<RefusalReason, Refusal>> = {
  "malformed": { status: 400 },
  "too-large": { status: 413 },
  "unreadable": { status: 400 },
  // When to come back hangs on the host's start: `returnUnconfigured`.
  "no-configuration": { status: 503 },
  "stale-configuration": { status: 503, retryAfter: 0.5 },
  "no-route": { status: 404 },
  "bad-key": { status: 401 },
  "no-endpoint": { status: 503, retryAfter: 0.6 },
  // Operators empty data centres for seconds or hours: a caller that can wait
  // comes back once, after the hosts have moved its work.
  "evacuated": { status: 503, retryAfter: 1.5 },
  // When to come back follows from the rate that endpoints name.
  "rate-limited": { status: 503 },
  // When to come back hangs on when it is let run again.
  "suspected": { status: 503 },
  "quarantined": { status: 503 },
  "not-run": { status: 503, retryAfter: 0.4 },
  "no-time": { status: 503, retryAfter: 0.8 },
  "no-pieces": { status: 503, retryAfter: 0.6 },
  "timeout-not-run": { status: 503, retryAfter: 0.5 },
  "timeout": { status: 504 },
  "failed": { status: 502 },
  "stopping": { status: 503, retryAfter: 0.1 },
};
