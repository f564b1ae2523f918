/** Subscriptions to the events of the endpoints that a host uses.
 * @module */

import * as subscription from "./subscription.ts";

/** Endpoints that one host listens to at most: each holds a connection. */
const MOST = 1000;

/** One subscription for each endpoint. */
export class Subscriptions {
  readonly #options: subscription.Options;
  readonly #all = new Map<string, subscription.Subscription>();

  private constructor(options: subscription.Options) {
    this.#options = options;
  }

  static create(options: subscription.Options): Subscriptions {
    return new Subscriptions(options);
  }

  /** Subscribes to those that are new and leaves those that are gone. */
  replace(publishers: readonly subscription.Publisher[]): void {
    const urls = new Map(publishers.map(({ id, url }) => [id, url]));
    for (const [id, known] of this.#all) {
      if (urls.get(id) === known.url) continue;
      known.close();
      this.#all.delete(id);
    }
    for (const publisher of publishers) {
      const { id } = publisher;
      if (this.#all.size >= MOST) return;
      if (this.#all.has(id)) continue;
      this.#all.set(
        id,
        subscription.Subscription.start(publisher, this.#options),
      );
    }
  }

  /** Ends all. */
  close(): void {
    this.replace([]);
  }
}
