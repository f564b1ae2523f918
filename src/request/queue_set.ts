/** Queues of work by service, and the marks of those that need a visit.
 * @module */

import type * as requestState from "./request_state.ts";
import type * as policySet from "./policy_set.ts";

/** All queues of a dispatcher. */
export class QueueSet {
  readonly #factory: policySet.Queues;
  readonly #queues = new Map<string, policySet.Queue>();
  readonly #marked = new Set<string>();
  /** Times of the next visits, by service. */
  readonly #visitTimes = new Map<string, number>();

  private constructor(factory: policySet.Queues) {
    this.#factory = factory;
  }

  static create(factory: policySet.Queues): QueueSet {
    return new QueueSet(factory);
  }

  size(service: string): number {
    return this.#queues.get(service)?.size ?? 0;
  }

  push(work: requestState.RequestState, now: number): void {
    const { service } = work;
    const existing = this.#queues.get(service);
    const queue = existing ?? this.#factory.create(service);
    if (existing === undefined) this.#queues.set(service, queue);
    work.phase = "queued";
    queue.push(work, now);
    this.#marked.add(service);
  }

  remove(work: requestState.RequestState): void {
    this.#queues.get(work.service)?.remove(work.request.id);
  }

  /** Marks the queue of a service for a visit. */
  mark(service: string): void {
    this.#marked.add(service);
  }

  markAll(): void {
    for (const service of this.#queues.keys()) this.#marked.add(service);
  }

  /** Schedules a visit of a queue, unless it is visited before. */
  visitAt(service: string, at: number): void {
    this.#visitTimes.set(service, at);
  }

  /** Visits each marked queue, including those marked during a visit. */
  visit(visitor: (service: string, queue: policySet.Queue) => void): void {
    for (const service of this.#marked) {
      this.#marked.delete(service);
      this.#visitTimes.delete(service);
      const queue = this.#queues.get(service);
      if (queue !== undefined && queue.size > 0) visitor(service, queue);
    }
  }

  /** When a queue may return more work without another event, or Infinity. */
  nextAt(now: number): number {
    let next = Infinity;
    for (const [service, queue] of this.#queues) {
      if (queue.size === 0) continue;
      const queueNextAt = queue.nextAt?.(now) ?? Infinity;
      next = Math.min(
        next,
        queueNextAt,
        this.#visitTimes.get(service) ?? Infinity,
      );
    }
    return next;
  }

  dump(): unknown {
    const sizes = [...this.#queues].map(([name, { size }]) => [name, size]);
    return Object.fromEntries(sizes);
  }
}
