/** Connections to an endpoint that sends further answers behind those of its calls.
 * Each is used again only after a rest, so that such an answer comes while no call
 * waits for its own: undici then closes the connection. Calls meanwhile use others,
 * so that few new ones are opened.
 * @module */

import type * as undici from "undici";
import type * as runtime from "../runtime/mod.ts";
import * as datedClients from "./dated_client.ts";

/** Milliseconds from an answer to the next call on its connection: longer than a
 * second answer is late. */
const REST_MS = 100;

/** Options of a pool; those of each connection are undici's. */
export interface RestingPoolOptions {
  readonly connection: datedClients.ConnectionOptions;
  readonly clock: runtime.Clock;
  /** Called with the error that closed a connection. */
  onDisconnect(error: Error): void;
}

/** A client with one connection at most. */
interface Place {
  readonly dated: datedClients.DatedClient;
  isBusy: boolean;
  restedAt: number;
}

/** Connections to one origin. */
export class RestingPool {
  readonly #origin: string;
  readonly #options: RestingPoolOptions;
  readonly #places = new Set<Place>();

  private constructor(origin: string, options: RestingPoolOptions) {
    this.#origin = origin;
    this.#options = options;
  }

  /** Creates a pool without connections. */
  static create(origin: string, options: RestingPoolOptions): RestingPool {
    return new RestingPool(origin, options);
  }

  /** Sends a call on a connection that has rested, or on a new one. */
  dispatch(
    options: undici.Dispatcher.DispatchOptions,
    handler: undici.Dispatcher.DispatchHandler,
  ): boolean {
    const place = this.#restedPlace() ?? this.#open();
    place.isBusy = true;
    return place.dated.client.dispatch(options, handler);
  }

  /** Closes the connections once their calls are completed. */
  async close(): Promise<void> {
    const places = [...this.#places];
    await Promise.all(places.map(({ dated }) => dated.client.close()));
  }

  /** Closes the connections; calls in flight fail with the error. */
  async destroy(error: Error | null = null): Promise<void> {
    const places = [...this.#places];
    await Promise.all(places.map(({ dated }) => dated.client.destroy(error)));
  }

  /** Clients that have connections, or had. */
  get clients(): datedClients.DatedClient[] {
    return [...this.#places].map(({ dated }) => dated);
  }

  /** The place that has rested for the shortest time, so that those which are not
   * needed reach their idle timeout. */
  #restedPlace(): Place | undefined {
    const now = this.#options.clock.now();
    let latest: Place | undefined;
    for (const place of this.#places) {
      if (place.isBusy || place.restedAt > now) continue;
      if (latest === undefined || place.restedAt > latest.restedAt) {
        latest = place;
      }
    }
    return latest;
  }

  #open(): Place {
    const dated = datedClients.DatedClient.create(this.#origin, this.#options);
    const { client } = dated;
    const { onDisconnect } = this.#options;
    client.on("disconnect", (_origin, _targets, error) => onDisconnect(error));
    const place = { dated, isBusy: false, restedAt: -Infinity };
    // Emitted once its call has ended, whatever its end.
    client.on("drain", () => this.#release(place));
    this.#places.add(place);
    return place;
  }

  #release(place: Place): void {
    place.isBusy = false;
    place.restedAt = this.#options.clock.now() + REST_MS;
  }
}
