/** Prompt parts that endpoints have written whole answers on, as far as one host
 * remembers.
 * @module */

/** Maximum number of parts; the least recently answered go first. */
const MAX_PARTS = 4096;

/** A bounded count of answers by the fingerprint of the part. Mutable. */
export class AnsweredParts {
  /** In the order of their last answers. */
  readonly #counts = new Map<string, number>();

  static create(): AnsweredParts {
    return new AnsweredParts();
  }

  /** Number of answers on a part; 0 for one that is not remembered. */
  countOf(part: string): number {
    return this.#counts.get(part) ?? 0;
  }

  /** Records an answer on some parts. */
  add(parts: readonly string[]): void {
    for (const part of parts) {
      const count = this.countOf(part) + 1;
      this.#counts.delete(part);
      this.#counts.set(part, count);
    }
    for (const oldest of this.#counts.keys()) {
      if (this.#counts.size <= MAX_PARTS) return;
      this.#counts.delete(oldest);
    }
  }
}
