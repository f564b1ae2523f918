/** Stand-ins of endpoints and of the weight store, small and in one process,
 * for tests, demos and experiments.
 * @module */

export * as batch from "./batch.ts";
export * as faults from "./faults.ts";
export * as ledger from "./ledger.ts";
export * as text from "./text.ts";
export { Announcer } from "./announcer.ts";
export {
  type Deployment,
  deployments,
  kivu,
  type Service,
  tranGia,
} from "./deployments.ts";
export { Control } from "./control.ts";
export { Engine } from "./engine.ts";
export { Fleet, type Selection } from "./fleet.ts";
export { Simple } from "./simple.ts";
export { type Load, StandIn } from "./stand_in.ts";
export { WeightStore } from "./weight_store.ts";
