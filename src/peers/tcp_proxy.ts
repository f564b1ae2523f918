/** A TCP relay for tests and benchmarks: counts bytes, and can leave its
 * connections silent without closing them.
 * @module */

import * as net from "node:net";

/** Relays connections to one port of this machine. */
export class TcpProxy {
  readonly #server: net.Server;
  readonly #sockets = new Set<net.Socket>();
  /** Bytes relayed in both directions. */
  bytes = 0;
  /** Connections taken so far. */
  connections = 0;

  private constructor(target: () => number) {
    this.#server = net.createServer((near) => {
      this.connections++;
      const far = net.connect(target(), "127.0.0.1");
      this.#join(near, far);
      this.#join(far, near);
    });
  }

  /** A relay to the port that `target` says when a connection comes. */
  static async create(target: () => number): Promise<TcpProxy> {
    const relay = new TcpProxy(target);
    await new Promise<void>((resolve) =>
      relay.#server.listen(0, "127.0.0.1", resolve)
    );
    return relay;
  }

  /** Port that it listens on. */
  get port(): number {
    return (this.#server.address() as net.AddressInfo).port;
  }

  /** Leaves all present connections open, but carries nothing any more. */
  blackhole(): void {
    for (const socket of this.#sockets) {
      socket.removeAllListeners("data");
      socket.removeAllListeners("close");
      socket.resume();
    }
  }

  /** Closes all connections and stops. */
  close(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #join(from: net.Socket, to: net.Socket): void {
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
