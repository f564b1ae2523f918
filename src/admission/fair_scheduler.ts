/** Start-time fair queueing over entities that have work.
 *
 * Each entity has a start tag, the virtual time at which its next work starts.
 * The entity with the earliest tag is served, and its tag advances by the
 * charge. Virtual time is the start tag of the work served last, so that an
 * idle entity accumulates no credit.
 * @module */

import * as heap from "./heap.ts";

/** An entity to be scheduled. The scheduler maintains all fields but `name`. */
export interface Entity {
  readonly name: string;
  /** Virtual time at which its next work starts. */
  startTag: number;
  readyPos: number;
  idlePos: number;
}

/** Orders entities for service; mutated in place. */
export class FairScheduler<T extends Entity> {
  #virtualTime = 0;
  readonly #ready = heap.Heap.create<T>(readyOrder);
  readonly #idle = heap.Heap.create<T>(idleOrder);

  private constructor() {}

  static create<T extends Entity>(): FairScheduler<T> {
    return new FairScheduler();
  }

  /** Entity to be served next. */
  peek(): T | undefined {
    return this.#ready.peek();
  }

  /** Marks an entity as having work. Its start tag is at least the current
   * virtual time. */
  activate(entity: T): void {
    this.#idle.remove(entity);
    if (entity.readyPos >= 0) return;
    entity.startTag = Math.max(entity.startTag, this.#virtualTime);
    this.#ready.push(entity);
  }

  /** Marks an entity as idle. It is kept until `removeIdle`, so that a start
   * tag ahead of virtual time is not lost. */
  deactivate(entity: T): void {
    this.#ready.remove(entity);
    if (entity.idlePos < 0) this.#idle.push(entity);
  }

  /** Advances virtual time to `start` and charges the entity. */
  serve(entity: T, charge: number, start = entity.startTag): void {
    this.#virtualTime = Math.max(this.#virtualTime, start);
    entity.startTag = Math.max(entity.startTag, this.#virtualTime) + charge;
    this.#ready.update(entity);
    this.#idle.update(entity);
  }

  /** Refunds a charge. */
  refund(entity: T, charge: number): void {
    entity.startTag = Math.max(this.#virtualTime, entity.startTag - charge);
    this.#ready.update(entity);
    this.#idle.update(entity);
  }

  /** Removes and returns an idle entity whose start tag virtual time has
   * passed, as it holds no state that still matters; with `all`, any idle
   * entity. */
  removeIdle(all = false): T | undefined {
    const entity = this.#idle.peek();
    if (entity === undefined) return undefined;
    if (!all && entity.startTag > this.#virtualTime) return undefined;
    return this.#idle.pop();
  }
}

/** Service order: earliest start tag first, then by name. */
export function compare(a: Entity, b: Entity): number {
  if (a.startTag !== b.startTag) return a.startTag - b.startTag;
  if (a.name === b.name) return 0;
  return a.name < b.name ? -1 : 1;
}

const readyOrder: heap.Order<Entity> = {
  less: (a, b) => compare(a, b) < 0,
  position: (entity) => entity.readyPos,
  setPosition: (entity, pos) => entity.readyPos = pos,
};

const idleOrder: heap.Order<Entity> = {
  less: (a, b) => a.startTag < b.startTag,
  position: (entity) => entity.idlePos,
  setPosition: (entity, pos) => entity.idlePos = pos,
};
