/** Values that are computed once while what they are derived from is the same.
 * @module */

/** Values by key; changed in place. */
export class Memo<T> {
  #basis: readonly unknown[] = [];
  readonly #values = new Map<string, T>();

  static create<T>(): Memo<T> {
    return new Memo();
  }

  /** The value of a key. `basis` is what it is derived from beside the key: all
   * values are forgotten when one of its parts is another one. */
  get(key: string, basis: readonly unknown[], compute: () => T): T {
    const isSame = basis.length === this.#basis.length &&
      basis.every((part, pos) => part === this.#basis[pos]);
    if (!isSame) {
      this.#basis = basis;
      this.#values.clear();
    }
    if (!this.#values.has(key)) this.#values.set(key, compute());
    return this.#values.get(key)!;
  }
}
