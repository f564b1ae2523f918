/** @module */

import test from "ava";
import * as concurrencyFixture from "../concurrency/fixture.ts";
import * as fixture from "../endpoints/fixture.ts";
import * as rateLimitFixture from "../rate_limits/fixture.ts";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as callLoads from "./call_load.ts";
import * as callRecords from "./call_record.ts";
import * as choices from "./endpoint_choice.ts";
import type * as endpoints from "./endpoint.ts";
import * as endpointPools from "./endpoint_pool.ts";
import type * as loadUpdates from "./load_updates.ts";
import * as placements from "./placement.ts";
import * as targetChoices from "./target_choice.ts";

const SLOTS = 4;
const PROMPT = {
  model: "m",
  inputTokens: 100,
  outputTokens: 10,
  parts: [{ id: "own", tokens: 100 }],
};
const WORK = { tokens: 3000, streams: 1 };

/** Engines of one service. */
function createEngines(options: endpointPools.PoolOptions = {}) {
  const pool = endpointPools.EndpointPool.create(options);
  pool.update(
    ["fast", "slow"].map((id) =>
      fixture.entry({ id, address: id, service: "models", slots: SLOTS })
    ),
    (name) => ({
      name,
      connections: 1,
      engine: { slots: SLOTS, tokens: 100_000 },
    }),
  );
  const [fast, slow] = pool.endpointsOf("models");
  return { pool, fast, slow };
}

/** Records first events of the same work, a second apart and with some noise,
 * the last one at `now`. */
function recordFirstEvents(
  engine: endpoints.Endpoint,
  { took, count = 1, now = 0, ...change }: {
    took: number;
    count?: number;
    now?: number;
    isFetched?: boolean;
    work?: typeof WORK;
  },
) {
  const { work = WORK, ...rest } = change;
  for (let number = 0; number < count; number++) {
    const noise = 0.9 + 0.2 * (number % 2);
    const at = now - 1000 * (count - 1 - number);
    engine.recordFirstEvent(work, { took: noise * took, now: at, ...rest });
  }
}

/** Engines whose first events differ by a factor of 2.5, after 60 of each. */
function createUnevenEngines(options: endpointPools.PoolOptions = {}) {
  const created = createEngines(options);
  for (let number = 0; number < 60; number++) {
    const now = 1000 * (number - 59);
    recordFirstEvents(created.fast, { took: 100, now });
    recordFirstEvents(created.slow, { took: 250, now });
  }
  return created;
}

test("first events are predicted for each engine by its slowness", (t) => {
  const { fast, slow } = createUnevenEngines();
  // The momentary slowness has faded by then.
  const now = 3000;
  const ratio = slow.predictFirstEvent(3000, now) /
    fast.predictFirstEvent(3000, now);
  t.true(ratio > 2.1 && ratio < 2.7, `${ratio}`);
  const predicted = fast.predictFirstEvent(3000, now);
  t.true(predicted > 80 && predicted < 125, `${predicted}`);
});

// Guards against a model that describes whichever engines have had most of the
// calls: predictions for the others would be wrong by the factor between them.
test("calls to slow engines don't change the prediction for fast ones", (t) => {
  const { fast, slow } = createUnevenEngines();
  recordFirstEvents(slow, { took: 250, count: 150, now: 150_000 });
  const predicted = fast.predictFirstEvent(3000, 153_000);
  t.true(predicted > 80 && predicted < 125, `${predicted}`);
});

// Guards against a delay that a slow engine would keep for ever, in addition to
// its slowness.
test("a slow engine's first events are not delayed beyond its slowness", (t) => {
  const on = createUnevenEngines();
  const off = createUnevenEngines({ isPerformanceEnabled: false });
  t.true(on.slow.firstEventDelay(0) < 0.3 * off.slow.firstEventDelay(0));
});

// Guards against an engine that looks slow for its lifetime because others held
// up its first events.
test("fetches and queues beyond the slots don't make an engine slow", (t) => {
  const { pool, slow } = createEngines();
  recordFirstEvents(slow, { took: 100, count: 30 });
  const performance = pool.performances.get("models")!;
  performance.takeReports();
  recordFirstEvents(slow, { took: 900, count: 10, isFetched: true });
  const work = { tokens: 3000, streams: SLOTS };
  recordFirstEvents(slow, { took: 900, count: 10, work });
  t.deepEqual(performance.takeReports(), []);
});

test("a single first event that waited is outweighed by those after it", (t) => {
  const { pool, fast, slow } = createEngines();
  for (const engine of [fast, slow]) {
    recordFirstEvents(engine, { took: 100, count: 20 });
  }
  recordFirstEvents(slow, { took: 800, now: 1000 });
  t.false(pool.performances.get("models")!.isUneven(1000));
  recordFirstEvents(slow, { took: 100, count: 40, now: 41_000 });
  const range = pool.performances.get("models")!.range(41_000)!;
  t.true(range.slowest.slowness < 1.1);
});

test("while the service is even, values are the same as without the part", (t) => {
  const run = (isPerformanceEnabled: boolean) => {
    const random = runtime.createRandom(5);
    const { pool, fast, slow } = createEngines({ isPerformanceEnabled });
    return Array.from({ length: 200 }, (_, now) => {
      const engine = now % 2 === 0 ? fast : slow;
      const work = { tokens: random.below(9000), streams: random.below(6) };
      const took = 40 + work.tokens / 30 * (0.8 + 0.4 * random.next());
      engine.recordFirstEvent(work, { took, now });
      engine.recordGap(18 + 4 * random.next(), now);
      const isUneven = pool.performances.get("models")!.isUneven(now);
      const predicted = engine.predictFirstEvent(3000, now);
      return { isUneven, predicted, delay: engine.firstEventDelay(now) };
    });
  };
  const values = run(true);
  t.true(values.every(({ isUneven }) => !isUneven));
  t.deepEqual(values, run(false));
});

