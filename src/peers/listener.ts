/** Takes connections from the other hosts of the fleet and refuses others.
 * @module */

import type * as net from "node:net";
import * as adapter from "@trpc/server/adapters/ws";
import * as ws from "ws";
import * as errors from "./errors.ts";
import * as proof from "./proof.ts";
import * as router from "./router.ts";

/** Bytes of the largest frame: one message of the largest size, or a batch,
 * with what surrounds it. */
const MOST_FRAME = 5 * 1024 * 1024;
/** Milliseconds of rest after which a connection is probed, and in which it
 * answers or is closed. */
const PROBE = 10_000;
const PROBE_TIMEOUT = 5000;

/** What a listener needs. */
export interface ListenerOptions {
  address: string;
  /** 0 lets the system choose. */
  port: number;
  /** The host in the headers of a request to connect, if it is admitted. */
  admit(headers: proof.Headers): string | undefined;
  receive: router.Receive;
}

/** A listening server. */
export interface Listener {
  port: number;
  close(): Promise<void>;
}

/** Listens; resolves once connections are taken. */
export async function listen(options: ListenerOptions): Promise<Listener> {
  const { address, port, admit, receive } = options;
  const server = new ws.WebSocketServer({
    host: address,
    port,
    maxPayload: MOST_FRAME,
    perMessageDeflate: false,
    verifyClient: ({ req }: Upgrade) => admit(req.headers) !== undefined,
  });
  await new Promise<void>((resolve, reject) => {
    server.once("listening", resolve);
    server.once("error", (cause) => {
      const message = `Cannot listen on ${address}:${port}`;
      reject(new errors.PeerError(message, { cause }));
    });
  });
  server.on("error", () => {});
  adapter.applyWSSHandler({
    wss: server,
    router: router.createRouter(receive),
    createContext: ({ req }) => ({ host: `${req.headers[proof.HOST_HEADER]}` }),
    keepAlive: { enabled: true, pingMs: PROBE, pongWaitMs: PROBE_TIMEOUT },
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    close() {
      for (const socket of server.clients) socket.terminate();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}

interface Upgrade {
  req: { headers: proof.Headers };
}
