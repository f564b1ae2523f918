/** Subscriptions to the events of the endpoints that a host uses.
 * @module */

import * as subscription from "./subscription.ts";

/** Limit of subscriptions, since each holds a connection. */
const MAX_SUBSCRIPTIONS = 1000;

/** One subscription for each endpoint. */
export class Subscriptions {
  readonly #options: subscription.Options;
  readonly #subscriptions = new Map<string, subscription.Subscription>();

  private constructor(options: subscription.Options) {
    this.#options = options;
  }

  static create(options: subscription.Options): Subscriptions {
    return new Subscriptions(options);
  }

  /** Subscribes to new endpoints and unsubscribes from removed ones. */
  replace(publishers: readonly subscription.Publisher[]): void {
    const urls = new Map(publishers.map(({ id, url }) => [id, url]));
    for (const [id, existing] of this.#subscriptions) {
      if (urls.get(id) === existing.url) continue;
      existing.close();
      this.#subscriptions.delete(id);
    }
    for (const publisher of publishers) {
      const { id } = publisher;
      if (this.#subscriptions.size >= MAX_SUBSCRIPTIONS) return;
      if (this.#subscriptions.has(id)) continue;
      this.#subscriptions.set(
        id,
        subscription.Subscription.start(publisher, this.#options),
      );
    }
  }

  /** Ends all subscriptions. */
  close(): void {
    this.replace([]);
  }
}
