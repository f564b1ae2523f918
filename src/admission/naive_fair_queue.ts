/** Reference implementation of the fair queue, for differential tests and
 * benchmarks: one list, scanned for every operation.
 * @module */

import type * as request from "../request/mod.ts";
import * as flowQueue from "./flow_queue.ts";
import * as weight from "./weight.ts";

/** Virtual time of one level of the hierarchy and the start tags of its names.
 */
class Level {
  virtual = 0;
  readonly starts = new Map<string, number>();

  startOf(name: string): number {
    return this.starts.get(name) ?? 0;
  }

  begin(name: string): void {
    this.starts.set(name, Math.max(this.startOf(name), this.virtual));
  }

  serve(name: string, charge: number, start = this.startOf(name)): void {
    this.virtual = Math.max(this.virtual, start);
    const base = Math.max(this.startOf(name), this.virtual);
    this.starts.set(name, base + charge);
  }
}

/** Makes the same decisions as `FairQueue`, in O(n) for each operation. */
export class NaiveFairQueue {
  #items: flowQueue.Item[] = [];
  #accounts = new Level();
  readonly #kinds = new Map<string, Level>();
  readonly #policies: request.Policies;

  constructor(policies: request.Policies = new Map()) {
    this.#policies = policies;
  }

  push(item: flowQueue.Item): boolean {
    if (this.#items.some((other) => other.id === item.id)) return false;
    if (item.startTag === undefined) {
      const fresh = this.#fresh().filter(({ account }) => {
        return account === item.account;
      });
      if (fresh.length === 0) this.#accounts.begin(item.account);
      const known = fresh.some(({ kind }) => kind === item.kind);
      if (!known) this.#levelOf(item.account).begin(item.kind);
    }
    this.#items.push(item);
    return true;
  }

  pop(now = Infinity): flowQueue.Item | undefined {
    const next = this.#next();
    if (next === undefined) return undefined;
    const chosen = this.#findShorter(next, now) ?? next;
    const { account, kind, work } = chosen;
    const fresh = this.#fresh();
    const kinds = fresh.filter((item) => item.account === account)
      .map((item) => this.#levelOf(account).startOf(item.kind));
    const kindStart = chosen.startTag === undefined
      ? Math.min(...kinds)
      : undefined;
    const accountStarts = fresh.map((item) =>
      this.#accounts.startOf(item.account)
    );
    const start = chosen.startTag ?? Math.min(...accountStarts);
    chosen.startTag = start;
    const share = weight.ofAccount(this.#policies, account);
    this.#accounts.serve(account, work / share, start);
    const charge = weight.chargeOf(work) / weight.ofKind(this.#policies, kind);
    this.#levelOf(account).serve(kind, charge, kindStart);
    this.#remove([chosen]);
    return chosen;
  }

  expire(now: number): flowQueue.Item[] {
    const expired = this.#items.filter((item) => item.expires < now);
    this.#remove(expired);
    return expired;
  }

  shed(): flowQueue.Item | undefined {
    const worst = first(this.#items, (a, b) => {
      const weighed = weight.ofFlow(this.#policies, a) -
        weight.ofFlow(this.#policies, b);
      if (weighed !== 0) return weighed;
      const names = compare(weight.nameOf(a), weight.nameOf(b));
      return names !== 0 ? names : flowQueue.isBefore(a, b) ? 1 : -1;
    });
    if (worst !== undefined) this.#remove([worst]);
    return worst;
  }

  remove(id: string): flowQueue.Item | undefined {
    const found = this.#items.find((item) => item.id === id);
    if (found !== undefined) this.#remove([found]);
    return found;
  }

  #fresh(): flowQueue.Item[] {
    return this.#items.filter(({ startTag }) => startTag === undefined);
  }

  #next(): flowQueue.Item | undefined {
    const retried = first(
      this.#items.filter(({ startTag }) => startTag !== undefined),
      (a, b) => {
        const starts = (a.startTag ?? 0) - (b.startTag ?? 0);
        return starts !== 0 ? starts : flowQueue.isBefore(a, b) ? -1 : 1;
      },
    );
    const fresh = first(this.#fresh(), (a, b) => this.#compareFresh(a, b));
    if (retried === undefined || fresh === undefined) return retried ?? fresh;
    const start = this.#accounts.startOf(fresh.account);
    return (retried.startTag ?? 0) <= start ? retried : fresh;
  }

  /** Fresh item in favour of which `next` is deferred. Only the first item of
   * each flow is considered. */
  #findShorter(next: flowQueue.Item, now: number): flowQueue.Item | undefined {
    if (!flowQueue.canDefer(next, now)) return undefined;
    const fresh = this.#fresh();
    const heads = fresh.filter((item) =>
      !fresh.some((other) =>
        weight.nameOf(other) === weight.nameOf(item) &&
        flowQueue.isBefore(other, item)
      )
    );
    const shorter = heads.filter((item) => flowQueue.defersTo(next, item));
    return first(shorter, (a, b) => this.#compareFresh(a, b));
  }

  #compareFresh(a: flowQueue.Item, b: flowQueue.Item): number {
    const accounts = this.#accounts.startOf(a.account) -
      this.#accounts.startOf(b.account);
    if (accounts !== 0) return accounts;
    if (a.account !== b.account) return compare(a.account, b.account);
    const level = this.#levelOf(a.account);
    const kinds = level.startOf(a.kind) - level.startOf(b.kind);
    if (kinds !== 0) return kinds;
    if (a.kind !== b.kind) return compare(a.kind, b.kind);
    return flowQueue.isBefore(a, b) ? -1 : 1;
  }

  #levelOf(account: string): Level {
    let level = this.#kinds.get(account);
    if (level === undefined) {
      level = new Level();
      this.#kinds.set(account, level);
    }
    return level;
  }

  /** Removes items. The start tags of an account's kinds are reset once it has
   * no items, and all start tags once the queue is empty. */
  #remove(removed: flowQueue.Item[]): void {
    this.#items = this.#items.filter((item) => !removed.includes(item));
    for (const { account } of removed) {
      const left = this.#items.some((item) => item.account === account);
      if (!left) this.#levelOf(account).starts.clear();
    }
    if (this.#items.length > 0) return;
    this.#accounts.starts.clear();
    this.#kinds.clear();
  }
}

function compare(a: string, b: string): number {
  return a === b ? 0 : a < b ? -1 : 1;
}

function first<T>(
  values: readonly T[],
  order: (a: T, b: T) => number,
): T | undefined {
  return values.toSorted(order)[0];
}
