import test from "ava";
import type * as edits from "../../schema/table_types.ts";
import type * as schema from "../../schema/watch_types.ts";
import * as validators from "../../schema/watch_validators.ts";
import * as runtime from "../../runtime/mod.ts";
import * as table from "../table/mod.ts";
import * as watch from "./mod.ts";

/** Anything that follows messages: the real watcher, or a faulty one. */
interface Follower {
  readonly table: table.Table;
  step(event: watch.WatcherEvent, now: number): {
    watcher: Follower;
    effects: watch.WatcherEffect[];
  };
}

/** Takes every snapshot and delta as it comes. */
function createGullible(inner: Follower, held: table.Table): Follower {
  return {
    table: held,
    step(event, now) {
      const { watcher, effects } = inner.step(event, now);
      return { watcher: createGullible(watcher, take(held, event)), effects };
    },
  };
}

function take(held: table.Table, event: watch.WatcherEvent): table.Table {
  if (event.type !== "message" || event.body.type !== "delta") return held;
  const { revision, written } = event.body;
  return held.applyWrites(revision, written as table.CellWrite[]);
}

interface Parcel {
  due: number;
  from: string;
  to: string;
  body: schema.Message;
}

const REPLICAS = ["r1", "r2", "r3"];
const OBSERVERS = ["o1", "o2"];

/** Three replicas that lag behind a growing table, two observers of them, one
 * watcher of the replicas or of the observers, and a network
 * that loses, delays, doubles and reorders until it heals at `HEAL`. */
class Fleet {
  static readonly HEAL = 20_000;
  now = 0;
  readonly random: runtime.Random;
  readonly truth = [table.Table.create()];
  readonly written: table.CellWrite[][] = [[]];
  readonly publishers = new Map<string, watch.Publisher>();
  readonly applied = new Map<string, number>();
  readonly observers = new Map<string, watch.Observer>();
  cut = "";
  /** Host whose connections have gone silent. */
  mute = "";
  follower: Follower;
  parcels: Parcel[] = [];
  fault = "";

  constructor(seed: number, follower: Follower) {
    this.random = runtime.createRandom(seed);
    this.follower = follower;
    for (const id of REPLICAS) {
      this.publishers.set(id, watch.Publisher.create(this.truth[0]));
      this.applied.set(id, 0);
      this.tell(id, { type: "status", current: true });
    }
    for (const id of OBSERVERS) {
      const ranked = watch.rankPublishers(id, REPLICAS);
      this.observers.set(id, watch.Observer.create(ranked));
      this.observe(id, { type: "start" });
    }
    this.follow({ type: "start" });
  }

  /** Runs for `ms`; ends early with `fault` set when a rule is broken. */
  run(ms: number, edits: boolean): void {
    const end = this.now + ms;
    for (; this.now < end && this.fault === ""; this.now += 10) {
      if (edits && this.random.next() < 0.1) this.edit();
      if (this.random.next() < 0.002) this.partition();
      for (const id of REPLICAS) this.advance(id);
      for (const id of OBSERVERS) this.observe(id, { type: "tick" });
      this.deliver();
      this.follow({ type: "tick" });
    }
  }

  edit(): void {
    const column = this.random.next() < 0.5 ? "weight" : "rate";
    const row = `account/a${this.random.below(300)}`;
    const last = this.truth.at(-1)!;
    const version = last.cell(row, column)?.version ?? 0;
    const value = this.random.next() < 0.2 ? null : this.random.below(9) + 1;
    const change: edits.Change = { row, column, version, value };
    const step = last.apply({ operation: "x", actor: "an", changes: [change] });
    this.truth.push(step.table);
    this.written.push([...step.written]);
  }

  /** One replica is cut off from the others at a time. */
  partition(): void {
    const healed = this.now >= Fleet.HEAL || this.cut !== "";
    this.cut = healed ? "" : REPLICAS[this.random.below(REPLICAS.length)];
    for (const id of REPLICAS) {
      this.tell(id, { type: "status", current: id !== this.cut });
    }
  }

  advance(id: string): void {
    const pos = this.applied.get(id)! + 1;
    if (id !== this.cut && pos < this.truth.length && this.flip(0.5)) {
      this.applied.set(id, pos);
      const known = this.flip(0.95) ? this.written[pos] : undefined;
      this.tell(id, { type: "commit", table: this.truth[pos], written: known });
    }
    this.tell(id, { type: "tick" });
  }

  flip(chance: number): boolean {
    return this.random.next() < chance;
  }

  tell(id: string, event: watch.PublisherEvent): void {
    const step = this.publishers.get(id)!.step(event, this.now);
    this.publishers.set(id, step.publisher);
    for (const effect of step.effects) {
      if (effect.type === "send") this.post(id, effect.to, effect.body);
    }
  }

  observe(id: string, event: watch.WatcherEvent): void {
    const step = this.observers.get(id)!.step(event, this.now);
    this.observers.set(id, step.observer);
    for (const effect of step.effects) {
      if (effect.type === "send") this.post(id, effect.to, effect.body);
    }
  }

  follow(event: watch.WatcherEvent): void {
    const before = this.follower.table.revision;
    const { watcher, effects } = this.follower.step(event, this.now);
    this.follower = watcher;
    this.check(before);
    for (const effect of effects) {
      if (effect.type === "send") this.post("w", effect.to, effect.body);
    }
  }

  check(before: number): void {
    const { revision } = this.follower.table;
    if (revision < before) this.fault = `went from ${before} to ${revision}`;
    if (revision === before) return;
    const held = JSON.stringify(this.follower.table);
    if (held === JSON.stringify(this.truth[revision])) return;
    this.fault = `holds at ${revision} what never was`;
  }

