/** Bytes that several holders keep in memory, with a bound on their sum.
 * @module */

/** Largest holders in the state dump. */
const DUMPED_HOLDERS = 10;

/** Size of a ledger. */
export interface ByteLedgerOptions {
  /** Memory of the host in bytes; without it, or with 0, there is no bound. */
  readonly memory?: number;
  /** Part of the memory that the holders may take together. */
  readonly share: number;
}

/** Bytes by holder; changed in place. */
export class ByteLedger<Holder> {
  /** Most bytes that the holders may keep together. */
  readonly bound: number;
  readonly #bytes = new Map<Holder, number>();
  #sum = 0;

  private constructor({ memory, share }: ByteLedgerOptions) {
    this.bound = share * (memory || Infinity);
  }

  static create<Holder>(options: ByteLedgerOptions): ByteLedger<Holder> {
    return new ByteLedger(options);
  }

  /** Bytes that all holders keep. */
  get sum(): number {
    return this.#sum;
  }

  /** Records how many bytes a holder keeps now. */
  update(holder: Holder, bytes: number): void {
    this.#sum += bytes - (this.#bytes.get(holder) ?? 0);
    if (bytes > 0) this.#bytes.set(holder, bytes);
    else this.#bytes.delete(holder);
  }

  /** Records that a holder keeps nothing any more; returns whether it did. */
  remove(holder: Holder): boolean {
    this.#sum -= this.#bytes.get(holder) ?? 0;
    return this.#bytes.delete(holder);
  }

  /** Removes the largest holders, one after another, until the sum is within the
   * bound; `end` has to free what each keeps. */
  removeExcess(end: (holder: Holder, bytes: number) => void): void {
    while (this.#sum > this.bound && this.#bytes.size > 0) {
      const [largest, bytes] = [...this.#bytes].reduce((one, other) =>
        other[1] > one[1] ? other : one
      );
      this.remove(largest);
      end(largest, bytes);
    }
  }

  /** Number of holders and what the largest keep, for the state dump. */
  dump(): { holders: number; bound?: number; largest: readonly number[] } {
    const largest = [...this.#bytes.values()].sort((one, other) => other - one);
    return {
      ...(this.bound < Infinity && { bound: this.bound }),
      holders: this.#bytes.size,
      largest: largest.slice(0, DUMPED_HOLDERS),
    };
  }
}
