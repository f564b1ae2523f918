/** The operators' HTTP API, the interfaces through which it accesses a host, and
 * the local table of a fleet without voters.
 * @module */

export type {
  EditResult,
  EndpointView,
  Host,
  HostState,
  Status,
  TableAccess,
  TableEvent,
  TableListener,
} from "./access.ts";
export { type Credential, Operators, type Role } from "./authentication.ts";
export { LocalTable, toResult } from "./local_table.ts";
export type { Name as ProblemName, Problem } from "./problem.ts";
export { redactRows } from "./redaction.ts";
export { type Options as ServerOptions, Server } from "./server.ts";
