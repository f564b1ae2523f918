import test from "ava";
import type * as edits from "../../schema/table_types.ts";
import type * as schema from "../../schema/orders_types.ts";
import * as runtime from "../../runtime/mod.ts";
import * as table from "../table/mod.ts";
import * as orders from "./mod.ts";

const LIMITS = { loadsPerSecond: 2, leaseMs: 3000 };

function createTable(cells: Record<string, edits.CellValue>): table.Table {
  const changes = Object.entries(cells).map(([column, value]) => ({
    row: "service/lm",
    column: column as edits.Column,
    version: 0,
    value,
  }));
  const edit = { operation: "a", actor: "an", changes } as edits.Edit;
  return table.Table.create().apply(edit).table;
}

function createReport(changes: Partial<schema.Report> = {}): schema.Report {
  return { models: [], role: "both", token: 0, loading: false, ...changes };
}

/** An engine that may ignore fencing tokens and lose answers. */
class FakeEngine {
  report = createReport();
  loads = 0;
  orders: { token: number; at: number; by: string }[] = [];

  constructor(readonly checks: boolean) {}

  take(token: number, order: schema.Order): orders.Answer {
    const highest = this.report.token ?? 0;
    if (this.checks && token < highest) {
      return { type: "fenced", token: highest };
    }
    this.report = { ...this.report, token: Math.max(token, highest) };
    if (order.type === "role") this.report.role = order.role;
    else this.#change(order);
    return { type: "accepted" };
  }

  #change({ type, model, adapter, version }: schema.ModelOrder) {
    const rest = this.report.models.filter((loaded) =>
      loaded.model !== model || loaded.version !== version
    );
    this.report.models = type === "load"
      ? [...rest, { model, adapter, version }]
      : rest;
    if (type === "load") this.loads++;
  }
}

/** Runs leaders over fake engines, with answers and reads lost by chance. */
class Bench {
  now = 0;
  readonly engines = new Map<string, FakeEngine>();
  readonly leaders = new Map<string, orders.ReconcilerState>();
  readonly sent: { by: string; engine: string; at: number; type: string }[] =
    [];
  #calls: { due: number; by: string; event: orders.ReconcilerEvent }[] = [];
  #late: { due: number; arrive: () => void }[] = [];

  constructor(
    readonly random: runtime.Random,
    fencing: ("checks" | "ignores")[],
    readonly loss = 0,
    /** Whether a lost answer is taken for a refusal. */
    readonly careless = false,
  ) {
    fencing.forEach((kind, pos) =>
      this.engines.set(`e${pos}`, new FakeEngine(kind === "checks"))
    );
  }

  lead(by: string, lease: orders.Lease | undefined, wish: table.Table): void {
    this.leaders.set(by, orders.ReconcilerState.create(LIMITS));
    const engines = [...this.engines].map(([id, engine]) => ({
      id,
      service: "lm",
      url: `http://${id}`,
      fencing: engine.checks ? "checks" as const : "ignores" as const,
    }));
    this.tell(by, { type: "table", table: wish });
    this.tell(by, { type: "engines", engines });
    this.tell(by, { type: "lease", lease });
  }

  tell(by: string, event: orders.ReconcilerEvent): void {
    const step = this.leaders.get(by)!.step(event, this.now);
    this.leaders.set(by, step.state);
    for (const effect of step.effects) this.#carry(by, effect);
  }

  run(ms: number): void {
    for (const end = this.now + ms; this.now < end; this.now += 50) {
      const arrived = this.#late.filter(({ due }) => due <= this.now);
      this.#late = this.#late.filter(({ due }) => due > this.now);
      for (const { arrive } of arrived) arrive();
      const due = this.#calls.filter((call) => call.due <= this.now);
      this.#calls = this.#calls.filter((call) => call.due > this.now);
      for (const { by, event } of due) this.tell(by, event);
      for (const by of this.leaders.keys()) this.tell(by, { type: "tick" });
    }
  }

  #carry(by: string, effect: orders.ReconcilerEffect): void {
    if (effect.type !== "read" && effect.type !== "order") return;
    const engine = this.engines.get(effect.engine.id)!;
    const lost = this.random.next() < this.loss;
    const due = this.now + (lost ? 2000 : 50);
    const id = effect.engine.id;
    if (effect.type === "read") {
      const report = lost ? undefined : structuredClone(engine.report);
      this.#calls.push({
        due,
        by,
        event: { type: "report", engine: id, report },
      });
      return;
    }
    this.sent.push({ by, engine: id, at: this.now, type: effect.order.type });
    const answer = lost
      ? this.#lose(() => engine.take(effect.token, effect.order))
      : engine.take(effect.token, effect.order);
    this.#calls.push({
      due,
      by,
      event: { type: "answer", engine: id, answer },
    });
  }

  /** The answer is lost, and with it the order itself or not; it may also
   * arrive after the call has ended. */
  #lose(arrive: () => void): orders.Answer {
    const due = this.now + this.random.below(2 * orders.CALL_TIMEOUT - 200);
    if (this.random.next() < 0.5) this.#late.push({ due, arrive });
    return { type: this.careless ? "refused" : "lost" };
  }
}

