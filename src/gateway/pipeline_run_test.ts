/** @module */

import test from "ava";
import * as configurations from "../configuration/mod.ts";
import * as fixture from "../configuration/fixture.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as calibrations from "./calibration.ts";
import type * as contexts from "./context.ts";
import * as endpointPools from "./endpoint_pool.ts";
import type * as protocols from "./protocol.ts";
import * as pipelineRuns from "./pipeline_run.ts";

const ROUTE = fixture.route({
  kind: "streaming",
  objective: 1000,
  timeout: 15_000,
  stages: [{ service: "maps", after: [], bytes: 100 }],
});

/** Stages of a request whose results are needed in `town`. Items queue for the
 * given milliseconds in each data centre, and calls take `work`
 * milliseconds. */
async function createRun(
  waits: Record<string, number>,
  { work = 0, priorWait = 0, stages = ROUTE.stages } = {},
) {
  const route = { ...ROUTE, stages };
  const calls: string[] = [];
  const slacks: number[] = [];
  const ranks: number[] = [];
  const traits = fixture.batchTraits();
  const services = ["maps", "checks"].map((name) => ({
    name,
    connections: 10,
    batching: traits,
  }));
  const catalogue = configurations.Catalogue.create(
    fixture.configuration({ routes: [route], services }),
  );
  const batcherClient: contexts.Context["batcherClient"] = {
    selectPartition: (_, { dataCentre }) => dataCentre,
    dataCentresBeside: (_, { dataCentre }) =>
      Object.keys(waits).filter((each) => each !== dataCentre),
    reserve({ cell, slack, rank }: schema.BookQuestion) {
      calls.push(`reserve ${cell}`);
      slacks.push(slack);
      ranks.push(rank);
      return Promise.resolve({ wait: waits[cell], work });
    },
    compute({ cell, pieces }: schema.MakeQuestion) {
      calls.push(`compute ${cell}`);
      return Promise.resolve(
        pieces.map((piece) => ({ piece, handle: `${cell}.${piece}` })),
      );
    },
    release({ cell }) {
      calls.push(`release ${cell}`);
    },
    cancel({ cell }) {
      calls.push(`cancel ${cell}`);
    },
  };
  const clock = new runtime.FakeClock();
  const counted: unknown[] = [];
  const metrics: telemetry.Metrics = {
    ...telemetry.noMetrics,
    count: (name, _, labels) => {
      if (name === "gateway.no_time") counted.push(labels);
    },
  };
  const context = {
    clock,
    random: { next: () => 0, below: () => 0 },
    metrics,
    pool: endpointPools.EndpointPool.create(),
    dataCentre: "town",
    batcherClient,
    fleetView: {
      catalogue: () => catalogue,
      configurationAge: () => 0,
      hostCount: () => 1,
    },
    calibration: calibrations.Calibration.create(),
  } as unknown as contexts.Context;
  const request: protocols.IncomingRequest = {
    id: "r",
    method: "POST",
    host: "host.example",
    target: "/a/x",
    headers: {},
    itemCounts: stages.map(() => 2),
    itemKey: "k",
  };
  const run = await pipelineRuns.PipelineRun.create(context, {
    request,
    route,
    rank: 0,
    service: "desk",
    arrival: 0,
    priorWait,
    deadline: 15_000,
  });
  return { run, calls, slacks, ranks, clock, counted };
}

