/** A host that watches a replica of the log and publishes the table to further
 * hosts: a watcher whose updates are fed to a publisher.
 * @module */

import type * as table from "../table/mod.ts";
import * as publishers from "./publisher.ts";
import * as watchers from "./watcher.ts";

/** Action that an observer requests: a send of its publisher, or any effect of
 * its watcher. A step has one `wake`, for the earlier of the two. */
export type ObserverEffect = watchers.WatcherEffect;

/** An observer after an event, and the actions it requests. */
export interface ObserverStep {
  observer: Observer;
  effects: ObserverEffect[];
}

interface State {
  watcher: watchers.Watcher;
  publisher: publishers.Publisher;
  /** Times at which the watcher and the publisher need a `tick`. */
  watcherAt: number;
  publisherAt: number;
}

/** Immutable state machine of an observer; handles the events of a watcher. */
export class Observer {
  readonly #state: State;

  private constructor(parts: State) {
    this.#state = parts;
  }

  /** Creates an observer of `replicas`, which are in order of preference. */
  static create(replicas: readonly string[]): Observer {
    const watcher = watchers.Watcher.create(replicas);
    return new Observer({
      watcher,
      publisher: publishers.Publisher.create(watcher.table),
      watcherAt: Infinity,
      publisherAt: Infinity,
    });
  }

  /** The newest table received. */
  get table(): table.Table {
    return this.#state.watcher.table;
  }

  /** Handles `event` at `now`; the effect `wake` requests a `tick` at its
   * time. */
  step(event: watchers.WatcherEvent, now: number): ObserverStep {
    const context: StepContext = { now, effects: [] };
    let parts = this.#state;
    if (event.type === "message" && isSubscriberMessage(event.body.type)) {
      parts = stepPublisher(parts, event, context);
    } else {
      parts = stepWatcher(parts, event, context);
      if (event.type === "tick") parts = stepPublisher(parts, event, context);
    }
    const at = Math.min(parts.watcherAt, parts.publisherAt);
    if (at !== Infinity) context.effects.push({ type: "wake", at });
    return { observer: new Observer(parts), effects: context.effects };
  }

  /** Whether the watched replica is in contact with the quorum. */
  get current(): boolean {
    return this.#state.watcher.current;
  }

  /** Leader of the log, if known. */
  get leader(): string | undefined {
    return this.#state.watcher.leader;
  }

  /** Returns the state for a dump. */
  dump(): unknown {
    const { watcher, publisher } = this.#state;
    return { watcher: watcher.dump(), publisher: publisher.dump() };
  }
}

interface StepContext {
  now: number;
  effects: ObserverEffect[];
}

function isSubscriberMessage(type: string): boolean {
  return type === "subscribe" || type === "leave";
}

function stepWatcher(
  parts: State,
  event: watchers.WatcherEvent,
  context: StepContext,
): State {
  const { watcher, effects } = parts.watcher.step(event, context.now);
  let next: State = { ...parts, watcher, watcherAt: Infinity };
  for (const effect of effects) {
    if (effect.type === "wake") {
      next = { ...next, watcherAt: effect.at };
      continue;
    }
    context.effects.push(effect);
    if (effect.type === "table") {
      const { table, written } = effect;
      next = stepPublisher(next, { type: "commit", table, written }, context);
    } else if (effect.type === "status") {
      const { current, leader } = effect;
      next = stepPublisher(next, { type: "status", current, leader }, context);
    }
  }
  return next;
}

function stepPublisher(
  parts: State,
  event: publishers.PublisherEvent,
  context: StepContext,
): State {
  const { publisher, effects } = parts.publisher.step(event, context.now);
  let publisherAt = Infinity;
  for (const effect of effects) {
    if (effect.type === "wake") publisherAt = effect.at;
    else context.effects.push(effect);
  }
  return { ...parts, publisher, publisherAt };
}
