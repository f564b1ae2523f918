/** HTTP interface for callers and, on the same port, for announcements of
 * endpoints.
 * @module */

export * from "./problem.ts";
export * from "./server.ts";
