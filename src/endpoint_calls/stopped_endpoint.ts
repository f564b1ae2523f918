/** Whether an endpoint has stopped. The system of a process that is killed ends
 * its connections in order, and refuses new ones from then on.
 * @module */

import * as net from "node:net";

/** Timeout of the check; an address that does not answer refuses nothing. */
const CHECK_TIMEOUT_MS = 500;

/** Address of an endpoint. */
export interface EndpointAddress {
  readonly host: string;
  readonly port: number;
}

/** Resolves with whether an address refuses connections. */
export function hasStopped(address: EndpointAddress): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect(address);
    const finish = (isRefused: boolean) => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.setTimeout(CHECK_TIMEOUT_MS);
    socket.once("connect", () => finish(false));
    socket.once("timeout", () => finish(false));
    // Stays for errors behind the first.
    socket.on("error", ({ code }: NodeJS.ErrnoException) => {
      finish(code === "ECONNREFUSED");
    });
  });
}
