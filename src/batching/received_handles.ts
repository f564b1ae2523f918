/** Handles that this host has received from endpoints, and the items that they
 * are results of. An endpoint gives each result a handle of its own, so one that
 * comes again for another item is in a copy of an earlier answer.
 * @module */

import type * as tasks from "./task.ts";

/** Maximum number of handles, of which the oldest are forgotten: what all
 * endpoints of a host's partitions give in some minutes. */
const MAX_COUNT = 16_384;

/** An item, as a handle refers to it. */
type Item = Pick<tasks.Task, "request" | "stage" | "itemIndex">;

/** A handle in an answer, and the item that it answers by its position. */
export interface ReceivedHandle {
  readonly handle: string;
  readonly item: Item;
}

/** Origin of an answer by its handles. All are new in the call's `own` answer;
 * in a `repeated` one some were received before for the same items, in a
 * `foreign` one for other items. Without handles it is `unknown`. */
export type Origin = "own" | "repeated" | "foreign" | "unknown";

/** Handles by endpoint; mutable. */
export class ReceivedHandles {
  readonly #items = new Map<string, string>();

  static create(): ReceivedHandles {
    return new ReceivedHandles();
  }

  /** Records the handles in an answer of an endpoint's incarnation. */
  record(endpoint: string, received: readonly ReceivedHandle[]): Origin {
    const entries = received.map(({ handle, item }) => {
      const key = keyOf(endpoint, handle);
      return { key, known: this.#items.get(key), item: textOf(item) };
    });
    const repeated = entries.filter(({ known }) => known !== undefined);
    if (repeated.some(({ known, item }) => known !== item)) return "foreign";
    entries.forEach(({ key, item }) => this.#items.set(key, item));
    this.#evict();
    if (entries.length === 0) return "unknown";
    return repeated.length > 0 ? "repeated" : "own";
  }

  #evict(): void {
    for (const key of this.#items.keys()) {
      if (this.#items.size <= MAX_COUNT) return;
      this.#items.delete(key);
    }
  }
}

function keyOf(endpoint: string, handle: string): string {
  return `${endpoint} ${handle}`;
}

function textOf({ request, stage, itemIndex }: Item): string {
  return `${request} ${stage} ${itemIndex}`;
}
