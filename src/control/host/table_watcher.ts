/** Keeps the table in force on this host: the shell of the watcher, or of the
 * observer on a host that serves others.
 * @module */

import * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/watch_types.ts";
import type * as table from "../table/mod.ts";
import * as watch from "../watch/mod.ts";

/** Transport whose connections can be exchanged. */
export interface Transport extends runtime.Transport {
  redial(host: string): void;
}

/** What a follower needs of its host. */
export interface TableWatcherOptions {
  self: string;
  /** Hosts that publish the table, in order of preference. */
  publishers: readonly string[];
  /** Whether it passes the table on to hosts that subscribe. */
  observer: boolean;
  clock: runtime.Clock;
  transport: Transport;
  /** The table moved on; `written` is absent after a snapshot. */
  onTable(table: table.Table, written?: readonly table.CellWrite[]): void;
  /** What is known of the quorum changed. */
  onStatus(status: QuorumStatus): void;
}

/** What a follower hears of the quorum. */
export interface QuorumStatus {
  /** Whether its publisher is in touch with the quorum. */
  current: boolean;
  leader?: string;
}

type Handler<T> = (effect: Extract<watch.WatcherEffect, { type: T }>) => void;

/** Follows the table. */
export class TableWatcher {
  readonly #options: TableWatcherOptions;
  readonly #alarm: runtime.Timer;
  #watcher: watch.Watcher | watch.Observer;

  private constructor(options: TableWatcherOptions) {
    this.#options = options;
    const { publishers, observer } = options;
    this.#watcher = observer
      ? watch.Observer.create(publishers)
      : watch.Watcher.create(publishers);
    this.#alarm = runtime.Timer.create(
      options.clock,
      () => this.#step({ type: "tick" }),
    );
  }

  /** A follower that has an empty table. */
  static create(options: TableWatcherOptions): TableWatcher {
    return new TableWatcher(options);
  }

  /** The table in force; its revision never goes back. */
  get table(): table.Table {
    return this.#watcher.table;
  }

  /** What is known of the quorum. */
  get status(): QuorumStatus {
    const { current, leader } = this.#watcher;
    return { current, leader };
  }

  /** Begins to follow. */
  start(): void {
    this.#step({ type: "start" });
  }

  /** Takes a message of a publisher, or of a host that subscribes. */
  receive(from: string, body: schema.Message): void {
    this.#step({ type: "message", from, body });
  }

  /** Follows no longer. */
  stop(): void {
    this.#alarm.cancel();
  }

  /** State for people. */
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
    wake: ({ at }) => this.#alarm.set(at),
    table: ({ table, written }) => this.#options.onTable(table, written),
    redial: ({ from }) => this.#options.transport.redial(from),
    status: ({ current, leader }) =>
      this.#options.onStatus({ current, leader }),
  };
}
