/** Life of a request: stages, deadline, attempts, answer.
 *
 * `Dispatcher` is the pure core; `RequestPath` puts it between the callers'
 * HTTP interface and the endpoints, with payloads kept outside the core.
 * @module */

export type * from "./effect.ts";
export type * from "./event.ts";
export type * from "./path_options.ts";
export type * from "./policy_set.ts";
export type * from "./reply.ts";
export type * from "./request.ts";
export { Dispatcher } from "./dispatcher.ts";
export { RequestPath } from "./path.ts";
export { create as createBaselinePolicies } from "./baseline_policies.ts";
