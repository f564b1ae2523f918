/** Whether an endpoint has stopped. The system of a process that is killed ends
 * its connections in order, and refuses new ones from then on.
 *
 * Linux closes the descriptors of such a process from the highest down, and so its
 * connections before its listener, which still takes connections for some
 * milliseconds that no process will accept. Therefore a connection that opens is
 * ended at once: a process that runs ends it as well, and the system resets it as
 * it closes the listener.
 * @module */

import * as net from "node:net";

/** Timeout of connecting; an address that does not answer refuses nothing. */
const CONNECT_TIMEOUT_MS = 250;
/** Milliseconds after which a connection that stays open shows nothing, as its
 * endpoint may be busy. On a busy machine a listener stays open for hundreds of
 * milliseconds after the connections. A host that relays the connection has to
 * answer within a second. */
const REACTION_TIMEOUT_MS = 600;
/** Connections of one check. One that is reset shows nothing by itself, and those
 * of an endpoint that runs may all be. */
const MAX_CONNECTIONS = 3;

/** Address of an endpoint. */
export interface EndpointAddress {
  readonly host: string;
  readonly port: number;
}

/** What became of a connection that was ended as it opened. */
type Reaction = "ended" | "refused" | "reset" | "none";

/** Resolves with whether an address refuses connections. */
export async function hasStopped(address: EndpointAddress): Promise<boolean> {
  for (let count = 0; count < MAX_CONNECTIONS; count++) {
    const reaction = await reactionOf(address);
    if (reaction !== "reset") return reaction === "refused";
  }
  return false;
}

function reactionOf(address: EndpointAddress): Promise<Reaction> {
  return new Promise((resolve) => {
    const socket = net.connect(address);
    const finish = (reaction: Reaction) => {
      socket.destroy();
      resolve(reaction);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS);
    socket.once("connect", () => socket.setTimeout(REACTION_TIMEOUT_MS));
    socket.once("data", () => finish("ended"));
    socket.once("end", () => finish("ended"));
    socket.on("timeout", () => {
      const { connecting } = socket;
      // Timers run before connections are read, so a reaction may have come in time.
      setImmediate(() => connecting === socket.connecting && finish("none"));
    });
    // Stays for errors behind the first.
    socket.on("error", ({ code = "" }: NodeJS.ErrnoException) => {
      finish(REACTIONS[code] ?? "none");
    });
    socket.end();
  });
}

const REACTIONS: Readonly<Record<string, Reaction>> = {
  ECONNREFUSED: "refused",
  ECONNRESET: "reset",
};
