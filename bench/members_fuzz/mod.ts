/** Seeded schedules of faults over the cores of membership, registry and
 * shares, with fakes at clock and transport, and checkers.
 * @module */

export * as shares from "./shares.ts";
export * as views from "./views.ts";
export { Violation } from "./violation.ts";
