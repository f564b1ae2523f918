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

/** What the handles of an answer say of it: those of `own` are all new, those of
 * a `repeated` one were received before for the same items, and in a `foreign`
 * one for others. An answer without handles says nothing (`unknown`). */
export type Origin = "own" | "repeated" | "foreign" | "unknown";

/** Handles by endpoint; mutable. */
export class ReceivedHandles {
  readonly #items = new Map<string, string>();

  static create(): ReceivedHandles {
    return new ReceivedHandles();
  }

  /** Records the handles in an answer of an endpoint's incarnation. */
  record(endpoint: string, received: readonly ReceivedHandle[]): Origin {
    const known = received.map(({ handle, item }) => {
      const before = this.#items.get(keyOf(endpoint, handle));
      return before === undefined ? "new" : before === textOf(item);
    });
    if (known.includes(false)) return "foreign";
    for (const { handle, item } of received) {
      this.#items.set(keyOf(endpoint, handle), textOf(item));
    }
    this.#evict();
    if (known.length === 0) return "unknown";
    return known.includes(true) ? "repeated" : "own";
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
