/** Naive twin of the fair queue, for differential tests and ratios: one list,
 * scanned for every operation.
 * @module */

import type * as request from "../request/mod.ts";
import * as lane from "./flow_queue.ts";
import * as weight from "./weight.ts";

/** Virtual time of one level and where each name stands in it. */
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

/** Same decisions as `FairQueue`, in O(n) an operation. */
export class NaiveFairQueue {
  #items: lane.Item[] = [];
  #accounts = new Level();
  readonly #kinds = new Map<string, Level>();
  readonly #policies: request.Policies;

  constructor(policies: request.Policies = new Map()) {
    this.#policies = policies;
  }

  push(item: lane.Item): boolean {
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

  pop(now = Infinity): lane.Item | undefined {
    const turn = this.#first();
    if (turn === undefined) return undefined;
    const first = this.#shorter(turn, now) ?? turn;
    const { account, kind, work } = first;
    const fresh = this.#fresh();
    const kinds = fresh.filter((item) => item.account === account)
      .map((item) => this.#levelOf(account).startOf(item.kind));
    const inner = first.startTag === undefined ? Math.min(...kinds) : undefined;
    const least = fresh.map((item) => this.#accounts.startOf(item.account));
    const start = first.startTag ?? Math.min(...least);
    first.startTag = start;
    const share = weight.ofAccount(this.#policies, account);
    this.#accounts.serve(account, work / share, start);
    const charge = weight.chargeOf(work) / weight.ofKind(this.#policies, kind);
    this.#levelOf(account).serve(kind, charge, inner);
    this.#take([first]);
    return first;
  }

  expire(now: number): lane.Item[] {
    const gone = this.#items.filter((item) => item.expires < now);
    this.#take(gone);
    return gone;
  }

  shed(): lane.Item | undefined {
    const worst = least(this.#items, (a, b) => {
      const weighed = weight.ofFlow(this.#policies, a) -
        weight.ofFlow(this.#policies, b);
      if (weighed !== 0) return weighed;
      const names = compare(weight.nameOf(a), weight.nameOf(b));
      return names !== 0 ? names : lane.isBefore(a, b) ? 1 : -1;
    });
    if (worst !== undefined) this.#take([worst]);
    return worst;
  }

  remove(id: string): lane.Item | undefined {
    const found = this.#items.find((item) => item.id === id);
    if (found !== undefined) this.#take([found]);
    return found;
  }

  #fresh(): lane.Item[] {
    return this.#items.filter(({ startTag: start }) => start === undefined);
  }

  #first(): lane.Item | undefined {
    const retried = least(
      this.#items.filter(({ startTag: start }) => start !== undefined),
      (a, b) => {
        const starts = (a.startTag ?? 0) - (b.startTag ?? 0);
        return starts !== 0 ? starts : lane.isBefore(a, b) ? -1 : 1;
      },
    );
    const fresh = least(this.#fresh(), (a, b) => this.#compareFresh(a, b));
    if (retried === undefined || fresh === undefined) return retried ?? fresh;
    const start = this.#accounts.startOf(fresh.account);
    return (retried.startTag ?? 0) <= start ? retried : fresh;
  }

  /** The fresh item that goes before a patient one. Of each flow only the
   * first counts. */
  #shorter(turn: lane.Item, now: number): lane.Item | undefined {
    if (!lane.canDefer(turn, now)) return undefined;
    const fresh = this.#fresh();
    const heads = fresh.filter((item) =>
      !fresh.some((other) =>
        weight.nameOf(other) === weight.nameOf(item) &&
        lane.isBefore(other, item)
      )
    );
    const shorter = heads.filter((item) => lane.defersTo(turn, item));
    return least(shorter, (a, b) => this.#compareFresh(a, b));
  }

  #compareFresh(a: lane.Item, b: lane.Item): number {
    const accounts = this.#accounts.startOf(a.account) -
      this.#accounts.startOf(b.account);
    if (accounts !== 0) return accounts;
    if (a.account !== b.account) return compare(a.account, b.account);
    const level = this.#levelOf(a.account);
    const kinds = level.startOf(a.kind) - level.startOf(b.kind);
    if (kinds !== 0) return kinds;
    if (a.kind !== b.kind) return compare(a.kind, b.kind);
    return lane.isBefore(a, b) ? -1 : 1;
  }

  #levelOf(account: string): Level {
    let level = this.#kinds.get(account);
    if (level === undefined) {
      level = new Level();
      this.#kinds.set(account, level);
    }
    return level;
  }

  /** An account without items starts afresh among its kinds, and a queue
   * without items altogether. */
  #take(gone: lane.Item[]): void {
    this.#items = this.#items.filter((item) => !gone.includes(item));
    for (const { account } of gone) {
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

function least<T>(
  values: readonly T[],
  order: (a: T, b: T) => number,
): T | undefined {
  return values.toSorted(order)[0];
}
