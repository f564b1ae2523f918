/** Connection pools by endpoint address. Connections to a former incarnation of
 * an endpoint are not reused: a request sent on one would fail with an unknown
 * outcome.
 * @module */

import * as undici from "undici";
import type * as runtime from "../runtime/mod.ts";
import * as datedClients from "./dated_client.ts";
import * as datedPools from "./dated_pool.ts";
import * as restingPools from "./resting_pool.ts";

/** Milliseconds for which the connections of an endpoint rest between calls, since
 * it last sent an answer that was not due. */
const REST_PERIOD_MS = 30_000;

/** Milliseconds from the first report of a process until connections are given up on
 * which nothing has come since: as long as some hosts take to learn of it. */
const SIGN_PERIOD_MS = 500;

/** Decides which open connections to an endpoint, given by its address, may be
 * used for new calls. */
export interface ReusePolicy {
  /** Connections may be used while this value is the one at their opening. */
  epochOf(address: string): string;
  /** Whether connections opened at `openedAt` may all be dead. */
  isSilent(address: string, openedAt: number): boolean;
  /** A call to the endpoint broke or was not answered. */
  suspect(address: string): void;
  /** The endpoint at the address has ended. */
  forget(address: string): void;
}

/** Dependencies of connection pools. */
export interface ConnectionsOptions {
  /** Options of each pool. */
  readonly pool: undici.Pool.Options;
  readonly clock: runtime.Clock;
  readonly reuse: ReusePolicy;
  /** Called when an address first sends an answer that is not due, and when it does
   * so again after a while without. */
  onExtraAnswer?(address: string): void;
}

/** Pool of an address whose answers all come when they are due, or not. */
type Pool = datedPools.DatedPool | restingPools.RestingPool;

/** Connections to one address. */
interface AddressPool {
  readonly pool: Pool;
  readonly isResting: boolean;
  readonly epoch: string;
  readonly openedAt: number;
}

/** Connection pools of one host; an undici dispatcher that opens a pool on the
 * first request to an address, and another one when the connections of the
 * first may no longer be used. A request with `reset` has a connection of its
 * own. */
export class Connections extends undici.Dispatcher {
  readonly #options: ConnectionsOptions;
  /** Options of each connection. */
  readonly #connection: datedClients.ConnectionOptions;
  readonly #pools = new Map<string, AddressPool>();
  /** Pools that are closed once their calls in flight are completed, by origin. */
  readonly #closing = new Map<Pool, string>();
  /** Times until which connections rest between calls, by origin. */
  readonly #restingUntil = new Map<string, number>();

