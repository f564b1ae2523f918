import test from "ava";
import * as fakeFleet from "../membership/fake_fleet.ts";
import * as runtime from "../runtime/mod.ts";
import * as fakeHost from "./fake_host.ts";
import type * as limits from "./limit.ts";

const IDS = ["h1", "h2", "h3", "h4", "h5", "h6"];
const RATE: limits.Limit = { row: "account/a", column: "rate", limit: 120 };
const SMALL: limits.Limit = {
  row: "account/b",
  column: "concurrency",
  limit: 4,
};

/** Simulates six hosts, of which one at a time holds the control lease. */
class Simulation {
  readonly fleet = new fakeFleet.FakeFleet<fakeHost.FakeHost>(
    runtime.createRandom(1),
  );
  maxTotal = 0;

  constructor() {
    for (const [pos, id] of IDS.entries()) {
      const limits = [RATE, SMALL];
      const host = new fakeHost.FakeHost({ limits, hosts: 6, seed: pos });
      this.fleet.start(id, host);
    }
  }

  lead(leader: string, term: number, informed: readonly string[] = IDS): void {
    this.fleet.call(leader, (host, now) => {
      return host.allocate({ type: "lead", term, until: now + 3_600_000 }, now);
    });
    for (const id of informed) {
      this.fleet.call(id, (host, now) => {
        return host.hold({ type: "allocator", host: leader, term }, now);
      });
    }
  }

  demand(id: string, row: string, demand: number): void {
    const column = row === RATE.row ? RATE.column : SMALL.column;
    this.fleet.get(id).demands = [{ row, column, demand }];
  }

  shares(row = RATE.row): number[] {
    return IDS.map((id) => {
      let share = 0;
      // Evaluated by the clock of the host; a paused host uses no share.
      this.fleet.call(id, (host, now) => {
        share = host.shareOf(row, now);
        return [];
      });
      return share;
    });
  }

  /** Advances the time and records the maximum sum of all shares. */
  run(ms: number, row = RATE.row): void {
    for (let passed = 0; passed < ms; passed += 50) {
      this.fleet.run(50);
      const sum = this.shares(row).reduce((left, right) => left + right, 0);
      this.maxTotal = Math.max(this.maxTotal, sum);
    }
  }
}

test("shares follow demand, and their sum stays within the limit", (t) => {
  const simulation = new Simulation();
  simulation.lead("h1", 1);
  simulation.demand("h2", RATE.row, 500);
  simulation.run(8000);
  t.true(simulation.shares()[1] > 90);
  for (const id of IDS) simulation.demand(id, RATE.row, 500);
  simulation.run(10_000);
  const shares = simulation.shares();
  t.true(Math.max(...shares) - Math.min(...shares) < 1);
  t.true(shares[0] > 18);
  t.true(simulation.maxTotal <= RATE.limit + 1e-6);
});

test("a small concurrency limit is divided in whole numbers without a rest", (t) => {
  const simulation = new Simulation();
  simulation.lead("h1", 1);
  for (const id of IDS) simulation.demand(id, SMALL.row, 10);
  simulation.run(10_000, SMALL.row);
  const shares = simulation.shares(SMALL.row);
  t.is(shares.reduce((left, right) => left + right, 0), SMALL.limit);
  t.true(shares.every(Number.isInteger));
  t.is(simulation.maxTotal, SMALL.limit);
});

test("an isolated host falls back to its base, and other hosts get its share", (t) => {
  const simulation = new Simulation();
  simulation.lead("h1", 1);
  simulation.demand("h2", RATE.row, 100);
  simulation.demand("h3", RATE.row, 100);
  simulation.run(10_000);
  const before = simulation.shares();
  simulation.fleet.reaches = (from, to) => from !== "h2" && to !== "h2";
  simulation.run(10_000);
  const after = simulation.shares();
  t.is(after[1], RATE.limit * 0.25 / 8);
  t.true(after[2] > before[2]);
  t.true(simulation.maxTotal <= RATE.limit + 1e-6);
});

