/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as performance from "./mod.ts";

/** Milliseconds from which on observations are independent. */
const APART_MS = 1000;

/** Performance of a service after `count` observations of each ratio, by
 * endpoint. */
function createService(
  ratios: Readonly<Record<string, number>>,
  { count = 32, isEnabled = true } = {},
) {
  const service = performance.ServicePerformance.create({ isEnabled });
  for (let pos = 0; pos < count; pos++) {
    for (const [endpoint, ratio] of Object.entries(ratios)) {
      service.observe(endpoint, ratio, APART_MS * (pos + 1 - count));
    }
  }
  return service;
}

// Guards against differences by chance that change choices.
test("while the lasting slowness differs by less than 1.5, it reads 1", (t) => {
  const service = createService({ a: 1, b: 1.5 });
  t.false(service.isUneven(0));
  t.is(service.slowness("b", 0), 1);
  t.is(service.lasting("b", 0), 1);
});

test("fewer than 8 observations of an endpoint don't count", (t) => {
  t.false(createService({ a: 1 / 8, b: 8 }, { count: 7 }).isUneven(0));
  t.true(createService({ a: 1 / 8, b: 8 }, { count: 8 }).isUneven(0));
});

test("an uneven service stays so down to a factor of 1.3", (t) => {
  const service = createService({ a: 1, b: 2 });
  t.true(service.isUneven(0));
  service.takeReports();
  const report = { endpoint: "b", count: 60 };
  service.adopt([{ ...report, ratio: 1.45 }], 0);
  t.true(service.isUneven(0));
  service.adopt([{ ...report, ratio: 1.3 }], 0);
  t.false(service.isUneven(0));
});

test("a service becomes even when its evidence has decayed", (t) => {
  const service = createService({ a: 0.6, b: 1.6 }, { count: 20 });
  t.true(service.isUneven(0));
  t.true(service.isUneven(60_000));
  t.false(service.isUneven(65_000));
});

// Guards against endpoints whose calls vary widely, and whose means therefore
// differ by chance: calls take 0.4 or 2.5 times the mean here.
test("a difference within the spread of few calls is left out", (t) => {
  const createSpread = (count: number) => {
    const service = performance.ServicePerformance.create({ isEnabled: true });
    for (let pos = 0; pos < count; pos++) {
      const spread = pos % 2 ? 2.5 : 0.4;
      service.observe("a", spread, APART_MS * (pos + 1 - count));
      service.observe("b", 2 * spread, APART_MS * (pos + 1 - count));
    }
    return service;
  };
  t.false(createSpread(10).isUneven(0));
  t.true(createSpread(60).isUneven(0));
});

// Guards against many equal endpoints, of which some always look fast and some
// slow: the extremes of 98 means of 8 calls differ by a factor of 1.5.
test("many equal endpoints are even", (t) => {
  for (let seed = 1; seed <= 20; seed++) {
    const random = runtime.createMixedRandom(seed);
    const service = performance.ServicePerformance.create({ isEnabled: true });
    for (let at = 0; at < 30_000; at += APART_MS) {
      for (let number = 0; number < 98; number++) {
        const ratio = Math.exp(1.7 * (random.next() - 0.5));
        service.observe(`e${number}`, ratio, at);
      }
      t.false(service.isUneven(at), `seed ${seed}, ${at} ms`);
    }
  }
});

// Guards against estimates of a restarted control host, which has few
// observations, in place of better ones.
test("an estimate from far fewer observations is not adopted", (t) => {
  const service = createService({ a: 1, b: 2 });
  service.takeReports();
  service.adopt([{ endpoint: "b", ratio: 1, count: 3 }], 0);
  t.true(service.isUneven(0));
  service.adopt([{ endpoint: "b", ratio: 1, count: 16 }], 0);
  t.false(service.isUneven(0));
});

test("a disabled part observes and reports nothing", (t) => {
  const service = createService({ a: 0.6, b: 1.6 }, { isEnabled: false });
  service.adopt([{ endpoint: "a", ratio: 0.2, count: 64 }], 0);
  t.is(service.slowness("a", 0), 1);
  t.deepEqual(service.takeReports(), []);
});

test("observations are reported once", (t) => {
  const service = createService({ a: 0.5, b: 2 }, { count: 3 });
  service.observe("b", 2, 0);
  const reports = service.takeReports();
  t.deepEqual(
    reports.map(({ endpoint, ratio, count }) => [
      endpoint,
      ratio.toFixed(6),
      count,
    ]),
    [["a", "0.500000", 3], ["b", "2.000000", 4]],
  );
  t.deepEqual(service.takeReports(), []);
});

// Guards against observations that count twice: the fleet's estimate has them
// once they are taken.
test("the fleet's estimate replaces the lasting one, and untaken observations are added", (t) => {
  const service = createService({ a: 1, b: 2 }, { count: 20 });
  service.takeReports();
  service.observe("b", 2, 0);
  service.adopt([{ endpoint: "b", ratio: 2, count: 40 }], 0);
  t.is(service.range(0)!.slowest.evidence, 41);
});

test("an ended incarnation is forgotten", (t) => {
  const service = createService({ a: 1, b: 2 });
  service.retain(new Set(["a"]));
  t.false(service.isUneven(0));
  t.deepEqual(service.takeReports().map(({ endpoint }) => endpoint), ["a"]);
});
