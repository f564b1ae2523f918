/** Drawn orders of poison requests, crashes, resets, cuts, restarts and starts
 * of hosts in virtual time, against the modules that keep poison requests from
 * endpoints, as they are. Checked is what endpoints and callers see.
 * @module */

export * from "./schedule.ts";
export * from "./world.ts";
