/** HTTP server on 127.0.0.1 whose open connections can be made silent: what
 * arrives on them is swallowed, and nothing leaves.
 * @module */

import * as http from "node:http";
import type * as net from "node:net";

/** Address that every stand-in listens on. */
export const ADDRESS = "127.0.0.1";
const LARGEST_BODY = 64 * 1024 * 1024;

/** A request with its whole body. */
export interface Incoming {
  method: string;
  url: URL;
  headers: http.IncomingHttpHeaders;
  body: string;
  reply: Reply;
}

/** Handles a request; an error becomes status 500. */
export type Listener = (incoming: Incoming) => void | Promise<void>;

/** Something went wrong in a stand-in. */
export class StandInError extends Error {
  override readonly name: string = "StandInError";
}

/** Answer to one request. */
export class Reply {
  readonly #response: http.ServerResponse;
  readonly #silent: WeakSet<net.Socket>;
  readonly #socket: net.Socket;

  constructor(response: http.ServerResponse, silent: WeakSet<net.Socket>) {
    this.#response = response;
    this.#silent = silent;
    this.#socket = response.req.socket;
  }

  /** Whether the connection has gone silent. */
  get silent(): boolean {
    return this.#silent.has(this.#socket);
  }

  /** Calls back once if the other side leaves before the answer ends. */
  onCancel(callback: () => void): void {
    this.#response.once("close", () => {
      if (!this.#response.writableFinished) callback();
    });
  }

  /** Sends status and headers. */
  head(status: number, headers: http.OutgoingHttpHeaders): void {
    if (this.silent || this.#response.destroyed) return;
    this.#response.writeHead(status, headers);
  }

  /** Sends a part of the body. */
  write(text: string): void {
    if (this.silent || this.#response.destroyed) return;
    this.#response.write(text);
  }

  /** Ends the answer. */
  end(text?: string): void {
    if (this.silent || this.#response.destroyed) return;
    this.#response.end(text);
  }

  /** Sends a whole JSON answer. */
  json(
    status: number,
    value: unknown,
    headers: http.OutgoingHttpHeaders = {},
  ): void {
    this.head(status, { "content-type": "application/json", ...headers });
    this.end(JSON.stringify(value));
  }

  /** Sends one server-sent event. */
  event(data: unknown, name?: string): void {
    const line = typeof data === "string" ? data : JSON.stringify(data);
    this.write(
      `${name === undefined ? "" : `event: ${name}\n`}data: ${line}\n\n`,
    );
  }

  /** Breaks the connection. */
  destroy(): void {
    this.#response.destroy();
  }
}

/** A server that is stopped until it is started. */
export class Server {
  readonly #http: http.Server;
  readonly #sockets = new Set<net.Socket>();
  readonly #silent = new WeakSet<net.Socket>();
  #port = 0;
  #swallowed = 0;

  constructor(listener: Listener) {
    this.#http = http.createServer((request, response) => {
      const reply = new Reply(response, this.#silent);
      if (reply.silent) this.#swallowed++;
      answer(request, { reply, listener }).catch(() => reply.destroy());
    });
    // Idle connections stay open, as the fault of silent ones needs.
    this.#http.keepAliveTimeout = 0;
    this.#http.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
      socket.on("error", () => socket.destroy());
    });
  }

  /** Base URL; known once the server has started. */
  get url(): string {
    return `http://${ADDRESS}:${this.#port}`;
  }

  /** Requests that arrived on silent connections. */
  get swallowed(): number {
    return this.#swallowed;
  }

  /** Listens on `port`, or on a free one. */
  async start(port = 0): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#http.once("error", reject);
      this.#http.listen(port, ADDRESS, resolve);
    });
    this.#port = (this.#http.address() as net.AddressInfo).port;
  }

  /** Breaks all connections and stops. */
  async stop(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#http.close(() => resolve())
    );
    this.disconnect();
    await closed;
  }

  /** Breaks all connections, as the death of a process does. */
  disconnect(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Makes the open connections that `choose` picks silent for good. */
  silence(choose: () => boolean): void {
    for (const socket of this.#sockets) {
      if (choose()) this.#silent.add(socket);
    }
  }
}

async function answer(
  request: http.IncomingMessage,
  { reply, listener }: { reply: Reply; listener: Listener },
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://stand-in");
  const body = await read(request);
  if (reply.silent) return;
  try {
    const { method = "GET", headers } = request;
    await listener({ method, url, headers, body, reply });
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    reply.json(error instanceof SyntaxError ? 400 : 500, { detail });
  }
}

async function read(request: http.IncomingMessage): Promise<string> {
  const parts: Uint8Array[] = [];
  let size = 0;
  for await (const part of request) {
    size += part.length;
    if (size > LARGEST_BODY) throw new StandInError("The body is too large");
    parts.push(part);
  }
  return Buffer.concat(parts).toString("utf8");
}
