/** Choice of an endpoint for each call, and what to do when the call fails,
 * is slow or hangs. Pure: time and random numbers come in from outside. The
 * hot path changes its containers in place.
 * @module */

export * as budget from "./budget.ts";
export * as choice from "./choice.ts";
export * as ejection from "./ejection.ts";
export * as finish from "./finish.ts";
export * as group from "./group.ts";
export * as health from "./health.ts";
export * as hedge from "./hedge.ts";
export * as load from "./load.ts";
export * as prefix from "./prefix.ts";
export * as quantile from "./quantile.ts";
export * as retry from "./retry.ts";
export * as router from "./router.ts";
export * as subset from "./subset.ts";
export * as transfer from "./transfer.ts";
