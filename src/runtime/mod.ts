/** The interfaces between the system's logic and its environment: clock, random
 * numbers, transport and storage. Tests and simulations substitute them.
 * @module */

export * from "./clock.ts";
export * from "./storage.ts";
export * from "./transport.ts";
export { Timer } from "./timer.ts";
export { assumedMemory } from "./machine_memory.ts";
export { FakeClock } from "./fake_clock.ts";
export {
  create as createRandom,
  createMixed as createMixedRandom,
  type Random,
} from "./random.ts";
