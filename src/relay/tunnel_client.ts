/** Opens tunnels: connections to endpoints that another host of the fleet makes
 * and forwards byte by byte (`CONNECT`, RFC 9110, 9.3.6). Nothing of a call is
 * sent before the other host has confirmed its connection to the endpoint, and an
 * end of the tunnel is an end of the endpoint's connection only if it confirms
 * that as well.
 * @module */

import * as crypto from "node:crypto";
import * as http from "node:http";
import type * as net from "node:net";
import * as connector from "../endpoint_calls/connector.ts";
import * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as race from "./connection_race.ts";
import * as errors from "./errors.ts";

/** Timeout of the question whether a tunnel has ended in order. */
const END_TIMEOUT_MS = 1000;

/** Opens a tunnel through a host to an endpoint, given as IP address and port;
 * the returned function gives it up. */
export function open(
  dialAddress: peers.DialAddress,
  endpoint: string,
  callback: race.AttemptCallback,
): runtime.Cancel {
  let isDone = false;
  const finish: race.AttemptCallback = (error, socket) => {
    if (isDone) return;
    isDone = true;
    callback(error, socket);
  };
  const { address, port, headers } = dialAddress;
  const tunnel = crypto.randomUUID();
  const request = http.request({
    host: address,
    port,
    method: "CONNECT",
    path: endpoint,
    headers: { ...headers, host: endpoint, [peers.TUNNEL_HEADER]: tunnel },
    agent: false,
  });
  request.on("connect", (response, stream, head) => {
    const socket = stream as net.Socket;
    if (response.statusCode !== 200) {
      socket.destroy();
      return finish(refusalOf(response));
    }
    if (isDone) return void socket.destroy();
    socket.setNoDelay(true);
    // Hosts of the previous release do not keep the ends of tunnels.
    if (response.headers[peers.TUNNEL_HEADER] === tunnel) {
      connector.confirmEnd(socket, () => hasEnded(dialAddress, tunnel));
    }
    if (head.length > 0) socket.unshift(head);
    finish(undefined, socket);
  });
  // A host that does not know tunnels answers with a status or ends the
  // connection.
  request.on("response", (response) => {
    request.destroy();
    finish(new errors.RelayError(`no tunnels: status ${response.statusCode}`));
  });
  request.on("error", (cause) => {
    finish(new errors.RelayError(cause.message, { cause }));
  });
  request.end();
  return () => {
    isDone = true;
    request.destroy();
  };
}

/** Asks the other host whether a tunnel has ended in order; false if it does not
 * answer. */
function hasEnded(
  { address, port, headers }: peers.DialAddress,
  tunnel: string,
): Promise<boolean> {
  return new Promise((resolve) => {
    const request = http.get({
      host: address,
      port,
      path: peers.TUNNEL_END_PATH + tunnel,
      headers,
      agent: false,
      timeout: END_TIMEOUT_MS,
    });
    request.on("response", (response) => {
      response.resume();
      resolve(response.statusCode === 204);
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => resolve(false));
    request.on("close", () => resolve(false));
  });
}

/** Status of a tunnel whose endpoint the other host has not reached. */
export const UNREACHABLE_STATUS = 504;

function refusalOf(
  { statusCode, statusMessage }: http.IncomingMessage,
): errors.RelayError {
  const message = `tunnel refused: ${statusCode} ${statusMessage}`;
  return statusCode === UNREACHABLE_STATUS
    ? new errors.EndpointUnreachableError(message)
    : new errors.RelayError(message);
}