test("shares in use stay the same over a change of allocator", (t) => {
  const simulation = new Simulation();
  simulation.lead("h1", 1);
  simulation.demand("h2", RATE.row, 100);
  simulation.run(8000);
  const [, before] = simulation.shares();
  simulation.fleet.call(
    "h1",
    (host, now) => host.allocate({ type: "yield" }, now),
  );
  simulation.lead("h3", 2);
  let least = Infinity;
  for (let round = 0; round < 100; round++) {
    simulation.run(100);
    least = Math.min(least, simulation.shares()[1]);
  }
  t.true(least >= before * 0.99);
  t.true(simulation.maxTotal <= RATE.limit + 1e-6);
});

// A share leased by the former allocator must not be granted twice.
test("the limit holds if a host does not learn of a new allocator", (t) => {
  const simulation = new Simulation();
  simulation.lead("h1", 1);
  simulation.demand("h2", RATE.row, 100);
  simulation.demand("h4", RATE.row, 100);
  simulation.run(8000);
  simulation.fleet.call(
    "h1",
    (host, now) => host.allocate({ type: "yield" }, now),
  );
  simulation.lead("h3", 2, IDS.filter((id) => id !== "h2"));
  simulation.run(20_000);
  t.is(simulation.shares()[1], RATE.limit * 0.25 / 8);
  t.true(simulation.maxTotal <= RATE.limit + 1e-6);
});

test("a lowered limit applies to hosts at once", (t) => {
  const simulation = new Simulation();
  simulation.lead("h1", 1);
  simulation.demand("h2", RATE.row, 100);
  simulation.run(8000);
  const limits = [{ ...RATE, limit: 10 }];
  for (const id of IDS) {
    simulation.fleet.call(id, (host, now) => [
      ...host.hold({ type: "limits", limits }, now),
      ...host.allocate({ type: "limits", limits }, now),
    ]);
  }
  t.true(simulation.shares().every((share) => share <= 10));
  simulation.run(6000);
  const sum = simulation.shares().reduce((left, right) => left + right, 0);
  t.true(sum <= 10 + 1e-6);
});

// The lease of a host whose clock stopped seems valid to it after it expired.
test("a host whose clock stopped exceeds the limit for one lease at most", (t) => {
  const simulation = new Simulation();
  simulation.lead("h1", 1);
  for (const id of IDS) simulation.demand(id, RATE.row, 500);
  simulation.run(10_000);
  const [, before] = simulation.shares();
  simulation.fleet.pause("h2");
  simulation.fleet.run(20_000);
  simulation.fleet.resume("h2", true);
  simulation.maxTotal = 0;
  simulation.run(4000);
  const extra = before - RATE.limit * 0.25 / 8;
  t.true(simulation.maxTotal > RATE.limit);
  t.true(simulation.maxTotal <= RATE.limit + extra + 1e-6);
  simulation.maxTotal = 0;
  simulation.run(10_000);
  t.true(simulation.maxTotal <= RATE.limit + 1e-6);
});

test("unchanged claims and shares are sent once, and end with the demand", (t) => {
  const simulation = new Simulation();
  simulation.lead("h1", 1);
  simulation.demand("h2", RATE.row, 100);
  simulation.run(10_000);
  const rows: unknown[] = [];
  simulation.fleet.loses = ({ body }) => {
    rows.push(...(body as { rows?: unknown[] }).rows ?? []);
    return false;
  };
  simulation.run(10_000);
  t.deepEqual(rows, []);
  simulation.demand("h2", RATE.row, 0);
  simulation.run(5000);
  simulation.fleet.traffic.clear();
  simulation.run(5000);
  t.is(simulation.fleet.traffic.size, 0);
  t.is(simulation.shares()[1], RATE.limit * 0.25 / 8);
});

test("a holder sends all of its claims again after its answers were lost", (t) => {
  const simulation = new Simulation();
  simulation.lead("h1", 1);
  simulation.demand("h2", RATE.row, 100);
  simulation.run(10_000);
  simulation.fleet.loses = ({ from }) => from === "h1";
  simulation.run(9000);
  t.is(simulation.shares()[1], RATE.limit * 0.25 / 8);
  simulation.fleet.loses = () => false;
  simulation.run(5000);
  t.true(simulation.shares()[1] > 90);
  t.true(simulation.maxTotal <= RATE.limit + 1e-6);
});
