/** HTTP towards callers, and announcements of endpoints on the same port.
 * @module */

export * from "./problem.ts";
export * from "./server.ts";
