/** Bytes that hosts send each other at rest and for each change of the table,
 * over loopback connections that count them; and time of one message.
 * @module */

import * as runtime from "../src/runtime/mod.ts";
import type * as schema from "../src/schema/watch_types.ts";
import * as validators from "../src/schema/watch_validators.ts";
import * as table from "../src/control/table/mod.ts";
import * as watch from "../src/control/watch/mod.ts";
import * as peers from "../src/peers/mod.ts";
import * as relays from "../src/peers/tcp_proxy.ts";
import type * as result from "./result.ts";

const SECOND = 1000;
/** Seconds of virtual time over which a rate is taken. */
const SECONDS = 30;
const EDITS = 100;
const MESSAGES = 20_000;
/** Messages under way at once; fewer bytes than a queue holds. */
const ROUND = 2000;

/** The measurement as `bench/main.ts` runs it. */
export const measurement: result.Measurement = {
  title: "bytes between two hosts at rest, for each change, and message time",
  async run() {
    const pair = await Pair.create();
    try {
      return [
        await measureRest(pair),
        await measureWatch(pair),
        await measureDelta(pair),
        await measureMessage(pair),
      ];
    } finally {
      await pair.stop();
    }
  },
};

/** A publisher and a watcher on two hosts, whose clock is moved by hand. */
export class Pair {
  readonly clock = new runtime.FakeClock();
  readonly hosts = new Map<string, peers.Peers>();
  readonly relays: relays.TcpProxy[] = [];
  received = 0;
  #arrived = () => {};
  #table = table.Table.create();
  publisher = watch.Publisher.create(this.#table);
  watcher = watch.Watcher.create(["p"]);

  static async create(): Promise<Pair> {
    const pair = new Pair();
    for (const id of ["p", "w"]) {
      const relay = await relays.TcpProxy.create(() =>
        pair.hosts.get(id)!.port
      );
      pair.relays.push(relay);
    }
    for (const id of ["p", "w"]) await pair.#start(id);
    pair.publish({ type: "status", current: true, leader: "p" });
    return pair;
  }

  get bytes(): number {
    return this.relays.reduce((sum, { bytes }) => sum + bytes, 0);
  }

  async stop(): Promise<void> {
    for (const host of this.hosts.values()) await host.stop();
    for (const relay of this.relays) await relay.close();
  }

  /** Commits a change of one cell, each time in another row. */
  edit(): void {
    const { revision } = this.#table;
    const row = `account/a${revision}`;
    const change = { row, column: "weight" as const, version: 0, value: 2 };
    const operation = `op-${revision}`;
    const edit = { operation, actor: "an", changes: [change] };
    const step = this.#table.apply(
      edit as unknown as Parameters<table.Table["apply"]>[0],
    );
    this.#table = step.table;
    const { written } = step;
    this.publish({ type: "commit", table: step.table, written });
  }

  publish(event: watch.PublisherEvent): void {
    const step = this.publisher.step(event, this.clock.now());
    this.publisher = step.publisher;
    for (const effect of step.effects) {
      if (effect.type === "send") this.send("p", effect.to, effect.body);
    }
  }

  follow(event: watch.WatcherEvent): void {
    const step = this.watcher.step(event, this.clock.now());
    this.watcher = step.watcher;
    for (const effect of step.effects) {
      if (effect.type === "send") this.send("w", effect.to, effect.body);
    }
  }

  send(from: string, to: string, body: object): void {
    this.hosts.get(from)!.send({ from, to, channel: "watch", body });
  }

  /** Moves the clock on, letting messages arrive after each move. */
  async run(ms: number, tick: () => void): Promise<void> {
    for (const end = this.clock.now() + ms; this.clock.now() < end;) {
      this.clock.advance(50);
      tick();
      await this.settle();
    }
  }

  /** Resolves when the next message has arrived. */
  arrival(): Promise<void> {
    return new Promise((resolve) => this.#arrived = resolve);
  }

  /** Waits until nothing is under way. */
  async settle(): Promise<void> {
    let before = -1;
    while (before !== this.bytes || this.#busy()) {
      before = this.bytes;
      for (let turn = 0; turn < 5; turn++) {
        await new Promise((done) => setImmediate(done));
      }
    }
  }

  #busy(): boolean {
    const dumps = [...this.hosts.values()].map((host) => host.dump());
    const text = JSON.stringify(dumps);
    return /"(underWay|waiting)":[1-9]|"open":false/.test(text);
  }

  async #start(self: string): Promise<void> {
    const hosts = ["p", "w"].map((id, pos) => {
      const port = id === self ? 0 : this.relays[pos].port;
      return { id, address: "127.0.0.1", port };
    });
    const host = peers.Peers.create({
      self,
      hosts,
      key: "secret",
      validators: { watch: validators.validate },
      clock: this.clock,
      onEnvelope: ({ from, body }) => {
        this.received++;
        this.#arrived();
        const message = body as schema.Message;
        const event = { type: "message" as const, from, body: message };
        if (self === "p") this.publish(event);
        else this.follow(event);
      },
    });
    this.hosts.set(self, host);
    await host.start();
  }
}

/** A connection that only carries its probes. */
async function measureRest(pair: Pair): Promise<result.Result> {
  pair.send("p", "w", { type: "leave" });
  await pair.settle();
  const rate = await rateOf(pair, () => {});
  return bytes("peers/connection at rest", rate, "bytes/s", 200);
}

/** A watcher and its publisher with nothing new: both directions. */
async function measureWatch(pair: Pair): Promise<result.Result> {
  pair.follow({ type: "start" });
  await pair.settle();
  const rate = await rateOf(pair, () => {
    pair.publish({ type: "tick" });
    pair.follow({ type: "tick" });
  });
  return bytes("peers/watch at rest, a host", rate, "bytes/s", 1000);
}

async function measureDelta(pair: Pair): Promise<result.Result> {
  const before = pair.bytes;
  for (let pos = 0; pos < EDITS; pos++) {
    pair.edit();
    pair.clock.advance(20);
    pair.publish({ type: "tick" });
    await pair.settle();
  }
  if (pair.watcher.table.revision !== EDITS) {
    throw new Error("The watcher did not follow");
  }
  const each = (pair.bytes - before) / EDITS;
  return bytes("peers/one edit of one cell, a host", each, "bytes", 600);
}

async function measureMessage(pair: Pair): Promise<result.Result> {
  const start = performance.now();
  const first = pair.received;
  for (let sent = 0; sent < MESSAGES; sent += ROUND) {
    for (let pos = 0; pos < ROUND; pos++) {
      pair.send("p", "w", { type: "leave" });
    }
    await pair.settle();
  }
  const count = pair.received - first;
  const value = (performance.now() - start) / count * 1000;
  return { name: "peers/time of one message", unit: "us", value, kind: "time" };
}

async function rateOf(pair: Pair, tick: () => void): Promise<number> {
  const before = pair.bytes;
  await pair.run(SECONDS * SECOND, tick);
  return (pair.bytes - before) / SECONDS;
}

function bytes(
  name: string,
  value: number,
  unit: string,
  most: number,
): result.Result {
  return { name, unit, value, kind: "time", bound: { most } };
}
