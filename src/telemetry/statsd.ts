/** Sends measurements to a statsd server by `hot-shots`.
 * @module */

import type * as hotShots from "hot-shots";
import type * as metrics from "./metrics.ts";

/** Where the server listens. */
export interface Address {
  address: string;
  port: number;
  /** Put before each name; `chicoryloft.` when absent. */
  prefix?: string;
}

/** Metrics that leave the process, and the way to end them. */
export interface Statsd extends metrics.Metrics {
  /** Sends what is buffered and closes the socket. */
  close(): Promise<void>;
}

/** Milliseconds for which measurements are gathered into one datagram. */
const FLUSH_INTERVAL = 1000;

/** Bytes of one datagram; fits an Ethernet frame. */
const DATAGRAM_SIZE = 1400;

/** Loads the library, which costs about 11 MB, and opens the socket. */
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
    maxBufferSize: DATAGRAM_SIZE,
    bufferFlushInterval: FLUSH_INTERVAL,
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
