/** Performance of endpoints: how slow each one is, relative to the expectation
 * for its service.
 * @module */

export * from "./mean_duration.ts";
export * from "./service_performance.ts";
export * from "./slowness.ts";
export * from "./slowness_exchange.ts";
export * from "./slowness_table.ts";
