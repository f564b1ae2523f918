/** Whether an endpoint has stopped. The system of a process that is killed ends
 * its connections in order, and refuses new ones from then on. A process that exits
 * by itself may close its connections some milliseconds before its listener: what
 * was opened meanwhile is reset with that.
 * @module */

import * as net from "node:net";
import * as clock from "../runtime/clock.ts";

/** Timeout of the check; an address that does not answer refuses nothing. */
const CHECK_TIMEOUT_MS = 500;
/** Time in which an open connection is reset if the process is exiting: Node took up
 * to 3 ms on an idle machine. */
const EXIT_MS = 15;

/** Address of an endpoint. */
export interface EndpointAddress {
  readonly host: string;
  readonly port: number;
}

/** Resolves with whether an address refuses connections, or resets one at once. */
export function hasStopped(address: EndpointAddress): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect(address);
    let cancel = () => {};
    const finish = (isRefused: boolean) => {
      cancel();
      socket.destroy();
      resolve(isRefused);
    };
    socket.setTimeout(CHECK_TIMEOUT_MS);
    socket.once("connect", () => {
      // This clock reads sockets before it runs a timer: the reset may wait there.
      cancel = clock.systemClock.after(EXIT_MS, () => finish(false));
    });
    socket.once("timeout", () => finish(false));
    // Stays for errors behind the first.
    socket.on("error", ({ code }: NodeJS.ErrnoException) => {
      finish(code === "ECONNREFUSED" || code === "ECONNRESET");
    });
  });
}
