/** Connections to endpoints, by address. An endpoint that starts again takes
 * no connection of the former incarnation: what was sent on one would break
 * off, and nobody could tell whether it has run.
 * @module */

import * as undici from "undici";

/** Connections of one host; a dispatcher that dials as addresses are named. */
export class Connections extends undici.Dispatcher {
  readonly #options: undici.Pool.Options;
  readonly #pools = new Map<string, undici.Pool>();

  private constructor(options: undici.Pool.Options) {
    super();
    this.#options = options;
  }

  /** No connections yet; `options` hold for each address. */
  static create(options: undici.Pool.Options): Connections {
    return new Connections(options);
  }

  /** Addresses that connections are kept to. */
  get addresses(): string[] {
    return [...this.#pools.keys()];
  }

  override dispatch(
    options: undici.Dispatcher.DispatchOptions,
    handler: undici.Dispatcher.DispatchHandler,
  ): boolean {
    const origin = `${options.origin}`;
    const pool = this.#pools.get(origin) ?? this.#open(origin);
    return pool.dispatch({ ...options, origin }, handler);
  }

  /** Forgets the connections to an address, where who was there has ended;
   * calls under way are finished. */
  async retire(address: string): Promise<void> {
    await this.#take(address)?.close();
  }

  /** Breaks the connections to an address off: who was there has started again,
   * and what was under way is lost. */
  async abort(address: string): Promise<void> {
    const lost = new undici.errors.SocketError("The endpoint started again");
    await this.#take(address)?.destroy(lost);
  }

  override async destroy(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #open(origin: string): undici.Pool {
    const pool = new undici.Pool(origin, this.#options);
    this.#pools.set(origin, pool);
    return pool;
  }

  #take(address: string): undici.Pool | undefined {
    const origin = `http://${address}`;
    const pool = this.#pools.get(origin);
    this.#pools.delete(origin);
    return pool;
  }
}