/** Runs a call whose stream has `gaps`; returns what other hosts are told. */
function stream(
  engine: endpoints.Endpoint,
  { gaps, isSuccess = true, isPlaced = true }: {
    gaps: readonly number[];
    isSuccess?: boolean;
    isPlaced?: boolean;
  },
) {
  const clock = new runtime.FakeClock();
  const changes: (loadUpdates.LoadChange | undefined)[] = [];
  const load = callLoads.CallLoad.start(engine, {
    clock,
    loadUpdates: { record: (_, change) => void changes.push(change) },
    prefillTokens: 100,
    ...(isPlaced && { pendingWork: WORK }),
  });
  clock.advance(100);
  load.recordFirstEvent();
  for (const gap of gaps) {
    clock.advance(gap);
    load.recordEvent();
  }
  load.end({ isSuccess });
  return changes.flatMap((change) => change?.gap ?? []);
}

const GAPS = [20, 20, 20, 20, 20];
/** Streams from which the service's mean gap is known. */
const STREAM_COUNT = 8;

function streamOften(engine: endpoints.Endpoint) {
  return Array.from(
    { length: STREAM_COUNT },
    () => stream(engine, { gaps: GAPS }),
  ).flat();
}

test("a stream's mean gap is reported relative to that of the service", (t) => {
  const { pool, fast, slow } = createEngines();
  t.deepEqual(streamOften(fast), []);
  const slowGaps = [30, 50, 40, 40, 40];
  const [ratio] = stream(slow, { gaps: slowGaps });
  t.true(Math.abs(ratio - 2) < 1e-9, `${ratio}`);
  const [report] = pool.performances.get("models")!.takeReports();
  t.is(report.endpoint, slow.identity.id);
  t.true(Math.abs(report.ratio - 2) < 1e-9);
  t.deepEqual(stream(slow, { gaps: slowGaps, isPlaced: false }), []);
});

test("failed streams and few events show nothing of an engine's speed", (t) => {
  const { pool, fast, slow } = createEngines();
  streamOften(fast);
  t.deepEqual(stream(slow, { gaps: [400, 400] }), []);
  t.deepEqual(stream(slow, { gaps: GAPS, isSuccess: false }), []);
  t.deepEqual(pool.performances.get("models")!.takeReports(), []);
});

test("an owner records the gaps that other hosts have seen", (t) => {
  const { pool, slow } = createEngines();
  const { id } = slow.identity;
  const use = { engine: id, tokens: 0, streams: 0, read: [], gaps: [2, 2] };
  pool.recordRemoteLoad("other", [use], 0);
  const [report] = pool.performances.get("models")!.takeReports();
  t.is(report.endpoint, id);
  t.is(report.count, 2);
});

// Guards against a slow engine that is nearly full, whose events come too late
// for callers although its first event is in time.
test("a slow engine is full with fewer streams than it has slots", (t) => {
  const { fast, slow } = createUnevenEngines();
  slow.inFlight = SLOTS - 1;
  fast.inFlight = SLOTS - 1;
  fast.backlog = 40_000;
  const context = {
    now: 0,
    random: { next: () => 0, below: () => 0 },
    dataCentre: "town",
  };
  const chosen = choices.chooseEngine([fast, slow], PROMPT, context)!;
  t.is(chosen.engine, fast);
});

// Guards against a log line without the value that decided a choice.
test("the record of a prompt's call names the slowness that was used", async (t) => {
  const uneven = await recordChoice(createUnevenEngines());
  t.true(uneven.slowness! > 1.4, `${uneven.slowness}`);
  t.false("slowness" in await recordChoice(createEngines()));
});

/** Record of a call to the slow engine, the only one that accepts calls. */
async function recordChoice({ pool, fast }: ReturnType<typeof createEngines>) {
  fast.isReady = false;
  const clock = new runtime.FakeClock();
  const random = runtime.createRandom(1);
  const common = { pool, clock, random, dataCentre: "town" };
  const placement = placements.Placement.create({
    ...common,
    self: "host",
    logger: telemetry.noLogger,
    metrics: telemetry.noMetrics,
    calls: { ask: () => Promise.reject(new Error("silent")), cast() {} },
    dependencies: () => [],
    hosts: () => [],
    busyHosts: () => [],
  });
  const choice = targetChoices.TargetChoice.create({
    ...common,
    placement,
    quotas: rateLimitFixture.unlimitedQuotas(),
    slots: concurrencyFixture.unlimitedSlots(),
  }, {
    service: "models",
    prompt: PROMPT,
    objective: 1000,
    deadline: 1000,
    rank: 0,
    endpointAdmission: { acquire: () => Promise.resolve(undefined) } as never,
  });
  const result = await choice.choose({ called: [], isFinished: () => false });
  if (result.type !== "target") throw new Error("no target");
  return callRecords.create(result.target);
}

// Guards against warm engines that look fast since a cold one has shifted what
// is typical of the service.
test("first events and gaps of a cold engine are compared with nothing", (t) => {
  const { pool, fast, slow } = createEngines();
  recordFirstEvents(fast, { took: 100, count: 40 });
  slow.cold = { time: 60_000, rate: 1 };
  slow.assumeCold(0);
  for (let number = 0; number < 20; number++) {
    recordFirstEvents(slow, { took: 1000, now: 1000 });
    t.is(slow.recordGap(500, 1000), undefined);
  }
  const performance = pool.performances.get("models")!;
  performance.takeReports();
  recordFirstEvents(fast, { took: 100, count: 2, now: 5000 });
  const [report] = performance.takeReports();
  t.true(report.ratio > 0.6, `${report.ratio}`);
});
