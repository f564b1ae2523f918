/** Memoization that is invalidated when the dependencies change.
 * @module */

/** Cached values by key; mutable. */
export class Memo<T> {
  #dependencies: readonly unknown[] = [];
  readonly #values = new Map<string, T>();

  /** Creates an empty cache. */
  static create<T>(): Memo<T> {
    return new Memo();
  }

  /** Returns the value of a key. `dependencies` are what the values are derived
   * from, beside the key: all values are discarded when one of them is not
   * identical to the previous one. */
  get(key: string, dependencies: readonly unknown[], compute: () => T): T {
    const isSame = dependencies.length === this.#dependencies.length &&
      dependencies.every((dependency, pos) =>
        dependency === this.#dependencies[pos]
      );
    if (!isSame) {
      this.#dependencies = dependencies;
      this.#values.clear();
    }
    if (!this.#values.has(key)) this.#values.set(key, compute());
    return this.#values.get(key)!;
  }
}
