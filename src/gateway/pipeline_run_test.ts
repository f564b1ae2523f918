/** @module */

import test from "ava";
import * as configurations from "../configuration/mod.ts";
import * as fixture from "../configuration/fixture.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as calibrations from "./calibration.ts";
import type * as contexts from "./context.ts";
import * as pools from "./endpoint_pool.ts";
import type * as protocols from "./protocol.ts";
import * as stagings from "./pipeline_run.ts";

const ROUTE = fixture.route({
  kind: "streaming",
  objective: 1000,
  timeout: 15_000,
  stages: [{ service: "maps", after: [], bytes: 100 }],
});

/** Stages of a request that is needed at `town`; pieces wait so many
 * milliseconds in each data centre, and calls take `work` there. */
async function stagingOf(
  waits: Record<string, number>,
  { work = 0, waited = 0 } = {},
) {
  const calls: string[] = [];
  const slacks: number[] = [];
  const ranks: number[] = [];
  const pieces = fixture.batchTraits();
  const services = [{ name: "maps", connections: 10, batching: pieces }];
  const catalogue = configurations.Catalogue.create(
    fixture.configuration({ routes: [ROUTE], services }),
  );
  const maker: contexts.Context["maker"] = {
    selectPartition: (_, { dataCentre }) => dataCentre,
    reserve({ cell, slack, rank }: schema.BookQuestion) {
      calls.push(`book ${cell}`);
      slacks.push(slack);
      ranks.push(rank);
      return Promise.resolve({ wait: waits[cell], work });
    },
    compute({ cell, pieces }: schema.MakeQuestion) {
      calls.push(`make ${cell}`);
      return Promise.resolve(
        pieces.map((piece) => ({ piece, handle: `${cell}.${piece}` })),
      );
    },
    release({ cell }) {
      calls.push(`release ${cell}`);
    },
    cancel({ cell }) {
      calls.push(`drop ${cell}`);
    },
  };
  const context = {
    clock: new runtime.FakeClock(),
    random: { next: () => 0, below: () => 0 },
    metrics: telemetry.noMetrics,
    pool: pools.EndpointPool.create(),
    dataCentre: "town",
    maker,
    fleetView: {
      catalogue: () => catalogue,
      configurationAge: () => 0,
      hostCount: () => 1,
    },
    calibration: calibrations.Calibration.create(),
  } as unknown as contexts.Context;
  const ask: protocols.IncomingRequest = {
    id: "r",
    method: "POST",
    host: "host.example",
    target: "/a/x",
    headers: {},
    itemCounts: [2],
    itemKey: "k",
  };
  const staging = await stagings.PipelineRun.create(context, {
    request: ask,
    route: ROUTE,
    rank: 0,
    service: "desk",
    arrival: 0,
    priorWait: waited,
    deadline: 15_000,
  });
  return { staging, calls, slacks, ranks };
}

test("pieces are made where they are needed if they are in time there", async (t) => {
  const { staging, calls } = await stagingOf({ town: 0 });
  const inputs = ["town.0", "town.1"];
  t.deepEqual(await staging.run(), { type: "made", inputs });
  t.deepEqual(calls, ["book town", "make town"]);
});

test("a request is refused where its pieces would be late", async (t) => {
  const { staging, calls } = await stagingOf({ town: 5000 });
  const result = await staging.run();
  t.like(result, { type: "refused", reason: "no-time" });
  staging.close();
  t.deepEqual(calls, ["book town", "drop town"]);
});

// Guards against a refusal whose log line can't say which belief caused it.
test("what a forecast was made of is noted for the log", async (t) => {
  const { staging } = await stagingOf({ town: 5000 }, { work: 800 });
  await staging.run();
  t.like(staging.record, {
    errorMs: 24,
    forecast: [{ service: "maps", waitMs: 5000, workMs: 800 }],
  });
});

test("calls that others share take longer than one for its pieces alone", async (t) => {
  // 620 ms are left in a second for a wait of 100 and a call of 120 alone.
  const alone = await stagingOf({ town: 100 });
  t.is((await alone.staging.run()).type, "made");
  const shared = await stagingOf({ town: 100 }, { work: 800 });
  t.is((await shared.staging.run()).type, "refused");
});

test("who comes back is served late rather than refused again", async (t) => {
  const first = await stagingOf({ town: 1500 });
  t.is((await first.staging.run()).type, "refused");
  const back = await stagingOf({ town: 1500 }, { waited: 300 });
  t.is((await back.staging.run()).type, "made");
  t.true(back.staging.isLate);
});

test("who comes back too late stands behind those that can be in time", async (t) => {
  const first = await stagingOf({ town: 0 });
  await first.staging.run();
  t.false(first.staging.isLate);
  const back = await stagingOf({ town: 0 }, { waited: 1200 });
  await back.staging.run();
  t.true(back.staging.isLate);
  t.true(back.slacks[0] > first.slacks[0]);
});

// Guards against an overload in which those that come back and are late anyway
// take what those that can be in time need.
test("who is served late goes behind all ranks that can be in time", async (t) => {
  const back = await stagingOf({ town: 0 }, { waited: 1200 });
  await back.staging.run();
  t.true(back.ranks[0] > 2);
  const first = await stagingOf({ town: 0 });
  await first.staging.run();
  t.is(first.ranks[0], 0);
});

test("who comes back in time for its objective is wanted sooner", async (t) => {
  const first = await stagingOf({ town: 0 });
  const back = await stagingOf({ town: 0 }, { waited: 300 });
  await first.staging.run();
  await back.staging.run();
  t.false(back.staging.isLate);
  t.is(first.slacks[0] - back.slacks[0], 300);
});

test("who comes back and would have left before its answer is refused", async (t) => {
  const back = await stagingOf({ town: 9000 }, { waited: 300 });
  t.is((await back.staging.run()).type, "refused");
});
