/** Indexed binary heap: each value stores its position, so that any value can
 * be removed in O(log n).
 * @module */

/** Order of a heap's values, and access to the position stored in a value. */
export interface Order<T> {
  less(a: T, b: T): boolean;
  /** Position of the value, -1 when it is not in the heap. */
  position(value: T): number;
  setPosition(value: T, pos: number): void;
}

/** Min-heap of values ordered by `Order.less`. */
export class Heap<T> {
  readonly #order: Order<T>;
  readonly #values: T[] = [];

  private constructor(order: Order<T>) {
    this.#order = order;
  }

  static create<T>(order: Order<T>): Heap<T> {
    return new Heap(order);
  }

  get size(): number {
    return this.#values.length;
  }

  /** Returns the least value without removing it. */
  peek(): T | undefined {
    return this.#values[0];
  }

  push(value: T): void {
    this.#values.push(value);
    this.#up(this.#values.length - 1, value);
  }

  /** Removes and returns the least value. */
  pop(): T | undefined {
    const least = this.#values[0];
    if (least !== undefined) this.remove(least);
    return least;
  }

  /** Removes `value`; returns false when it is not in the heap. */
  remove(value: T): boolean {
    const pos = this.#order.position(value);
    if (pos < 0) return false;
    this.#order.setPosition(value, -1);
    const last = this.#values.pop() as T;
    if (pos < this.#values.length) this.#settle(pos, last);
    return true;
  }

  /** Restores the heap order after the key of `value` has changed. */
  update(value: T): void {
    const pos = this.#order.position(value);
    if (pos >= 0) this.#settle(pos, value);
  }

  #settle(pos: number, value: T): void {
    this.#up(pos, value);
    this.#down(this.#order.position(value), value);
  }

  #up(start: number, value: T): void {
    let pos = start;
    while (pos > 0) {
      const parent = (pos - 1) >>> 1;
      if (!this.#order.less(value, this.#values[parent])) break;
      this.#set(pos, this.#values[parent]);
      pos = parent;
    }
    this.#set(pos, value);
  }

  #down(start: number, value: T): void {
    const size = this.#values.length;
    let pos = start;
    while (true) {
      let child = 2 * pos + 1;
      if (child >= size) break;
      const right = child + 1;
      if (
        right < size &&
        this.#order.less(this.#values[right], this.#values[child])
      ) child = right;
      if (!this.#order.less(this.#values[child], value)) break;
      this.#set(pos, this.#values[child]);
      pos = child;
    }
    this.#set(pos, value);
  }

  #set(pos: number, value: T): void {
    this.#values[pos] = value;
    this.#order.setPosition(value, pos);
  }
}
