/** Replicated log (Raft): a majority of the hosts with disks agrees on one
 * sequence of commands. `Replica` is a pure state transition function; `Journal`
 * and `Runner` perform its I/O.
 * @module */

export * from "./dump.ts";
export * from "./errors.ts";
export * from "./journal.ts";
export * from "./state_machine.ts";
export * from "./replica.ts";
export * from "./runner.ts";
export type * from "./runner_options.ts";
export type * from "./state.ts";
export { DEFAULT_TIMING } from "./state.ts";
export type { LogMessage as Message } from "../../schema/log_types.ts";
export * as members from "./members.ts";
export * as replicaId from "./replica_id.ts";
