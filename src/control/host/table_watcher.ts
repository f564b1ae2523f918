/** Keeps the table of this host up to date: runs the state machine
 * `watch.Watcher`, or `watch.Observer` on an observer, with a clock and a
 * transport.
 * @module */

import * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/watch_types.ts";
import type * as table from "../table/mod.ts";
import * as watch from "../watch/mod.ts";

/** Transport whose connections can be replaced. */
export interface Transport extends runtime.Transport {
  redial(host: string): void;
}

/** Options of a `TableWatcher`. */
export interface TableWatcherOptions {
  self: string;
  /** Hosts that publish the table, in order of preference. */
  publishers: readonly string[];
  /** Whether this host publishes the table to hosts that subscribe. */
  observer: boolean;
  clock: runtime.Clock;
  transport: Transport;
  /** Called with each newer table; `written` is absent after a snapshot. */
  onTable(table: table.Table, written?: readonly table.CellWrite[]): void;
  /** Called when the status of the quorum has changed. */
  onStatus(status: QuorumStatus): void;
}

/** Status of the quorum, as the publisher reports it. */
export interface QuorumStatus {
  /** Whether the publisher is in contact with the quorum. */
  current: boolean;
  leader?: string;
}

type Handler<T> = (effect: Extract<watch.WatcherEffect, { type: T }>) => void;

/** Watches the table. */
export class TableWatcher {
  readonly #options: TableWatcherOptions;
  readonly #timer: runtime.Timer;
  #watcher: watch.Watcher | watch.Observer;

  private constructor(options: TableWatcherOptions) {
    this.#options = options;
    const { publishers, observer } = options;
    this.#watcher = observer
      ? watch.Observer.create(publishers)
      : watch.Watcher.create(publishers);
    this.#timer = runtime.Timer.create(
      options.clock,
      () => this.#step({ type: "tick" }),
    );
  }

  /** Creates a watcher with an empty table. */
  static create(options: TableWatcherOptions): TableWatcher {
    return new TableWatcher(options);
  }

  /** The newest table received; its revision never decreases. */
  get table(): table.Table {
    return this.#watcher.table;
  }

  /** Status of the quorum, as last reported. */
  get status(): QuorumStatus {
    const { current, leader } = this.#watcher;
    return { current, leader };
  }

  /** Subscribes to the first publisher. */
  start(): void {
    this.#step({ type: "start" });
  }

  /** Handles a message of a publisher or of a subscriber. */
  receive(from: string, body: schema.Message): void {
    this.#step({ type: "message", from, body });
  }

  /** Cancels the timer. */
  stop(): void {
    this.#timer.cancel();
  }

  /** Returns the state for a dump. */
  dump(): unknown {
    return this.#watcher.dump();
  }

  #step(event: watch.WatcherEvent): void {
    const now = this.#options.clock.now();
    const step = this.#watcher.step(event, now);
    this.#watcher = "observer" in step ? step.observer : step.watcher;
    for (const effect of step.effects) {
      (this.#handlers[effect.type] as Handler<string>)(effect as never);
    }
  }

  readonly #handlers: { [T in watch.WatcherEffect["type"]]: Handler<T> } = {
    send: ({ to, body }) => {
      const { self, transport } = this.#options;
      transport.send({ from: self, to, channel: "watch", body });
    },
    wake: ({ at }) => this.#timer.set(at),
    table: ({ table, written }) => this.#options.onTable(table, written),
    redial: ({ from }) => this.#options.transport.redial(from),
    status: ({ current, leader }) =>
      this.#options.onStatus({ current, leader }),
  };
}
