/** Connection pools by endpoint address. Connections to a former incarnation of
 * an endpoint are not reused: a request sent on one would fail with an unknown
 * outcome.
 * @module */

import * as undici from "undici";

/** Connection pools of one host; an undici dispatcher that opens a pool on the
 * first request to an address. */
export class Connections extends undici.Dispatcher {
  readonly #options: undici.Pool.Options;
  readonly #pools = new Map<string, undici.Pool>();

  private constructor(options: undici.Pool.Options) {
    super();
    this.#options = options;
  }

  /** Creates a dispatcher without connections; `options` apply to each pool. */
  static create(options: undici.Pool.Options): Connections {
    return new Connections(options);
  }

  /** Addresses with a connection pool. */
  get addresses(): string[] {
    return [...this.#pools.keys()];
  }

  override dispatch(
    options: undici.Dispatcher.DispatchOptions,
    handler: undici.Dispatcher.DispatchHandler,
  ): boolean {
    const origin = `${options.origin}`;
    const pool = this.#pools.get(origin) ?? this.#openPool(origin);
    return pool.dispatch({ ...options, origin }, handler);
  }

  /** Closes the pool of an address whose endpoint has left; calls in flight are
   * completed. */
  async retire(address: string): Promise<void> {
    await this.#removePool(address)?.close();
  }

  /** Destroys the pool of an address whose endpoint has restarted; calls in
   * flight fail. */
  async abort(address: string): Promise<void> {
    const error = new undici.errors.SocketError(
      "endpoint restarted; its former connections are closed",
    );
    await this.#removePool(address)?.destroy(error);
  }

  override async destroy(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #openPool(origin: string): undici.Pool {
    const pool = new undici.Pool(origin, this.#options);
    this.#pools.set(origin, pool);
    return pool;
  }

  #removePool(address: string): undici.Pool | undefined {
    const origin = `http://${address}`;
    const pool = this.#pools.get(origin);
    this.#pools.delete(origin);
    return pool;
  }
}
