/** Queues of work by service, and which of them are worth a look.
 * @module */

import type * as flight from "./request_state.ts";
import type * as policySet from "./policy_set.ts";

/** All queues of a dispatcher. */
export class QueueSet {
  readonly #maker: policySet.Queues;
  readonly #queues = new Map<string, policySet.Queue>();
  readonly #touched = new Set<string>();
  /** When to look again at a queue, by service. */
  readonly #again = new Map<string, number>();

  private constructor(maker: policySet.Queues) {
    this.#maker = maker;
  }

  static create(maker: policySet.Queues): QueueSet {
    return new QueueSet(maker);
  }

  size(service: string): number {
    return this.#queues.get(service)?.size ?? 0;
  }

  push(work: flight.RequestState, now: number): void {
    const { service } = work;
    const known = this.#queues.get(service);
    const queue = known ?? this.#maker.create(service);
    if (known === undefined) this.#queues.set(service, queue);
    work.phase = "queued";
    queue.push(work, now);
    this.#touched.add(service);
  }

  remove(work: flight.RequestState): void {
    this.#queues.get(work.service)?.remove(work.request.id);
  }

  /** Marks the queue of a service as worth a look. */
  mark(service: string): void {
    this.#touched.add(service);
  }

  markAll(): void {
    for (const service of this.#queues.keys()) this.#touched.add(service);
  }

  /** Asks for a look at a queue at that time, if not earlier. */
  visitAt(service: string, at: number): void {
    this.#again.set(service, at);
  }

  /** Looks at each marked queue, also at those marked meanwhile. */
  visit(look: (service: string, queue: policySet.Queue) => void): void {
    for (const service of this.#touched) {
      this.#touched.delete(service);
      this.#again.delete(service);
      const queue = this.#queues.get(service);
      if (queue !== undefined && queue.size > 0) look(service, queue);
    }
  }

  /** When a queue may let go of more without another event, or Infinity. */
  nextAt(now: number): number {
    let next = Infinity;
    for (const [service, queue] of this.#queues) {
      if (queue.size === 0) continue;
      const own = queue.nextAt?.(now) ?? Infinity;
      next = Math.min(next, own, this.#again.get(service) ?? Infinity);
    }
    return next;
  }

  dump(): unknown {
    const sizes = [...this.#queues].map(([name, { size }]) => [name, size]);
    return Object.fromEntries(sizes);
  }
}
