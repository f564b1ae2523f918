/** Bytes of all request bodies that a host holds, with one bound for them together.
 * Above it, bodies that are still arriving are evicted, as nothing of them has been
 * passed on: first of the account that holds the most, and there the body that has
 * grown least recently. So neither bodies that stop short of their end nor the
 * bodies of one account keep out a body that goes on arriving.
 * @module */

/** A request's body, from its first byte until its request ends. */
export interface HeldBody {
  /** Client account of the request; those of requests without one count as those
   * of one account. */
  readonly account?: string;
  /** Ends the request and frees what is held of the body. */
  evict(heldBytes: number): void;
}

/** Size of a ledger. */
export interface BodyLedgerOptions {
  /** Most bytes that the bodies may take now. */
  bound(): number;
}

/** What the bodies of one account take. */
interface AccountBodies {
  bytes: number;
  /** Bodies that are not complete, the one that has grown least recently first. */
  readonly arriving: Set<HeldBody>;
}

/** Bytes by body; changed in place. */
export class BodyLedger {
  readonly #options: BodyLedgerOptions;
  readonly #bytes = new Map<HeldBody, number>();
  readonly #accounts = new Map<string | undefined, AccountBodies>();
  #sum = 0;

  private constructor(options: BodyLedgerOptions) {
    this.#options = options;
  }

  static create(options: BodyLedgerOptions): BodyLedger {
    return new BodyLedger(options);
  }

  /** Bytes that all bodies take. */
  get sum(): number {
    return this.#sum;
  }

  /** Number of bodies. */
  get size(): number {
    return this.#bytes.size;
  }

  /** Records that a body has grown; evicts bodies, maybe this one, while all of
   * them together take too much. The only body is never evicted: one has a bound
   * of its own. */
  grow(body: HeldBody, bytes: number): void {
    const { arriving } = this.#set(body, bytes);
    arriving.delete(body);
    arriving.add(body);
    this.#evictExcess();
  }

  /** Records that a body is complete and takes so many bytes until its request
   * ends; evicts others that are arriving. */
  complete(body: HeldBody, bytes: number): void {
    this.#set(body, bytes).arriving.delete(body);
    this.#evictExcess();
  }

  #evictExcess(): void {
    while (this.#sum > this.#options.bound() && this.#bytes.size > 1) {
      const victim = this.#nextVictim();
      if (victim === undefined) return;
      const heldBytes = this.#bytes.get(victim)!;
      this.remove(victim);
      victim.evict(heldBytes);
    }
  }

  /** Records that nothing is held of a body any more. */
  remove(body: HeldBody): void {
    if (!this.#bytes.has(body)) return;
    const account = this.#set(body, 0);
    this.#bytes.delete(body);
    account.arriving.delete(body);
    if (account.bytes === 0) this.#accounts.delete(body.account);
  }

  #set(body: HeldBody, bytes: number): AccountBodies {
    const account = this.#accountOf(body);
    const added = bytes - (this.#bytes.get(body) ?? 0);
    this.#bytes.set(body, bytes);
    this.#sum += added;
    account.bytes += added;
    return account;
  }

  #accountOf({ account: name }: HeldBody): AccountBodies {
    const known = this.#accounts.get(name);
    if (known !== undefined) return known;
    const account = { bytes: 0, arriving: new Set<HeldBody>() };
    this.#accounts.set(name, account);
    return account;
  }

  #nextVictim(): HeldBody | undefined {
    let largest: AccountBodies | undefined;
    for (const account of this.#accounts.values()) {
      if (account.arriving.size === 0) continue;
      if (largest === undefined || account.bytes > largest.bytes) {
        largest = account;
      }
    }
    return largest?.arriving.values().next().value;
  }
}
