/** Life of a request: stages, deadline, attempts, answer.
 * @module */

export type * from "./effect.ts";
export type * from "./event.ts";
export type * from "./request.ts";
