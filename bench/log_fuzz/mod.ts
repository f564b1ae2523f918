/** Seeded schedules of faults over whole replicas, with fakes only at clock,
 * transport and storage, and a checker of what must always hold.
 * @module */

export * from "./checker.ts";
export * from "./schedule.ts";
export * from "./world.ts";
