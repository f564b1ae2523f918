/** Chicoryloft as a library: a host is assembled by `node.Node.start`, from
 * settings that `settings.load` has checked.
 * @module */

export * as client from "./operators/client/mod.ts";
export * as node from "./node/mod.ts";
export * as operators from "./operators/mod.ts";
export * as request from "./request/mod.ts";
export * as runtime from "./runtime/mod.ts";
export * as settings from "./settings/mod.ts";
export * as telemetry from "./telemetry/mod.ts";
