/** Refusals: answers that the gateway itself gives, with their status and retry
 * delay.
 * @module */

/** Why a request is refused. */
export type RefusalReason =
  | "malformed"
  | "too-large"
  | "unreadable"
  | "no-memory"
  | "no-configuration"
  | "stale-configuration"
  | "no-route"
  | "bad-key"
  | "no-endpoint"
  | "no-version"
  | "unknown-origin"
  | "evacuated"
  | "leaving"
  | "backoff"
  | "rate-limited"
  | "over-share"
  | "no-slot"
  | "suspected"
  | "quarantined"
  | "not-run"
  | "no-pieces"
  | "no-time"
  | "timeout-not-run"
  | "timeout"
  | "failed"
  | "left"
  | "stopping";

/** Statuses that promise the caller that the request has not been executed and
 * never will be, whoever answers. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether a status promises the caller that the request has not been
 * executed and never will be. */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/** Answer for a reason. Of these statuses only 503 promises that the request has
 * not been executed and never will be. */
export interface Refusal {
  readonly status: number;
  /** Seconds until a retry; present if a retry can help. */
  readonly retryAfter?: number;
}

/** Milliseconds from a host's start within which it has a configuration, even
 * if all hosts start at once and the control hosts have to elect a leader
 * first: that takes 0.85 to 1.0 s after a power loss. */
const CONFIGURATION_TIME_MS = 1200;
/** Longest retry delay of a caller, in milliseconds; it bounds waits whose
 * end is unknown. */
const MAX_RETRY_DELAY_MS = 60_000;
/** Least retry delay, in milliseconds, for a host without a configuration. */
const MIN_RETRY_DELAY_MS = 300;

/** Seconds until a host that started `uptime` milliseconds ago and has no
 * configuration is expected to have one. */
export function retryAfterUnconfigured(uptime: number): number {
  return Math.max(MIN_RETRY_DELAY_MS, CONFIGURATION_TIME_MS - uptime) / 1000;
}

/** Seconds until a retry for a wait in milliseconds. */
export function retryDelay(wait: number): number {
  return Math.round(Math.min(MAX_RETRY_DELAY_MS, wait)) / 1000;
}

/** Whether the answer for a reason guarantees that the request has not been
 * executed. */
export function guaranteesNotRun(reason: RefusalReason): boolean {
  return promisesNotRun(REFUSALS[reason].status);
}

/** Answers by reason. The retry delay is the time within which the reason may
 * no longer hold: an election or a poll of the configuration takes some
 * hundreds of milliseconds, a new endpoint is known after about one
 * heartbeat. */
export const REFUSALS: Readonly<Record<RefusalReason, Refusal>> = {
  "malformed": { status: 400 },
  "too-large": { status: 413 },
  "unreadable": { status: 400 },
  // A body that was not complete; requests that hold memory end meanwhile.
  "no-memory": { status: 503, retryAfter: 1 },
  // The delay depends on the host's uptime: `retryAfterUnconfigured`.
  "no-configuration": { status: 503 },
  "stale-configuration": { status: 503, retryAfter: 0.5 },
  "no-route": { status: 404 },
  "bad-key": { status: 401 },
  "no-endpoint": { status: 503, retryAfter: 0.6 },
  // No endpoint is left that could continue the stream.
  "no-version": { status: 503 },
  // A retry helps only if hosts did not answer.
  "unknown-origin": { status: 503 },
  // Evacuations last seconds or hours: a caller that can wait retries once,
  // after the hosts have moved its work.
  "evacuated": { status: 503, retryAfter: 1.5 },
  // All endpoints left are leaving; their successors are new endpoints.
  "leaving": { status: 503, retryAfter: 0.6 },
  // The delay follows from the backoff of the endpoints.
  "backoff": { status: 503 },
  // The delay follows from the rate limit that endpoints announce.
  "rate-limited": { status: 503 },
  // The delay follows from when the account's share has room again.
  "over-share": { status: 503 },
  // Slots become free as calls end.
  "no-slot": { status: 503, retryAfter: 0.6 },
  // The delay follows from when the quarantine lets the request run again.
  "suspected": { status: 503 },
  "quarantined": { status: 503 },
  "not-run": { status: 503, retryAfter: 0.4 },
  "no-time": { status: 503, retryAfter: 0.8 },
  "no-pieces": { status: 503, retryAfter: 0.6 },
  "timeout-not-run": { status: 503, retryAfter: 0.5 },
  "timeout": { status: 504 },
  "failed": { status: 502 },
  // The caller has ended its side of the connection before anything ran.
  "left": { status: 503 },
  "stopping": { status: 503, retryAfter: 0.1 },
};
