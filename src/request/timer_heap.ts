/** Binary heap of items by due time. Obsolete items are not removed in place;
 * the user drops them when they reach the top.
 * @module */

interface Entry<T> {
  at: number;
  order: number;
  item: T;
}

/** Items ordered by due time, then by insertion. */
export class TimerHeap<T> {
  readonly #heap: Entry<T>[] = [];
  #order = 0;

  static create<T>(): TimerHeap<T> {
    return new TimerHeap();
  }

  get size(): number {
    return this.#heap.length;
  }

  add(at: number, item: T): void {
    const heap = this.#heap;
    const entry = { at, order: this.#order++, item };
    let pos = heap.length;
    while (pos > 0) {
      const parent = (pos - 1) >>> 1;
      if (before(heap[parent], entry)) break;
      heap[pos] = heap[parent];
      pos = parent;
    }
    heap[pos] = entry;
  }

  /** Due time of the first item, or Infinity. */
  get next(): number {
    return this.#heap.length === 0 ? Infinity : this.#heap[0].at;
  }

  /** The first item, or undefined. */
  peek(): T | undefined {
    return this.#heap[0]?.item;
  }

  /** Removes and returns the first item. */
  pop(): T | undefined {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined) return undefined;
    if (heap.length > 0) this.#siftDown(last);
    return first.item;
  }

  #siftDown(entry: Entry<T>): void {
    const heap = this.#heap;
    let pos = 0;
    while (true) {
      let child = 2 * pos + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && before(heap[right], heap[child])) {
        child = right;
      }
      if (before(entry, heap[child])) break;
      heap[pos] = heap[child];
      pos = child;
    }
    heap[pos] = entry;
  }
}

function before<T>(a: Entry<T>, b: Entry<T>): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
