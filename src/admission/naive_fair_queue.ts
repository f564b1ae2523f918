/** Naive twin of the fair queue, for differential tests and ratios: one list,
 * scanned for every operation.
 * @module */

import type * as request from "../request/mod.ts";
import * as lane from "./lane.ts";
import * as weight from "./weight.ts";

/** Same decisions as `FairQueue`, in O(n) an operation. */
export class NaiveFairQueue {
  #items: lane.Item[] = [];
  #virtual = 0;
  readonly #starts = new Map<string, number>();
  readonly #policies: request.Policies;

  constructor(policies: request.Policies = new Map()) {
    this.#policies = policies;
  }

  push(item: lane.Item): boolean {
    if (this.#items.some((other) => other.id === item.id)) return false;
    const name = weight.nameOf(item);
    const own = this.#items.filter((other) => weight.nameOf(other) === name);
    const begins = item.start === undefined &&
      !own.some((other) => other.start === undefined);
    if (begins || own.length === 0) {
      this.#starts.set(name, Math.max(this.#startOf(item), this.#virtual));
    }
    this.#items.push(item);
    return true;
  }

  pop(): lane.Item | undefined {
    const [first] = this.#items.toSorted((a, b) => this.#compare(a, b));
    if (first === undefined) return undefined;
    const start = first.start ?? this.#startOf(first);
    this.#virtual = Math.max(this.#virtual, start);
    const base = Math.max(this.#startOf(first), this.#virtual);
    const charge = first.work / weight.weightOf(this.#policies, first);
    this.#starts.set(weight.nameOf(first), base + charge);
    first.start = start;
    this.#take([first]);
    return first;
  }

  expire(now: number): lane.Item[] {
    const gone = this.#items.filter((item) => item.expires < now);
    gone.sort((a, b) => a.expires - b.expires);
    this.#take(gone);
    return gone;
  }

  shed(): lane.Item | undefined {
    const [worst] = this.#items.toSorted((a, b) => this.#compareWorth(a, b));
    if (worst !== undefined) this.#take([worst]);
    return worst;
  }

  remove(id: string): lane.Item | undefined {
    const found = this.#items.find((item) => item.id === id);
    if (found !== undefined) this.#take([found]);
    return found;
  }

  #take(gone: lane.Item[]): void {
    this.#items = this.#items.filter((item) => !gone.includes(item));
    if (this.#items.length === 0) this.#starts.clear();
  }

  #startOf(flow: weight.Flow): number {
    return this.#starts.get(weight.nameOf(flow)) ?? 0;
  }

  #compare(a: lane.Item, b: lane.Item): number {
    const start = (a.start ?? this.#startOf(a)) - (b.start ?? this.#startOf(b));
    if (start !== 0) return start;
    const retried = Number(b.start !== undefined) -
      Number(a.start !== undefined);
    if (retried !== 0) return retried;
    const name = compareNames(a, b);
    if (name !== 0 && a.start === undefined) return name;
    return lane.isBefore(a, b) ? -1 : 1;
  }

  #compareWorth(a: lane.Item, b: lane.Item): number {
    const weighed = weight.weightOf(this.#policies, a) -
      weight.weightOf(this.#policies, b);
    if (weighed !== 0) return weighed;
    const start = this.#startOf(b) - this.#startOf(a);
    if (start !== 0) return start;
    const name = compareNames(a, b);
    if (name !== 0) return name;
    return lane.isBefore(a, b) ? 1 : -1;
  }
}

function compareNames(a: weight.Flow, b: weight.Flow): number {
  const [first, second] = [weight.nameOf(a), weight.nameOf(b)];
  if (first === second) return 0;
  return first < second ? -1 : 1;
}