const WISH = createTable({ model: "m", version: "1", role: "decode" });
const FOREVER = 1e9;

/** Engines after a run in which answers are lost. */
function runLossy(seed: number, careless: boolean): FakeEngine[] {
  const random = runtime.createRandom(seed);
  const kinds = ["checks" as const, "ignores" as const, "checks" as const];
  const bench = new Bench(random, kinds, 0.4, careless);
  bench.lead("a", { token: 3, since: 0, until: FOREVER }, WISH);
  bench.run(200_000);
  return [...bench.engines.values()];
}

const SEEDS = Array.from({ length: 20 }, (_, pos) => pos + 1);

test("brings all engines there, each loaded once, though answers are lost", (t) => {
  for (const seed of SEEDS) {
    for (const engine of runLossy(seed, false)) {
      t.like(engine.report, { role: "decode", token: 3 });
      t.is(engine.loads, 1, `seed ${seed}`);
    }
  }
});

test("the count finds loads that are repeated blindly", (t) => {
  const engines = SEEDS.flatMap((seed) => runLossy(seed, true));
  t.true(engines.some(({ loads }) => loads > 1));
});

test("paces loads by the limit of the weight store", (t) => {
  const bench = new Bench(runtime.createRandom(1), Array(6).fill("checks"));
  bench.lead("a", { token: 3, since: 0, until: FOREVER }, WISH);
  bench.run(60_000);
  const loads = bench.sent.filter(({ type }) => type === "load");
  t.is(loads.length, 6);
  loads.reduce((former, load) => {
    t.true(load.at - former.at >= 1000 / LIMITS.loadsPerSecond);
    return load;
  });
});

test("waits out the former lease only where tokens are not checked", (t) => {
  const bench = new Bench(runtime.createRandom(1), ["checks", "ignores"]);
  bench.lead("a", { token: 3, since: 0, until: FOREVER }, WISH);
  bench.run(30_000);
  const first = (engine: string) =>
    bench.sent.find((order) => order.engine === engine)!.at;
  t.true(first("e0") < LIMITS.leaseMs);
  t.true(first("e1") >= LIMITS.leaseMs + orders.CALL_TIMEOUT);
});

test("orders nothing once the lease has ended, also after a pause", (t) => {
  const bench = new Bench(runtime.createRandom(1), ["checks", "checks"]);
  bench.lead("a", { token: 3, since: 0, until: 5000 }, WISH);
  bench.now = 5000;
  bench.run(20_000);
  t.deepEqual(bench.sent, []);
});

test("a leader that does not know it was replaced is refused", (t) => {
  const bench = new Bench(runtime.createRandom(1), ["checks"]);
  bench.engines.get("e0")!.report.token = 4;
  bench.lead("a", { token: 3, since: 0, until: FOREVER }, WISH);
  bench.run(10_000);
  t.deepEqual(bench.engines.get("e0")!.report.models, []);
});

test("reads what a former leader did before it orders", (t) => {
  const bench = new Bench(runtime.createRandom(1), ["checks"]);
  const engine = bench.engines.get("e0")!;
  bench.lead("a", { token: 3, since: 0, until: 2000 }, WISH);
  bench.run(2000);
  bench.lead("b", { token: 4, since: 2000, until: FOREVER }, WISH);
  bench.run(20_000);
  t.is(engine.loads, 1);
  t.is(engine.report.role, "decode");
});

test("what is known of an engine is void once it has started again", (t) => {
  const engine = { id: "e0", service: "lm", url: "http://e0" };
  const event = (generation: number): orders.ReconcilerEvent => ({
    type: "engines",
    engines: [{ ...engine, generation, fencing: "checks" }],
  });
  const lease = { token: 1, since: 0, until: 9e9 };
  const events: orders.ReconcilerEvent[] = [
    { type: "table", table: createTable({ model: "m" }) },
    { type: "lease", lease },
    event(1),
    {
      type: "report",
      engine: "e0",
      report: createReport({ models: [{ model: "m" }] }),
    },
  ];
  let state = orders.ReconcilerState.create(LIMITS);
  for (const each of events) state = state.step(each, 0).state;
  const types = (generation: number) =>
    state.step(event(generation), 1).effects.map(({ type }) => type);
  t.deepEqual(types(1), ["wake"]);
  t.deepEqual(types(2), ["read", "wake"]);
});
