/** Admission control: fair queues, weights, rate and concurrency limits,
 * deadline-aware admission, stage time estimates and cost accounting.
 *
 * Callers pass the time in; nothing here reads a clock. The containers are
 * mutated in place, since they are on the hot path of every request.
 * @module */

export * as backlog from "./backlog.ts";
export * as controller from "./controller.ts";
export * as costLedger from "./cost_ledger.ts";
export * as stageTimeEstimator from "./stage_time_estimator.ts";
export * as fairQueue from "./fair_queue.ts";
export * as deadlineAdmission from "./deadline_admission.ts";
export * as flowQueue from "./flow_queue.ts";
export * as requestLimiter from "./request_limiter.ts";
export * as fairScheduler from "./fair_scheduler.ts";
export * as stageDeadlines from "./stage_deadlines.ts";
export * as weight from "./weight.ts";