  private constructor(options: ConnectionsOptions) {
    super();
    this.#options = options;
    const { connect } = options.pool;
    this.#connection = {
      ...options.pool,
      connect: typeof connect === "function"
        ? connect
        : undici.buildConnector({ ...connect }),
    };
  }

  /** Creates a dispatcher without connections. */
  static create(options: ConnectionsOptions): Connections {
    return new Connections(options);
  }

  /** Addresses with a connection pool. */
  get addresses(): string[] {
    return [...this.#pools.keys()].map(addressOf);
  }

  override dispatch(
    options: undici.Dispatcher.DispatchOptions,
    handler: undici.Dispatcher.DispatchHandler,
  ): boolean {
    const origin = `${options.origin}`;
    if (options.reset) {
      return this.#dispatchOnOwnConnection({ ...options, origin }, handler);
    }
    const pool = this.#usablePool(origin) ?? this.#openPool(origin);
    return pool.dispatch({ ...options, origin }, handler);
  }

  /** Sends a call on a connection that carries no other. */
  #dispatchOnOwnConnection(
    options: undici.Dispatcher.DispatchOptions & { readonly origin: string },
    handler: undici.Dispatcher.DispatchHandler,
  ): boolean {
    const pool = datedPools.DatedPool.create(options.origin, {
      connection: this.#connection,
      clock: this.#options.clock,
    });
    const isReady = pool.dispatch(options, handler);
    void this.#closeOnceIdle(pool, options.origin);
    return isReady;
  }

  /** Records that a call broke or was not answered: new calls use new
   * connections. */
  recordBreak(origin: string): void {
    this.#options.reuse.suspect(addressOf(origin));
  }

  /** Records that an endpoint has sent an answer that was not due: its connections
   * rest between calls. */
  recordExtraAnswer(origin: string): void {
    const isKnown = this.#isResting(origin);
    const now = this.#options.clock.now();
    this.#restingUntil.set(origin, now + REST_PERIOD_MS);
    if (!isKnown) this.#options.onExtraAnswer?.(addressOf(origin));
  }

  /** Opens new connections for later calls to an origin: on the present ones an
   * answer may arrive that is not that of its call. */
  renew(origin: string): void {
    void this.#closePool(origin);
  }

  /** Closes the pool of an address whose endpoint has left; calls in flight are
   * completed. */
  async retire(address: string): Promise<void> {
    this.#options.reuse.forget(address);
    this.#restingUntil.delete(originOf(address));
    await this.#closePool(originOf(address));
  }

  /** Destroys the connections to an address whose endpoint has restarted; calls in
   * flight on them fail. Its present process was first heard of at `successorSince`:
   * connections that were opened since, or on which something comes within a while,
   * are closed once their calls are completed. Resolves with what became of those
   * that had any. */
  async abort(
    address: string,
    { successorSince = Infinity }: { readonly successorSince?: number } = {},
  ): Promise<datedClients.Parted> {
    this.#options.reuse.forget(address);
    this.#restingUntil.delete(originOf(address));
    const error = new undici.errors.SocketError(
      "endpoint restarted; its former connections are closed",
    );
    const origin = originOf(address);
    void this.#closePool(origin);
    const pools = [...this.#closing]
      .filter(([, each]) => each === origin)
      .map(([pool]) => pool);
    if (successorSince < Infinity) await this.#waitForSigns(successorSince);
    const clients = pools.flatMap((pool) => pool.clients);
    const since = successorSince;
    return await datedClients.destroyFormer(clients, { since, error });
  }

  /** Resolves once connections to a process that was heard of at a time have mostly
   * brought something. */
  #waitForSigns(since: number): Promise<void> {
    const { clock } = this.#options;
    const rest = since + SIGN_PERIOD_MS - clock.now();
    if (rest <= 0) return Promise.resolve();
    return new Promise((resolve) => clock.after(rest, resolve));
  }

  override async destroy(): Promise<void> {
    const open = [...this.#pools.values()].map(({ pool }) => pool);
    const pools = [...open, ...this.#closing.keys()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  /** The pool of an address if its connections may be used; otherwise it is
   * closed once its calls in flight are completed. */
  #usablePool(origin: string): Pool | undefined {
    const known = this.#pools.get(origin);
    if (known === undefined) return undefined;
    const { reuse } = this.#options;
    const address = addressOf(origin);
    const { pool, epoch, openedAt, isResting } = known;
    const isUsable = isResting === this.#isResting(origin) &&
      epoch === reuse.epochOf(address) &&
      !reuse.isSilent(address, openedAt);
    if (isUsable) return pool;
    void this.#closePool(origin);
    return undefined;
  }

  /** Closes the pool of an origin once its calls in flight are completed, or once
   * it is destroyed. */
  async #closePool(origin: string): Promise<void> {
    const pool = this.#removePool(origin);
    if (pool === undefined) return;
    await this.#closeOnceIdle(pool, origin);
  }

  async #closeOnceIdle(pool: Pool, origin: string): Promise<void> {
    this.#closing.set(pool, origin);
    await pool.close();
    this.#closing.delete(pool);
  }

  #openPool(origin: string): Pool {
    const { clock, reuse } = this.#options;
    const isResting = this.#isResting(origin);
    const pool = isResting
      ? this.#createRestingPool(origin)
      : this.#createPool(origin);
    const epoch = reuse.epochOf(addressOf(origin));
    const openedAt = clock.now();
    this.#pools.set(origin, { pool, isResting, epoch, openedAt });
    return pool;
  }

  #createPool(origin: string): datedPools.DatedPool {
    return datedPools.DatedPool.create(origin, this.#poolOptions(origin));
  }

  #createRestingPool(origin: string): restingPools.RestingPool {
    return restingPools.RestingPool.create(origin, this.#poolOptions(origin));
  }

  #poolOptions(origin: string): restingPools.RestingPoolOptions {
    return {
      connection: this.#connection,
      clock: this.#options.clock,
      onDisconnect: (error) => this.#recordDisconnect(origin, error),
    };
  }

  #recordDisconnect(origin: string, error: Error): void {
    if (isUnexpectedAnswer(error)) this.recordExtraAnswer(origin);
  }

  #isResting(origin: string): boolean {
    const until = this.#restingUntil.get(origin);
    if (until === undefined) return false;
    if (this.#options.clock.now() < until) return true;
    this.#restingUntil.delete(origin);
    return false;
  }

  #removePool(origin: string): Pool | undefined {
    const known = this.#pools.get(origin);
    this.#pools.delete(origin);
    return known?.pool;
  }
}

const SCHEME = "http://";

function originOf(address: string): string {
  return SCHEME + address;
}

function addressOf(origin: string): string {
  return origin.slice(SCHEME.length);
}

/** Whether undici closed a connection as an answer began while no call waited for
 * one; its only sign of that is the message. */
function isUnexpectedAnswer(error: Error): boolean {
  return error instanceof undici.errors.SocketError &&
    error.message === "bad response";
}
