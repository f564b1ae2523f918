/** Prompt parts that endpoints have written whole answers on, as far as one host
 * remembers.
 * @module */

/** Maximum number of parts; the least recently answered go first. */
const MAX_PARTS = 4096;

/** A bounded set of fingerprints of parts. Mutable. */
export class AnsweredParts {
  /** In the order of their last answers. */
  readonly #parts = new Set<string>();

  static create(): AnsweredParts {
    return new AnsweredParts();
  }

  has(part: string): boolean {
    return this.#parts.has(part);
  }

  /** Records an answer on some parts. */
  add(parts: readonly string[]): void {
    for (const part of parts) {
      this.#parts.delete(part);
      this.#parts.add(part);
    }
    for (const oldest of this.#parts) {
      if (this.#parts.size <= MAX_PARTS) return;
      this.#parts.delete(oldest);
    }
  }
}
