/** @module */

import test from "ava";
import * as telemetry from "../telemetry/mod.ts";
import * as performance from "./mod.ts";

const IDENTITIES = new Map([
  ["fast~1", { service: "s", name: "fast" }],
  ["slow~1", { service: "s", name: "slow" }],
]);

function createExchange({ isShared = true } = {}) {
  const service = performance.ServicePerformance.create({ isEnabled: true });
  const lines: unknown[] = [];
  const gauges = new Map<string, number>();
  const exchange = performance.SlownessExchange.create({
    clock: { now: () => 0 },
    logger: {
      ...telemetry.noLogger,
      info: (fields, text) => void lines.push([text, fields]),
    },
    metrics: {
      ...telemetry.noMetrics,
      gauge: (name, value, labels = {}) =>
        void gauges.set([name, ...Object.values(labels)].join(" "), value),
    },
    performances: () => new Map([["s", service]]),
    identityOf: (endpoint) => IDENTITIES.get(endpoint),
    isShared: () => isShared,
  });
  return { service, exchange, lines, gauges };
}

const ESTIMATES = [
  { endpoint: "fast~1", ratio: 0.5, count: 60 },
  { endpoint: "slow~1", ratio: 2, count: 60 },
  { endpoint: "unknown~1", ratio: 8, count: 60 },
];

test("estimates of known endpoints are adopted", (t) => {
  const { service, exchange } = createExchange();
  exchange.adopt(ESTIMATES);
  t.true(service.lasting("slow~1", 0) > 1.9);
  t.deepEqual(service.endpoints, ["fast~1", "slow~1"]);
});

// Guards against two kinds of ratios in one estimate: owners of partitions hear
// all outcomes of their engines and items.
test("nothing of engines and batched services is exchanged", (t) => {
  const { service, exchange } = createExchange({ isShared: false });
  exchange.adopt(ESTIMATES);
  t.deepEqual(service.endpoints, []);
  service.observe("fast~1", 1, 0);
  t.deepEqual(exchange.takeReports(), []);
});

test("a change between even and uneven is logged once, with its reason", (t) => {
  const { exchange, lines, gauges } = createExchange();
  exchange.record();
  t.is(gauges.size, 0);
  exchange.adopt(ESTIMATES);
  exchange.record();
  exchange.record();
  t.is(lines.length, 1);
  t.like(lines[0], [
    "Service became uneven",
    {
      service: "s",
      fastest: { endpoint: "fast~1", evidence: 60 },
      slowest: { endpoint: "slow~1", evidence: 60 },
    },
  ]);
  t.is(gauges.get("performance.uneven s"), 1);
  t.true(gauges.get("performance.slowness s slow")! > 1.9);
  exchange.adopt(ESTIMATES.map((each) => ({ ...each, ratio: 1 })));
  exchange.record();
  t.like(lines[1], ["Service became even"]);
  t.is(gauges.get("performance.uneven s"), 0);
  t.is(gauges.get("performance.slowness s slow"), 1);
});
