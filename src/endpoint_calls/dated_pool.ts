/** Connections to an endpoint that are used again at once.
 * @module */

import * as undici from "undici";
import type * as runtime from "../runtime/mod.ts";
import * as datedClients from "./dated_client.ts";

/** Options of a pool; those of each connection are undici's. */
export interface DatedPoolOptions {
  readonly connection: datedClients.ConnectionOptions;
  readonly clock: runtime.Clock;
  /** Called with the error that closed a connection. */
  onDisconnect?(error: Error): void;
}

/** Connections to one origin. */
export class DatedPool {
  readonly #pool: undici.Pool;
  readonly #clients = new Set<datedClients.DatedClient>();

  private constructor(origin: string, options: DatedPoolOptions) {
    const { connection, onDisconnect } = options;
    this.#pool = new undici.Pool(origin, {
      ...connection,
      factory: () => this.#createClient(origin, options),
    });
    this.#pool.on(
      "disconnect",
      (_origin, _targets, error) => onDisconnect?.(error),
    );
  }

  /** Creates a pool without connections. */
  static create(origin: string, options: DatedPoolOptions): DatedPool {
    return new DatedPool(origin, options);
  }

  /** Sends a call on a connection that carries no other. */
  dispatch(
    options: undici.Dispatcher.DispatchOptions,
    handler: undici.Dispatcher.DispatchHandler,
  ): boolean {
    return this.#pool.dispatch(options, handler);
  }

  /** Closes the connections once their calls are completed. */
  close(): Promise<void> {
    return this.#pool.close();
  }

  /** Closes the connections; calls in flight fail with the error. */
  destroy(error: Error | null = null): Promise<void> {
    return this.#pool.destroy(error);
  }

  /** Clients that have connections, or had. */
  get clients(): datedClients.DatedClient[] {
    return [...this.#clients];
  }

  #createClient(
    origin: string,
    options: DatedPoolOptions,
  ): undici.Client {
    const created = datedClients.DatedClient.create(origin, options);
    this.#clients.add(created);
    // The pool does not use a client again that could not connect.
    created.client.on("connectionError", () => this.#clients.delete(created));
    return created.client;
  }
}
