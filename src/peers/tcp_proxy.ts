/** A TCP proxy for tests and benchmarks, which counts bytes and can drop all
 * traffic without closing its connections.
 * @module */

import * as net from "node:net";

/** Forwards connections to a port on this machine. */
export class TcpProxy {
  readonly #server: net.Server;
  readonly #sockets = new Set<net.Socket>();
  /** Bytes forwarded in both directions. */
  bytes = 0;
  /** Connections accepted so far. */
  connections = 0;

  private constructor(target: () => number) {
    this.#server = net.createServer((client) => {
      this.connections++;
      const upstream = net.connect(target(), "127.0.0.1");
      this.#pipe(client, upstream);
      this.#pipe(upstream, client);
    });
  }

  /** Starts a proxy; `target` returns the port to connect to for each new
   * connection. */
  static async create(target: () => number): Promise<TcpProxy> {
    const proxy = new TcpProxy(target);
    await new Promise<void>((resolve) =>
      proxy.#server.listen(0, "127.0.0.1", resolve)
    );
    return proxy;
  }

  /** Port that the proxy listens on. */
  get port(): number {
    return (this.#server.address() as net.AddressInfo).port;
  }

  /** Keeps the current connections open but discards their traffic. */
  blackhole(): void {
    for (const socket of this.#sockets) {
      socket.removeAllListeners("data");
      socket.removeAllListeners("close");
      socket.resume();
    }
  }

  /** Closes the current connections. */
  reset(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Closes all connections and stops. */
  close(): Promise<void> {
    this.reset();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #pipe(from: net.Socket, to: net.Socket): void {
    this.#sockets.add(from);
    from.on("data", (chunk) => {
      this.bytes += chunk.length;
      to.write(chunk);
    });
    from.on("error", () => {});
    from.on("close", () => {
      this.#sockets.delete(from);
      to.destroy();
    });
  }
}
