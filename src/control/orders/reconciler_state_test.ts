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

/** An engine that may ignore fencing tokens. */
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

/** Runs leaders against fake engines; reads and answers get lost at random. */
class Simulation {
  now = 0;
  readonly engines = new Map<string, FakeEngine>();
  readonly leaders = new Map<string, orders.ReconcilerState>();
  readonly sent: { by: string; engine: string; at: number; type: string }[] =
    [];
  #calls: { due: number; by: string; event: orders.ReconcilerEvent }[] = [];
  #delayedOrders: { due: number; arrive: () => void }[] = [];

  constructor(
    readonly random: runtime.Random,
    fencing: ("checks" | "ignores")[],
    readonly lossProbability = 0,
    /** Whether a lost answer is treated as a refusal. */
    readonly repeatsLost = false,
  ) {
    fencing.forEach((kind, pos) =>
      this.engines.set(`e${pos}`, new FakeEngine(kind === "checks"))
    );
  }

  startLeader(
    by: string,
    lease: orders.Lease | undefined,
    desired: table.Table,
  ): void {
    this.leaders.set(by, orders.ReconcilerState.create(LIMITS));
    const engines = [...this.engines].map(([id, engine]) => ({
      id,
      service: "lm",
      url: `http://${id}`,
      fencing: engine.checks ? "checks" as const : "ignores" as const,
    }));
    this.step(by, { type: "table", table: desired });
    this.step(by, { type: "engines", engines });
    this.step(by, { type: "lease", lease });
  }

  step(by: string, event: orders.ReconcilerEvent): void {
    const step = this.leaders.get(by)!.step(event, this.now);
    this.leaders.set(by, step.state);
    for (const effect of step.effects) this.#execute(by, effect);
  }

  run(ms: number): void {
    for (const end = this.now + ms; this.now < end; this.now += 50) {
      const arrived = this.#delayedOrders.filter(({ due }) => due <= this.now);
      this.#delayedOrders = this.#delayedOrders.filter(({ due }) =>
        due > this.now
      );
      for (const { arrive } of arrived) arrive();
      const due = this.#calls.filter((call) => call.due <= this.now);
      this.#calls = this.#calls.filter((call) => call.due > this.now);
      for (const { by, event } of due) this.step(by, event);
      for (const by of this.leaders.keys()) this.step(by, { type: "tick" });
    }
  }

  #execute(by: string, effect: orders.ReconcilerEffect): void {
    if (effect.type !== "read" && effect.type !== "order") return;
    const engine = this.engines.get(effect.engine.id)!;
    const lost = this.random.next() < this.lossProbability;
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

  /** Loses the answer to an order. The order itself is lost too or arrives
   * later, possibly after the call has ended. */
  #lose(arrive: () => void): orders.Answer {
    const due = this.now + this.random.below(2 * orders.CALL_TIMEOUT_MS - 200);
    if (this.random.next() < 0.5) this.#delayedOrders.push({ due, arrive });
    return { type: this.repeatsLost ? "refused" : "lost" };
  }
}

const DESIRED = createTable({ model: "m", version: "1", role: "decode" });
const FOREVER = 1e9;

/** Returns the engines after a run in which answers are lost. */
function runLossy(seed: number, repeatsLost: boolean): FakeEngine[] {
  const random = runtime.createRandom(seed);
  const kinds = ["checks" as const, "ignores" as const, "checks" as const];
  const simulation = new Simulation(random, kinds, 0.4, repeatsLost);
  simulation.startLeader("a", { token: 3, since: 0, until: FOREVER }, DESIRED);
  simulation.run(200_000);
  return [...simulation.engines.values()];
}

const SEEDS = Array.from({ length: 20 }, (_, pos) => pos + 1);

test("all engines reach the goal with one load each, despite lost answers", (t) => {
  for (const seed of SEEDS) {
    for (const engine of runLossy(seed, false)) {
      t.like(engine.report, { role: "decode", token: 3 });
      t.is(engine.loads, 1, `seed ${seed}`);
    }
  }
});

test("the simulation detects loads that are repeated after a lost answer", (t) => {
  const engines = SEEDS.flatMap((seed) => runLossy(seed, true));
  t.true(engines.some(({ loads }) => loads > 1));
});

test("loads keep to the rate limit of the weight store", (t) => {
  const simulation = new Simulation(
    runtime.createRandom(1),
    Array(6).fill("checks"),
  );
  simulation.startLeader("a", { token: 3, since: 0, until: FOREVER }, DESIRED);
  simulation.run(60_000);
  const loads = simulation.sent.filter(({ type }) => type === "load");
  t.is(loads.length, 6);
  loads.reduce((former, load) => {
    t.true(load.at - former.at >= 1000 / LIMITS.loadsPerSecond);
    return load;
  });
});

test("orders wait for the former lease to expire only if tokens are not checked", (t) => {
  const simulation = new Simulation(runtime.createRandom(1), [
    "checks",
    "ignores",
  ]);
  simulation.startLeader("a", { token: 3, since: 0, until: FOREVER }, DESIRED);
  simulation.run(30_000);
  const first = (engine: string) =>
    simulation.sent.find((order) => order.engine === engine)!.at;
  t.true(first("e0") < LIMITS.leaseMs);
  t.true(first("e1") >= LIMITS.leaseMs + orders.CALL_TIMEOUT_MS);
});

// A leader that was paused may resume after its lease has ended.
test("no order is sent once the lease has ended, also after a pause", (t) => {
  const simulation = new Simulation(runtime.createRandom(1), [
    "checks",
    "checks",
  ]);
  simulation.startLeader("a", { token: 3, since: 0, until: 5000 }, DESIRED);
  simulation.now = 5000;
  simulation.run(20_000);
  t.deepEqual(simulation.sent, []);
});

test("an engine refuses the orders of a leader that was replaced", (t) => {
  const simulation = new Simulation(runtime.createRandom(1), ["checks"]);
  simulation.engines.get("e0")!.report.token = 4;
  simulation.startLeader("a", { token: 3, since: 0, until: FOREVER }, DESIRED);
  simulation.run(10_000);
  t.deepEqual(simulation.engines.get("e0")!.report.models, []);
});

test("a new leader reads the engines before it sends orders", (t) => {
  const simulation = new Simulation(runtime.createRandom(1), ["checks"]);
  const engine = simulation.engines.get("e0")!;
  simulation.startLeader("a", { token: 3, since: 0, until: 2000 }, DESIRED);
  simulation.run(2000);
  simulation.startLeader(
    "b",
    { token: 4, since: 2000, until: FOREVER },
    DESIRED,
  );
  simulation.run(20_000);
  t.is(engine.loads, 1);
  t.is(engine.report.role, "decode");
});

test("the report of an engine is invalid after a restart of the engine", (t) => {
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
