/** Sends measurements to a statsd server by `hot-shots`.
 * @module */

import type * as hotShots from "hot-shots";
import type * as metrics from "./metrics.ts";

/** Address of the statsd server. */
export interface Address {
  address: string;
  port: number;
  /** Prefix of each metric name; `chicoryloft.` when absent. */
  prefix?: string;
}

/** Metrics that are sent to a statsd server. */
export interface Statsd extends metrics.Metrics {
  /** Flushes buffered measurements and closes the socket. */
  close(): Promise<void>;
}

/** Interval at which buffered measurements are sent. */
const FLUSH_INTERVAL_MS = 1000;

/** Maximum size of a datagram; fits an Ethernet frame. */
const MAX_DATAGRAM_BYTES = 1400;

/** Opens the socket. The library takes about 11 MB of memory, so it is loaded
 * only when statsd is used. */
export async function open(
  to: Address,
  onError: (error: Error) => void,
): Promise<Statsd> {
  const library = await import("hot-shots");
  const client = new library.StatsD({
    host: to.address,
    port: to.port,
    prefix: to.prefix ?? "chicoryloft.",
    cacheDns: true,
    maxBufferSize: MAX_DATAGRAM_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    errorHandler: onError,
  });
  return wrap(client);
}

function wrap(client: hotShots.StatsD): Statsd {
  return {
    count: (name, by = 1, labels = {}) => client.increment(name, by, labels),
    time: (name, ms, labels = {}) => client.timing(name, ms, labels),
    gauge: (name, value, labels = {}) => client.gauge(name, value, labels),
    close: () => new Promise((resolve) => client.close(() => resolve())),
  };
}
