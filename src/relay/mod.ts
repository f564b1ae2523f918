/** Paths to endpoints that lead through other hosts: a host that is partitioned
 * from endpoints tunnels its calls through one that reaches them.
 * @module */

export * as dialers from "./dialer.ts";
export * from "./endpoint_paths.ts";
export * from "./errors.ts";
export * from "./tunnel_server.ts";
