import test from "ava";
import * as http from "node:http";
import type * as net from "node:net";
import type * as edits from "../../schema/table_types.ts";
import type * as schema from "../../schema/orders_types.ts";
import * as runtime from "../../runtime/mod.ts";
import * as telemetry from "../../telemetry/mod.ts";
import * as table from "../table/mod.ts";
import * as orders from "./mod.ts";

const LIMITS = { loads: 2, lease: 3000 };

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

function candidate(
  engine: string,
  changes: Partial<schema.Report> = {},
): orders.Candidate {
  return { engine, report: createReport(changes), fresh: true };
}

const V1 = { model: "m", adapter: null, version: "1" };
const V2 = { model: "m", adapter: null, version: "2" };

test("loads the wanted version first and then unloads the former", (t) => {
  const goal = { model: "m", version: "2" };
  const old = orders.plan(goal, [candidate("e1", { models: [V1] })]);
  t.like(old, [{ order: { type: "load", version: "2" } }]);
  const both = orders.plan(goal, [candidate("e1", { models: [V1, V2] })]);
  t.like(both, [{ order: { type: "unload", version: "1" } }]);
  const done = [candidate("e1", { models: [V2] })];
  t.deepEqual(orders.plan(goal, done), []);
});

test("keeps replicas where the model is, and releases the rest last", (t) => {
  const goal = { model: "m", replicas: 1 };
  const there = candidate("e2", { models: [V1] });
  t.deepEqual(orders.plan(goal, [candidate("e1"), there]), []);
  const surplus = orders.plan(goal, [candidate("e1", { models: [V1] }), there]);
  t.like(surplus, [{ engine: "e2", order: { type: "unload" } }]);
  // An engine that does not answer keeps its place, and its stand-in stays.
  const silent = { ...candidate("e1", { models: [V1] }), fresh: false };
  t.deepEqual(orders.plan(goal, [silent, there]), []);
  t.deepEqual(orders.plan(goal, [silent, candidate("e2")]), []);
});

test("orders nothing where a load is under way or nothing is asked for", (t) => {
  const goal = { model: "m" };
  t.deepEqual(orders.plan(goal, [candidate("e1", { loading: true })]), []);
  t.deepEqual(orders.plan({}, [candidate("e1", { models: [V1] })]), []);
});

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
  readonly leaders = new Map<string, orders.Orders>();
  readonly sent: { by: string; engine: string; at: number; type: string }[] =
    [];
  #calls: { due: number; by: string; event: orders.OrdersEvent }[] = [];
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
    this.leaders.set(by, orders.Orders.create(LIMITS));
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

  tell(by: string, event: orders.OrdersEvent): void {
    const step = this.leaders.get(by)!.step(event, this.now);
    this.leaders.set(by, step.orders);
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

  #carry(by: string, effect: orders.OrdersEffect): void {
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
    t.true(load.at - former.at >= 1000 / LIMITS.loads);
    return load;
  });
});

test("waits out the former lease only where tokens are not checked", (t) => {
  const bench = new Bench(runtime.createRandom(1), ["checks", "ignores"]);
  bench.lead("a", { token: 3, since: 0, until: FOREVER }, WISH);
  bench.run(30_000);
  const first = (engine: string) =>
    bench.sent.find((order) => order.engine === engine)!.at;
  t.true(first("e0") < LIMITS.lease);
  t.true(first("e1") >= LIMITS.lease + orders.CALL_TIMEOUT);
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

/** An engine over HTTP that notes the orders that reach it whole. */
async function listen(status: number) {
  const taken: string[] = [];
  const server = http.createServer((request, response) => {
    let text = "";
    request.on("data", (chunk) => text += chunk);
    request.on("end", () => {
      if (request.method === "POST") taken.push(text);
      response.writeHead(request.method === "POST" ? status : 200);
      response.end(JSON.stringify({ ...createReport(), token: 9 }));
    });
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as net.AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  const close = () => {
    server.closeAllConnections();
    server.close();
  };
  return { engine: { id: "e0", service: "lm", url }, taken, close };
}

const LOAD = { order: { type: "load" as const, model: "m" } };

test("reads and orders over HTTP", async (t) => {
  const { engine, taken, close } = await listen(202);
  const caller = orders.Caller.create({ holds: () => true });
  t.like(await caller.read(engine), { models: [], token: 9 });
  t.deepEqual(await caller.order(engine, 3, LOAD), { type: "accepted" });
  t.deepEqual(taken.map((text) => JSON.parse(text)), [{ token: 3, ...LOAD }]);
  close();
});

test("an order does not leave once the lease has ended", async (t) => {
  const { engine, taken, close } = await listen(202);
  const caller = orders.Caller.create({ holds: () => false });
  t.deepEqual(await caller.order(engine, 3, LOAD), { type: "unsent" });
  t.deepEqual(taken, []);
  close();
});

test("tells a refusal by fencing token from a lost answer", async (t) => {
  const caller = orders.Caller.create({ holds: () => true });
  const fenced = await listen(409);
  const answer = await caller.order(fenced.engine, 3, LOAD);
  t.deepEqual(answer, { type: "fenced", token: 9 });
  fenced.close();
  const broken = await listen(500);
  t.deepEqual(await caller.order(broken.engine, 3, LOAD), { type: "lost" });
  broken.close();
  t.is(await caller.read(broken.engine), undefined);
});

test("a reconciler orders while it holds the lease, and no longer", async (t) => {
  const { engine, taken, close } = await listen(202);
  const clock = new runtime.FakeClock();
  let lease: orders.Lease | undefined = { token: 3, since: 0, until: FOREVER };
  const reconciler = orders.Reconciler.create({
    clock,
    logger: telemetry.noLogger,
    limits: LIMITS,
    lease: () => lease,
  });
  reconciler.setTable(WISH);
  reconciler.setEngines([{ ...engine, fencing: "checks" }]);
  reconciler.start();
  const calling = () => /"call":/.test(JSON.stringify(reconciler.dump()));
  const move = async () => {
    clock.advance(100);
    while (calling()) await new Promise((done) => setTimeout(done, 5));
  };
  while (taken.length < 2) await move();
  t.like(JSON.parse(taken[0]), { token: 3, order: { type: "load" } });
  lease = undefined;
  for (let pos = 0; pos < 100; pos++) await move();
  t.is(taken.length, 2);
  reconciler.stop();
  close();
});
