import test from "ava";
import type * as edits from "../../schema/table_types.ts";
import type * as schema from "../../schema/watch_types.ts";
import * as validators from "../../schema/watch_validators.ts";
import * as runtime from "../../runtime/mod.ts";
import * as table from "../table/mod.ts";
import * as watch from "./mod.ts";

/** A watcher under test: the real one or a faulty one. */
interface TestedWatcher {
  readonly table: table.Table;
  step(event: watch.WatcherEvent, now: number): {
    watcher: TestedWatcher;
    effects: watch.WatcherEffect[];
  };
}

/** Creates a faulty watcher that applies every delta without any check. */
function createUnchecked(
  inner: TestedWatcher,
  held: table.Table,
): TestedWatcher {
  return {
    table: held,
    step(event, now) {
      const { watcher, effects } = inner.step(event, now);
      return {
        watcher: createUnchecked(watcher, applyUnchecked(held, event)),
        effects,
      };
    },
  };
}

function applyUnchecked(
  held: table.Table,
  event: watch.WatcherEvent,
): table.Table {
  if (event.type !== "message" || event.body.type !== "delta") return held;
  const { revision, written } = event.body;
  return held.applyWrites(revision, written as table.CellWrite[]);
}

interface Delivery {
  due: number;
  from: string;
  to: string;
  body: schema.Message;
}

const REPLICAS = ["r1", "r2", "r3"];
const OBSERVERS = ["o1", "o2"];

/** Simulates three replicas that lag behind a growing table, two observers of
 * them, and one watcher of the replicas or of the observers, over a network that
 * loses, delays, duplicates and reorders messages until `HEAL_AT_MS`. */
class Simulation {
  static readonly HEAL_AT_MS = 20_000;
  now = 0;
  readonly random: runtime.Random;
  readonly committed = [table.Table.create()];
  readonly written: table.CellWrite[][] = [[]];
  readonly publishers = new Map<string, watch.Publisher>();
  readonly applied = new Map<string, number>();
  readonly observers = new Map<string, watch.Observer>();
  isolated = "";
  /** Host whose messages are dropped in both directions. */
  silenced = "";
  watcher: TestedWatcher;
  deliveries: Delivery[] = [];
  violation = "";

  constructor(seed: number, watcher: TestedWatcher) {
    this.random = runtime.createRandom(seed);
    this.watcher = watcher;
    for (const id of REPLICAS) {
      this.publishers.set(id, watch.Publisher.create(this.committed[0]));
      this.applied.set(id, 0);
      this.stepPublisher(id, { type: "status", current: true });
    }
    for (const id of OBSERVERS) {
      const ranked = watch.rankPublishers(id, REPLICAS);
      this.observers.set(id, watch.Observer.create(ranked));
      this.stepObserver(id, { type: "start" });
    }
    this.stepWatcher({ type: "start" });
  }

  /** Runs for `ms`; ends early with `violation` set if an invariant is
   * violated. */
  run(ms: number, edits: boolean): void {
    const end = this.now + ms;
    for (; this.now < end && this.violation === ""; this.now += 10) {
      if (edits && this.random.next() < 0.1) this.edit();
      if (this.random.next() < 0.002) this.partition();
      for (const id of REPLICAS) this.advance(id);
      for (const id of OBSERVERS) this.stepObserver(id, { type: "tick" });
      this.deliver();
      this.stepWatcher({ type: "tick" });
    }
  }

  edit(): void {
    const column = this.random.next() < 0.5 ? "weight" : "rate";
    const row = `account/a${this.random.below(300)}`;
    const last = this.committed.at(-1)!;
    const version = last.cell(row, column)?.version ?? 0;
    const value = this.random.next() < 0.2 ? null : this.random.below(9) + 1;
    const change: edits.Change = { row, column, version, value };
    const step = last.apply({ operation: "x", actor: "an", changes: [change] });
    this.committed.push(step.table);
    this.written.push([...step.written]);
  }

  /** Isolates a replica from the others, or ends the isolation of the present
   * one. */
  partition(): void {
    const healed = this.now >= Simulation.HEAL_AT_MS || this.isolated !== "";
    this.isolated = healed ? "" : REPLICAS[this.random.below(REPLICAS.length)];
    for (const id of REPLICAS) {
      this.stepPublisher(id, { type: "status", current: id !== this.isolated });
    }
  }

  advance(id: string): void {
    const pos = this.applied.get(id)! + 1;
    if (id !== this.isolated && pos < this.committed.length && this.flip(0.5)) {
      this.applied.set(id, pos);
      const known = this.flip(0.95) ? this.written[pos] : undefined;
      this.stepPublisher(id, {
        type: "commit",
        table: this.committed[pos],
        written: known,
      });
    }
    this.stepPublisher(id, { type: "tick" });
  }

  flip(chance: number): boolean {
    return this.random.next() < chance;
  }

  stepPublisher(id: string, event: watch.PublisherEvent): void {
    const step = this.publishers.get(id)!.step(event, this.now);
    this.publishers.set(id, step.publisher);
    for (const effect of step.effects) {
      if (effect.type === "send") this.send(id, effect.to, effect.body);
    }
  }

  stepObserver(id: string, event: watch.WatcherEvent): void {
    const step = this.observers.get(id)!.step(event, this.now);
    this.observers.set(id, step.observer);
    for (const effect of step.effects) {
      if (effect.type === "send") this.send(id, effect.to, effect.body);
    }
  }