/** Lets `ms` milliseconds pass, and what waits for them run. */
async function pass(clock: runtime.FakeClock, ms: number) {
  for (const end = clock.now() + ms; clock.now() < end;) {
    clock.advance(50);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test("items are executed where they are needed if they are in time there", async (t) => {
  const { run, calls } = await createRun({ town: 0 });
  const inputs = ["town.0", "town.1"];
  t.deepEqual(await run.run(), { type: "made", inputs });
  t.deepEqual(calls, ["reserve town", "compute town"]);
});

// Guards against a second release of the same results as a request ends, which
// costs the partition's owner a message and its endpoints a call each.
test("results are released once", async (t) => {
  const { run, calls } = await createRun({ town: 0 });
  await run.run();
  run.release();
  run.close();
  t.deepEqual(calls, ["reserve town", "compute town", "release town"]);
});

test("a request is refused if its items would be late", async (t) => {
  const { run, calls } = await createRun({ town: 5000 });
  const result = await run.run();
  t.like(result, { type: "refused", reason: "no-time" });
  run.close();
  t.deepEqual(calls, ["reserve town", "cancel town"]);
});

// Guards against a refusal whose log line doesn't show which value caused it.
test("the terms of a forecast are recorded for the log", async (t) => {
  const { run } = await createRun({ town: 5000 }, { work: 800 });
  await run.run();
  t.like(run.record, {
    errorMs: 24,
    forecast: [{ service: "maps", waitMs: 5000, workMs: 800 }],
  });
});

test("the forecast counts the longer duration of calls shared with others", async (t) => {
  // A wait of 100 ms and an unshared call of 120 ms fit an objective of a
  // second; with a shared call of 800 ms the calibrated forecast exceeds it.
  const alone = await createRun({ town: 100 });
  t.is((await alone.run.run()).type, "made");
  const shared = await createRun({ town: 100 }, { work: 800 });
  t.is((await shared.run.run()).type, "refused");
});

test("a retry is served late rather than refused again", async (t) => {
  const first = await createRun({ town: 1500 });
  t.is((await first.run.run()).type, "refused");
  const back = await createRun({ town: 1500 }, { priorWait: 300 });
  const result = back.run.run();
  await pass(back.clock, 10_000);
  t.is((await result).type, "made");
  t.true(back.run.isLate);
});

// Guards against late requests whose results take memory while they queue at a
// later stage: requests that can be in time are refused for it.
test("a late request starts its stages once their queues are short", async (t) => {
  const waits = { town: 1500 };
  const { run, calls, clock } = await createRun(waits, { priorWait: 1200 });
  const result = run.run();
  await pass(clock, 1000);
  t.false(calls.includes("compute town"));
  waits.town = 0;
  await pass(clock, 1000);
  t.like(await result, { type: "made" });
  t.true(run.record.heldMs! >= 1000);
});

test("a late request starts before its caller leaves, however long queues are", async (t) => {
  const { run, calls, clock } = await createRun(
    { town: 1500 },
    { priorWait: 1200 },
  );
  const result = run.run();
  // The caller leaves after 4 s without an answer.
  await pass(clock, 3000);
  t.true(calls.includes("compute town"));
  t.like(await result, { type: "made" });
});

test("a late request that is closed while it waits starts no stage", async (t) => {
  const { run, calls, clock } = await createRun(
    { town: 1500 },
    { priorWait: 1200 },
  );
  void run.run();
  await pass(clock, 500);
  run.close();
  await pass(clock, 5000);
  t.false(calls.includes("compute town"));
  t.is(calls.at(-1), "cancel town");
});

test("a retry that can't meet its objective is due later", async (t) => {
  const first = await createRun({ town: 0 });
  await first.run.run();
  t.false(first.run.isLate);
  const back = await createRun({ town: 0 }, { priorWait: 1200 });
  await back.run.run();
  t.true(back.run.isLate);
  t.true(back.slacks[0] > first.slacks[0]);
});

// Guards against an overload in which late retries take the capacity of
// requests that can still meet their objective.
test("a late request has a lower rank than all that can meet their objective", async (t) => {
  const back = await createRun({ town: 0 }, { priorWait: 1200 });
  await back.run.run();
  t.true(back.ranks[0] > 2);
  const first = await createRun({ town: 0 });
  await first.run.run();
  t.is(first.ranks[0], 0);
});

test("a retry that can still meet its objective is due sooner", async (t) => {
  const first = await createRun({ town: 0 });
  const back = await createRun({ town: 0 }, { priorWait: 300 });
  await first.run.run();
  await back.run.run();
  t.false(back.run.isLate);
  t.is(first.slacks[0] - back.slacks[0], 300);
});

test("a retry whose caller would leave before the answer is refused", async (t) => {
  const back = await createRun({ town: 9000 }, { priorWait: 300 });
  t.is((await back.run.run()).type, "refused");
});

// Guards against refusals of one kind whose cause takes a search in logs.
test("a refusal is counted by the stage that would wait longest", async (t) => {
  const { run, counted } = await createRun({ town: 5000 });
  await run.run();
  t.deepEqual(counted, [{ route: "route", service: "maps", scarce: "none" }]);
});

// Guards against requests that are refused for the queue of one data centre
// while another one has endpoints to spare.
test("a request that would be late in its data centre is computed in another one", async (t) => {
  const { run, calls } = await createRun({ town: 5000, port: 3000, hall: 0 });
  t.like(await run.run(), { type: "made", inputs: ["hall.0", "hall.1"] });
  t.is(run.record.overflow, "hall");
  t.deepEqual(calls, [
    "reserve town",
    "cancel town",
    "reserve port",
    "cancel port",
    "reserve hall",
    "compute hall",
  ]);
});

// Guards against reservations that nobody uses, which count against others.
test("a request that would be late everywhere leaves no reservation", async (t) => {
  const { run, calls } = await createRun({ town: 5000, hall: 4000 });
  t.like(await run.run(), { type: "refused", reason: "no-time" });
  run.close();
  for (const dataCentre of ["town", "hall"]) {
    t.true(
      calls.lastIndexOf(`cancel ${dataCentre}`) >
        calls.lastIndexOf(`reserve ${dataCentre}`),
    );
  }
  t.is(run.record.overflow, undefined);
});

// Guards against reservations that are made while the caller leaves.
test("a request that is closed while it reserves leaves no reservation", async (t) => {
  const { run, calls } = await createRun({ town: 5000, hall: 0 });
  const reserving = run.run();
  run.close();
  await Promise.race([
    reserving,
    new Promise((resolve) => setImmediate(resolve)),
  ]);
  for (const dataCentre of ["town", "hall"]) {
    t.true(
      calls.lastIndexOf(`cancel ${dataCentre}`) >=
        calls.lastIndexOf(`reserve ${dataCentre}`),
    );
  }
  t.false(calls.some((call) => call.startsWith("compute")));
});

test("no more than two other data centres are asked", async (t) => {
  const waits = { town: 5000, a: 4000, b: 4000, c: 0 };
  const { run, calls } = await createRun(waits);
  t.is((await run.run()).type, "refused");
  t.false(calls.includes("reserve c"));
});

test("a request that is in time in its data centre stays there", async (t) => {
  const { run, calls } = await createRun({ town: 300, hall: 0 });
  t.is((await run.run()).type, "made");
  t.false(calls.includes("reserve hall"));
});

test("large results are computed where they are needed", async (t) => {
  const stages = [{ ...ROUTE.stages[0], bytes: 3_000_000 }];
  const { run, calls } = await createRun({ town: 5000, hall: 0 }, { stages });
  t.is((await run.run()).type, "refused");
  t.false(calls.includes("reserve hall"));
});

// Guards against questions to other data centres that can't help, in an
// overload of a stage that stays.
test("no other data centre is asked where a stage that stays makes the request late", async (t) => {
  const stages = [
    { service: "maps", after: [], bytes: 3_000_000 },
    { service: "checks", after: [], bytes: 100 },
  ];
  const { run, calls } = await createRun({ town: 5000, hall: 0 }, { stages });
  t.is((await run.run()).type, "refused");
  t.false(calls.includes("reserve hall"));
});
