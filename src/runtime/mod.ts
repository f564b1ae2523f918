/** The four interfaces through which the core meets the world: clock,
 * random numbers, transport and storage.
 * @module */

export * from "./clock.ts";
export * from "./storage.ts";
export * from "./transport.ts";
export { Timer as Timer } from "./timer.ts";
export { FakeClock } from "./fake_clock.ts";
export {
  create as createRandom,
  createMixed as createMixedRandom,
  type Random,
} from "./random.ts";
