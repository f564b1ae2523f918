/** Request handling of a host: stages, deadlines, attempts and answers.
 *
 * `Dispatcher` is a deterministic state machine without I/O. `RequestPath`
 * connects it to the callers' HTTP interface and to the endpoints; payloads are
 * held outside of the dispatcher.
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
