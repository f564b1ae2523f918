/** Endpoint choice for each call, and retries, hedging and hang detection.
 *
 * Callers pass in the time and the random numbers. Containers are mutated in
 * place, since they are on the hot path of every call.
 * @module */

export * as extraCallBudget from "./extra_call_budget.ts";
export * as endpointChoice from "./endpoint_choice.ts";
export * as outlierDetector from "./outlier_detector.ts";
export * as finishTime from "./finish_time.ts";
export * as endpointGroup from "./endpoint_group.ts";
export * as health from "./health.ts";
export * as hedge from "./hedge.ts";
export * as loadEstimate from "./load_estimate.ts";
export * as prefixIndex from "./prefix_index.ts";
export * as durationHistogram from "./duration_histogram.ts";
export * as retry from "./retry.ts";
export * as router from "./router.ts";
export * as subset from "./subset.ts";
export * as kvTransfer from "./kv_transfer.ts";
