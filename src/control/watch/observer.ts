/** A host that watches a replica and serves the table to further hosts: a
 * watcher whose news go to a publisher.
 * @module */

import type * as table from "../table/mod.ts";
import * as publishers from "./publisher.ts";
import * as watchers from "./watcher.ts";

/** What an observer asks for: a send, or what a watcher reports. There is one
 * wake, for whichever of the two is due first. */
export type ObserverEffect = watchers.WatcherEffect;

/** An observer after an event, and what it asks for. */
export interface ObserverStep {
  observer: Observer;
  effects: ObserverEffect[];
}

interface Parts {
  watcher: watchers.Watcher;
  publisher: publishers.Publisher;
  /** When each of the two is due. */
  watcherAt: number;
  publisherAt: number;
}

/** Immutable state of an observer; takes the events of a watcher. */
export class Observer {
  readonly #parts: Parts;

  private constructor(parts: Parts) {
    this.#parts = parts;
  }

  /** An observer of `replicas`, in order of preference. */
  static create(replicas: readonly string[]): Observer {
    const watcher = watchers.Watcher.create(replicas);
    return new Observer({
      watcher,
      publisher: publishers.Publisher.create(watcher.table),
      watcherAt: Infinity,
      publisherAt: Infinity,
    });
  }

  /** The newest table that it has. */
  get table(): table.Table {
    return this.#parts.watcher.table;
  }

  /** Takes in `event` at `now`; a wake asks for a `tick`. */
  step(event: watchers.WatcherEvent, now: number): ObserverStep {
    const turn: Turn = { now, effects: [] };
    let parts = this.#parts;
    if (event.type === "message" && isRequest(event.body.type)) {
      parts = publish(parts, event, turn);
    } else {
      parts = watch(parts, event, turn);
      if (event.type === "tick") parts = publish(parts, event, turn);
    }
    const at = Math.min(parts.watcherAt, parts.publisherAt);
    if (at !== Infinity) turn.effects.push({ type: "wake", at });
    return { observer: new Observer(parts), effects: turn.effects };
  }

  /** Whether its replica is in touch with the quorum. */
  get current(): boolean {
    return this.#parts.watcher.current;
  }

  /** Host that takes edits, if known. */
  get leader(): string | undefined {
    return this.#parts.watcher.leader;
  }

  /** State for people. */
  dump(): unknown {
    const { watcher, publisher } = this.#parts;
    return { watcher: watcher.dump(), publisher: publisher.dump() };
  }
}

interface Turn {
  now: number;
  effects: ObserverEffect[];
}

function isRequest(type: string): boolean {
  return type === "subscribe" || type === "leave";
}

function watch(
  parts: Parts,
  event: watchers.WatcherEvent,
  turn: Turn,
): Parts {
  const { watcher, effects } = parts.watcher.step(event, turn.now);
  let next: Parts = { ...parts, watcher, watcherAt: Infinity };
  for (const effect of effects) {
    if (effect.type === "wake") {
      next = { ...next, watcherAt: effect.at };
      continue;
    }
    turn.effects.push(effect);
    if (effect.type === "table") {
      const { table, written } = effect;
      next = publish(next, { type: "commit", table, written }, turn);
    } else if (effect.type === "status") {
      const { current, leader } = effect;
      next = publish(next, { type: "status", current, leader }, turn);
    }
  }
  return next;
}

function publish(
  parts: Parts,
  event: publishers.PublisherEvent,
  turn: Turn,
): Parts {
  const { publisher, effects } = parts.publisher.step(event, turn.now);
  let publisherAt = Infinity;
  for (const effect of effects) {
    if (effect.type === "wake") publisherAt = effect.at;
    else turn.effects.push(effect);
  }
  return { ...parts, publisher, publisherAt };
}
