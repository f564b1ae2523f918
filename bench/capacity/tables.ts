/** Tables, publishers and watchers as measurements of capacity need them.
 * @module */

import * as machines from "../machine.ts";
import type * as schema from "../../src/schema/watch_types.ts";
import * as table from "../../src/control/table/mod.ts";
import * as watch from "../../src/control/watch/mod.ts";

/** Changes one cell of a state. */
export function edit(state: table.State, pos: number): table.State {
  const row = `account/a${pos % state.table.size}`;
  const version = state.table.cell(row, "weight")!.version;
  const change = {
    row,
    column: "weight" as const,
    version,
    value: 1 + pos % 7,
  };
  const edit = { operation: `op-${pos}`, actor: "an", changes: [change] };
  const command = { type: "edit" as const, id: "x", at: 0, edit };
  return table.createStateMachine().apply(state, command).state;
}

/** Something sent on the watch channel. */
interface Parcel {
  due: number;
  from: string;
  to: string;
  body: schema.Message;
}

/** A publisher `p`, observers that watch it, and a watcher `w` of the
 * observers, over links with one delay. */
export class Chain {
  now = 0;
  /** Bytes of JSON that each host sent. */
  readonly bytes = new Map<string, number>();
  /** Host that hears and says nothing more. */
  mute = "";
  #state = machines.fill(10);
  #publisher: watch.Publisher;
  #watcher: watch.Watcher;
  readonly #observers = new Map<string, watch.Observer>();
  readonly #delay: number;
  #parcels: Parcel[] = [];
  #watching = false;

  constructor(delay: number, observers: readonly string[]) {
    this.#delay = delay;
    this.#publisher = watch.Publisher.create(this.#state.table);
    for (const id of observers) {
      this.#observers.set(id, watch.Observer.create(["p"]));
    }
    const publishers = observers.length === 0 ? ["p"] : observers;
    this.#watcher = watch.Watcher.create(publishers);
    this.#publish({ type: "status", current: true, leader: "p" });
    for (const id of observers) this.#observe(id, { type: "start" });
    this.run(2000);
    this.#watching = true;
    this.#watch({ type: "start" });
    this.run(4000);
  }

  /** Commits one edit; returns the milliseconds until the watcher has it. */
  commit(): number {
    this.#state = edit(this.#state, this.now);
    const { table, written } = this.#state;
    this.#publish({ type: "commit", table, written });
    const start = this.now;
    while (this.#watcher.table.revision < table.revision) {
      this.run(1);
      if (this.now > start + 60_000) throw new Error("The edit never came");
    }
    return this.now - start;
  }

  /** Lets time pass. */
  run(ms: number): void {
    for (const end = this.now + ms; this.now < end;) {
      this.now++;
      this.#publish({ type: "tick" });
      for (const id of this.#observers.keys()) {
        this.#observe(id, { type: "tick" });
      }
      if (this.#watching) this.#watch({ type: "tick" });
      const due = this.#parcels.filter((parcel) => parcel.due <= this.now);
      this.#parcels = this.#parcels.filter((parcel) => parcel.due > this.now);
      for (const parcel of due) this.#deliver(parcel);
    }
  }

  #deliver({ from, to, body }: Parcel): void {
    if (from === this.mute || to === this.mute) return;
    const event = { type: "message" as const, from, body };
    if (to === "p") this.#publish(event);
    else if (to === "w") this.#watch(event);
    else this.#observe(to, event);
  }

  #publish(event: watch.PublisherEvent): void {
    const { publisher, effects } = this.#publisher.step(event, this.now);
    this.#publisher = publisher;
    this.#sendAll("p", effects);
  }

  #observe(id: string, event: watch.WatcherEvent): void {
    const step = this.#observers.get(id)!.step(event, this.now);
    this.#observers.set(id, step.observer);
    this.#sendAll(id, step.effects);
  }

  #watch(event: watch.WatcherEvent): void {
    const { watcher, effects } = this.#watcher.step(event, this.now);
    this.#watcher = watcher;
    this.#sendAll("w", effects);
  }

  #sendAll(
    from: string,
    effects: readonly (watch.PublisherEffect | watch.WatcherEffect)[],
  ): void {
    const due = this.now + this.#delay;
    for (const effect of effects) {
      if (effect.type !== "send") continue;
      const { to, body } = effect;
      const { length } = JSON.stringify(body);
      this.bytes.set(from, (this.bytes.get(from) ?? 0) + length);
      this.#parcels.push({ due, from, to, body });
    }
  }
}

/** A publisher with subscribers whose messages are only counted. */
export class FanOut {
  now = 0;
  messages = 0;
  bytes = 0;
  #state = machines.fill(100);
  #publisher: watch.Publisher;
  readonly #subscribers: number;

  constructor(subscribers: number) {
    this.#subscribers = subscribers;
    this.#publisher = watch.Publisher.create(this.#state.table);
    this.#step({ type: "status", current: true, leader: "p" });
    this.#renew();
  }

  /** Lets a second pass, with edits spread over it. */
  second(editsOfIt = 0): void {
    for (let turn = 0; turn < 50; turn++) {
      this.now += 20;
      const due = Math.floor((turn + 1) * editsOfIt / 50) -
        Math.floor(turn * editsOfIt / 50);
      for (let pos = 0; pos < due; pos++) this.#commit(pos);
      this.#step({ type: "tick" });
    }
    if (this.now % 2000 === 0) this.#renew();
  }

  #commit(pos: number): void {
    this.#state = edit(this.#state, this.now + pos);
    const { table, written } = this.#state;
    this.#step({ type: "commit", table, written });
  }

  #renew(): void {
    const { revision } = this.#state.table;
    const body: schema.Message = { type: "subscribe", revision };
    for (let pos = 0; pos < this.#subscribers; pos++) {
      this.#step({ type: "message", from: `h${pos}`, body });
    }
  }

  #step(event: watch.PublisherEvent): void {
    const { publisher, effects } = this.#publisher.step(event, this.now);
    this.#publisher = publisher;
    for (const effect of effects) {
      if (effect.type !== "send") continue;
      this.messages++;
      this.bytes += JSON.stringify(effect.body).length;
    }
  }
}
