/** The gateway: serves callers' requests by calling the endpoints of services.
 * @module */

export * from "./batch_endpoints.ts";
export { record as recordAnnouncements } from "./announcement_records.ts";
export * from "./calibration.ts";
export * from "./call_durations.ts";
export * from "./context.ts";
export * from "./input_retention.ts";
export * from "./peak_count.ts";
export * from "./prior_wait.ts";
export * from "./placement.ts";
export * from "./endpoint_pool.ts";
export * from "./protocol.ts";
export * from "./retry_budget.ts";
export * from "./server.ts";
export * from "./load_updates.ts";
export { logEjection } from "./health_signal.ts";
export { announcedReturn } from "./unavailability.ts";
