/** Opens connections on one path, directly or through one host.
 * @module */

import * as net from "node:net";
import type * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as race from "./connection_race.ts";
import * as errors from "./errors.ts";
import * as tunnelClient from "./tunnel_client.ts";

/** Delay of TCP keep-alive, as undici's own connections have it. */
const TCP_KEEP_ALIVE_MS = 60_000;
/** Size of a socket's read buffer, as undici's own connections have it. */
const SOCKET_BUFFER_BYTES = 64 * 1024;

/** Opens connections to endpoints, which are given as IP address and port. The
 * returned functions give the attempt up. */
export interface Dialer {
  direct(endpoint: string, callback: race.AttemptCallback): runtime.Cancel;
  /** Connects through another host. */
  tunnel(
    destination: { host: string; endpoint: string },
    callback: race.AttemptCallback,
  ): runtime.Cancel;
}

/** Creates a dialer that opens TCP connections; `dialAddress` returns how to dial
 * a host, or undefined if it is unknown. */
export function create(
  dialAddress: (host: string) => peers.DialAddress | undefined,
): Dialer {
  return {
    direct: openDirect,
    tunnel({ host, endpoint }, callback) {
      const address = dialAddress(host);
      if (address !== undefined) {
        return tunnelClient.open(address, endpoint, callback);
      }
      callback(new errors.RelayError(`host ${host} is unknown`));
      return () => {};
    },
  };
}

function openDirect(
  endpoint: string,
  callback: race.AttemptCallback,
): runtime.Cancel {
  const [host, port] = endpoint.split(":");
  const options: net.NetConnectOpts & { highWaterMark: number } = {
    host,
    port: Number(port),
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: TCP_KEEP_ALIVE_MS,
    highWaterMark: SOCKET_BUFFER_BYTES,
  };
  const socket = net.connect(options);
  socket.once("connect", () => callback(undefined, socket));
  socket.on("error", (error) => callback(error));
  return () => socket.destroy();
}
