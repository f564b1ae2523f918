/** The path of requests that are passed through to services.
 * @module */

export * from "./calibration.ts";
export * from "./context.ts";
export * from "./input_hold.ts";
export * from "./patience.ts";
export * from "./placement.ts";
export * from "./pool.ts";
export * from "./protocol.ts";
export * from "./retry_budget.ts";
export * from "./server.ts";
export * from "./load_gossip.ts";