  post(from: string, to: string, body: schema.Message): void {
    const healed = this.now >= Fleet.HEAL;
    if (from === this.mute || to === this.mute) return;
    if (!healed && this.flip(0.1)) return;
    const copies = !healed && this.flip(0.1) ? 2 : 1;
    const json = JSON.parse(JSON.stringify(body));
    if (!validators.validate(json)) this.fault = `sent ${body.type} ill-formed`;
    for (let copy = 0; copy < copies; copy++) {
      const delay = healed ? 2 : this.random.below(this.flip(0.05) ? 3000 : 20);
      this.parcels.push({ due: this.now + delay, from, to, body: json });
    }
  }

  deliver(): void {
    const due = this.parcels.filter((parcel) => parcel.due <= this.now);
    this.parcels = this.parcels.filter((parcel) => parcel.due > this.now);
    for (const { from, to, body } of due) {
      const event = { type: "message" as const, from, body };
      if (to === "w") this.follow(event);
      else if (this.observers.has(to)) this.observe(to, event);
      else this.tell(to, event);
    }
  }
}

const SEEDS = Array.from({ length: 30 }, (_, pos) => pos + 1);

function createWatcher(publishers = REPLICAS): watch.Watcher {
  return watch.Watcher.create(watch.rankPublishers("w", publishers));
}

for (const publishers of [REPLICAS, OBSERVERS]) {
  const name = publishers.join(", ");
  test(`a watcher of ${name} never reverts, and catches up`, (t) => {
    for (const seed of SEEDS) {
      const fleet = new Fleet(seed, createWatcher(publishers));
      fleet.run(Fleet.HEAL, true);
      fleet.cut = "";
      for (const id of REPLICAS) {
        fleet.tell(id, { type: "status", current: true });
      }
      fleet.edit();
      fleet.run(4000, false);
      const { revision } = fleet.follower.table;
      t.is(fleet.fault, "", `seed ${seed}`);
      t.is(revision, fleet.truth.length - 1, `seed ${seed}`);
    }
  });
}

/** Milliseconds until the watcher has an edit that is made just after the
 * first of its publishers has gone silent. */
function timeInForce(seed: number, publishers: string[]): number {
  const fleet = new Fleet(seed, createWatcher(publishers));
  fleet.now = Fleet.HEAL;
  fleet.run(5000 + seed * 50, false);
  [fleet.mute] = watch.rankPublishers("w", publishers);
  fleet.edit();
  const start = fleet.now;
  const wanted = fleet.truth.length - 1;
  while (fleet.follower.table.revision < wanted && fleet.now < start + 9000) {
    fleet.run(10, false);
  }
  return fleet.now - start;
}

for (const publishers of [REPLICAS, OBSERVERS]) {
  test(`an edit is in force in 2 s when one of ${publishers.join(", ")} goes silent`, (t) => {
    for (const seed of SEEDS) {
      const ms = timeInForce(seed, publishers);
      t.true(ms <= 2000, `seed ${seed}: ${ms} ms`);
    }
  });
}

test("what is missing is asked for once, not with each delta", (t) => {
  let { watcher } = createWatcher().step({ type: "start" }, 0);
  const [from] = watch.rankPublishers("w", REPLICAS);
  let asked = 0;
  for (let now = 1; now <= 1000; now += 20) {
    const revision = 10 + now;
    const delta = { type: "delta" as const, from: revision - 1, written: [] };
    const body = { ...delta, revision };
    const step = watcher.step({ type: "message", from, body }, now);
    watcher = step.watcher;
    asked += step.effects.filter(({ type }) => type === "send").length;
  }
  t.true(asked >= 1 && asked <= 4);
});

test("the check finds a watcher that takes all it hears", (t) => {
  const faults = SEEDS.map((seed) => {
    const fleet = new Fleet(
      seed,
      createGullible(createWatcher(), table.Table.create()),
    );
    fleet.run(Fleet.HEAL, true);
    return fleet.fault;
  });
  t.true(faults.some((fault) => fault !== ""));
});

test("a watcher leaves a publisher that is silent or cut off", (t) => {
  const { watcher } = createWatcher().step({ type: "start" }, 0);
  const [first, second] = watch.rankPublishers("w", REPLICAS);
  const body = { type: "alive" as const, revision: 0, current: false };
  const told = watcher.step({ type: "message", from: first, body }, 500);
  const early = told.watcher.step(
    { type: "tick" },
    watch.SILENCE_TIMEOUT_MS - 1,
  );
  t.false(early.effects.some(({ type }) => type === "redial"));
  const { effects } = told.watcher.step(
    { type: "tick" },
    watch.SILENCE_TIMEOUT_MS,
  );
  t.deepEqual(effects.find(({ type }) => type === "redial"), {
    type: "redial",
    from: first,
    to: second,
  });
});

test("a pause of its own is not taken for silence, once", (t) => {
  const { watcher } = createWatcher().step({ type: "start" }, 0);
  const paused = watcher.step({ type: "tick" }, 5000);
  t.false(paused.effects.some(({ type }) => type === "redial"));
  const wake = paused.effects.find((effect) => effect.type === "wake")!;
  t.true(wake.at <= 5300);
  const { effects } = paused.watcher.step({ type: "tick" }, 5300);
  t.true(effects.some(({ type }) => type === "redial"));
});

test("390 hosts spread evenly over 15 publishers", (t) => {
  const publishers = Array.from({ length: 15 }, (_, pos) => `control-${pos}`);
  const counts = new Map<string, number>();
  for (let pos = 0; pos < 390; pos++) {
    const [first] = watch.rankPublishers(`host-${pos}`, publishers);
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  t.is(counts.size, 15);
  t.true(Math.max(...counts.values()) <= 2 * 390 / 15);
});