  stepWatcher(event: watch.WatcherEvent): void {
    const before = this.watcher.table.revision;
    const { watcher, effects } = this.watcher.step(event, this.now);
    this.watcher = watcher;
    this.check(before);
    for (const effect of effects) {
      if (effect.type === "send") this.send("w", effect.to, effect.body);
    }
  }

  check(before: number): void {
    const { revision } = this.watcher.table;
    if (revision < before) {
      this.violation = `went from ${before} to ${revision}`;
    }
    if (revision === before) return;
    const held = JSON.stringify(this.watcher.table);
    if (held === JSON.stringify(this.committed[revision])) return;
    this.violation = `differs at ${revision} from the committed table`;
  }

  send(from: string, to: string, body: schema.Message): void {
    const healed = this.now >= Simulation.HEAL_AT_MS;
    if (from === this.silenced || to === this.silenced) return;
    if (!healed && this.flip(0.1)) return;
    const copies = !healed && this.flip(0.1) ? 2 : 1;
    const json = JSON.parse(JSON.stringify(body));
    if (!validators.validate(json)) {
      this.violation = `sent ${body.type} malformed`;
    }
    for (let copy = 0; copy < copies; copy++) {
      const delay = healed ? 2 : this.random.below(this.flip(0.05) ? 3000 : 20);
      this.deliveries.push({ due: this.now + delay, from, to, body: json });
    }
  }

  deliver(): void {
    const due = this.deliveries.filter((parcel) => parcel.due <= this.now);
    this.deliveries = this.deliveries.filter((parcel) => parcel.due > this.now);
    for (const { from, to, body } of due) {
      const event = { type: "message" as const, from, body };
      if (to === "w") this.stepWatcher(event);
      else if (this.observers.has(to)) this.stepObserver(to, event);
      else this.stepPublisher(to, event);
    }
  }
}

const SEEDS = Array.from({ length: 30 }, (_, pos) => pos + 1);

function createWatcher(publishers = REPLICAS): watch.Watcher {
  return watch.Watcher.create(watch.rankPublishers("w", publishers));
}

for (const publishers of [REPLICAS, OBSERVERS]) {
  const name = publishers.join(", ");
  test(`a watcher of ${name} never goes back, and catches up`, (t) => {
    for (const seed of SEEDS) {
      const simulation = new Simulation(seed, createWatcher(publishers));
      simulation.run(Simulation.HEAL_AT_MS, true);
      simulation.isolated = "";
      for (const id of REPLICAS) {
        simulation.stepPublisher(id, { type: "status", current: true });
      }
      simulation.edit();
      simulation.run(4000, false);
      const { revision } = simulation.watcher.table;
      t.is(simulation.violation, "", `seed ${seed}`);
      t.is(revision, simulation.committed.length - 1, `seed ${seed}`);
    }
  });
}

/** Returns the milliseconds until the watcher has an edit that is committed just
 * after its first publisher has gone silent. */
function propagationTime(seed: number, publishers: string[]): number {
  const simulation = new Simulation(seed, createWatcher(publishers));
  simulation.now = Simulation.HEAL_AT_MS;
  simulation.run(5000 + seed * 50, false);
  [simulation.silenced] = watch.rankPublishers("w", publishers);
  simulation.edit();
  const start = simulation.now;
  const wanted = simulation.committed.length - 1;
  while (
    simulation.watcher.table.revision < wanted && simulation.now < start + 9000
  ) {
    simulation.run(10, false);
  }
  return simulation.now - start;
}

for (const publishers of [REPLICAS, OBSERVERS]) {
  test(`an edit arrives within 2 s when one of ${publishers.join(", ")} goes silent`, (t) => {
    for (const seed of SEEDS) {
      const ms = propagationTime(seed, publishers);
      t.true(ms <= 2000, `seed ${seed}: ${ms} ms`);
    }
  });
}

// Each request costs a snapshot, so a gap must not cause one per delta.
test("missing changes are not requested again with each delta", (t) => {
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

test("the check detects a watcher that applies all messages unchecked", (t) => {
  const violations = SEEDS.map((seed) => {
    const simulation = new Simulation(
      seed,
      createUnchecked(createWatcher(), table.Table.create()),
    );
    simulation.run(Simulation.HEAL_AT_MS, true);
    return simulation.violation;
  });
  t.true(violations.some((violation) => violation !== ""));
});

test("a watcher leaves a publisher that is out of contact with the quorum", (t) => {
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

// After a pause the messages of the publisher may be queued up at this host.
test("a pause of the watcher's host extends the silence timeout, once", (t) => {
  const { watcher } = createWatcher().step({ type: "start" }, 0);
  const paused = watcher.step({ type: "tick" }, 5000);
  t.false(paused.effects.some(({ type }) => type === "redial"));
  const wake = paused.effects.find((effect) => effect.type === "wake")!;
  t.true(wake.at <= 5300);
  const { effects } = paused.watcher.step({ type: "tick" }, 5300);
  t.true(effects.some(({ type }) => type === "redial"));
});

test("390 hosts are distributed evenly over 15 publishers", (t) => {
  const publishers = Array.from({ length: 15 }, (_, pos) => `control-${pos}`);
  const counts = new Map<string, number>();
  for (let pos = 0; pos < 390; pos++) {
    const [first] = watch.rankPublishers(`host-${pos}`, publishers);
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  t.is(counts.size, 15);
  t.true(Math.max(...counts.values()) <= 2 * 390 / 15);
});
