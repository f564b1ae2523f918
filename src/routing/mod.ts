/** Choice of an endpoint for each call, and what to do when the call fails,
 * is slow or hangs. Pure: time and random numbers come in from outside. The
 * hot path changes its containers in place.
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
