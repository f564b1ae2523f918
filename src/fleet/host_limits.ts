/** Limits that a host keeps for all of its clients together. Each has a default
 * that follows from the limits of its machine.
 * @module */

import type * as connectionLimits from "./connection_limit.ts";
import type * as controlServer from "./control_server.ts";
import * as settings from "./settings.ts";

/** Bytes of a busy host beside what it holds for requests: the program, V8's heap
 * with its young generation, connections. */
const BASE_BYTES = 120_000_000;
/** Part of its other memory that requests may take; the rest is for connections,
 * for what has arrived and is not read, and for memory that is not collected yet. */
const REQUEST_RATIO = 1 / 4;
/** Part of its memory that requests may take at least. */
const MIN_REQUEST_RATIO = 1 / 16;

/** Descriptors of a host that knows no limit. */
const ASSUMED_DESCRIPTORS = 4000;
/** Part of the descriptors that connections of clients may take: each request may
 * take another one for a call, and the rest is for other hosts, further calls, the
 * log and the disk. */
const CONNECTION_RATIO = 1 / 3;
/** Bytes of a connection that have arrived and are not read, at the size that the
 * system's buffer for them begins with. */
const UNREAD_BYTES = 64 * 1024;
/** Part of its other memory that these may take. */
const UNREAD_RATIO = 1 / 4;
/** Least number of connections, however small the host is. */
const MIN_CONNECTIONS = 32;
/** Requests in work on one connection. Clients of HTTP/1.1 send the next one after
 * an answer, unless they pipeline. */
const MAX_PIPELINED = 16;

/** Bounds of servers that a prober or a collector of metrics asks now and then. */
export const PROBE_BOUNDS: connectionLimits.ConnectionBounds = {
  maxConnections: 32,
  maxPipelined: 4,
};

/** Most values of a configuration: thousands of routes have some hundred thousand,
 * and a parsed value takes up to a hundred bytes. */
const MAX_CONFIGURATION_VALUES = 500_000;

/** Bounds of a control host's server. */
export function controlBounds(
  host: Pick<settings.HostSettings, "memory" | "descriptors" | "limits">,
): controlServer.ControlBounds {
  return {
    ...connectionBounds(host),
    requestBytes: requestBytes(host),
    configurationValues: host.limits["configuration-values"] ??
      MAX_CONFIGURATION_VALUES,
  };
}

/** Bounds on the connections of a host's clients. */
export function connectionBounds(
  host: Pick<settings.HostSettings, "memory" | "descriptors" | "limits">,
): connectionLimits.ConnectionBounds {
  const { descriptors = ASSUMED_DESCRIPTORS, limits } = host;
  const memory = settings.memoryOf(host) - BASE_BYTES;
  const fitting = Math.min(
    CONNECTION_RATIO * descriptors,
    UNREAD_RATIO * memory / UNREAD_BYTES,
  );
  return {
    maxConnections: limits.connections ??
      Math.floor(Math.max(MIN_CONNECTIONS, fitting)),
    maxPipelined: limits["pipelined-requests"] ?? MAX_PIPELINED,
  };
}

/** Most bytes that a host may hold for all requests together. */
export function requestBytes(
  host: Pick<settings.HostSettings, "memory" | "limits">,
): number {
  const memory = settings.memoryOf(host);
  return host.limits["request-bytes"] ?? Math.max(
    MIN_REQUEST_RATIO * memory,
    REQUEST_RATIO * (memory - BASE_BYTES),
  );
}
