/** @module */

import test from "ava";
import type * as undici from "undici";
import * as fixture from "../configuration/fixture.ts";
import type * as protocols from "../gateway/protocol.ts";
import * as quotaFixture from "../rate_limits/fixture.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as partitionBatchers from "./partition_batcher.ts";
import * as batchingFixture from "./fixture.ts";

const QUESTION: schema.MakeQuestion = {
  type: "make",
  service: "maps",
  cell: "all",
  request: "r",
  stage: 0,
  pieces: [0, 1],
  bytes: 100,
  remaining: 9000,
  rank: 0,
};

/** A batcher with one endpoint, whose calls are counted and never answered. */
function batcherOf(
  { isClosed = false, acquire = () => Promise.resolve(0) }: {
    isClosed?: boolean;
    acquire?: () => Promise<number>;
  } = {},
) {
  const [worker] = batchingFixture.workersAt({ hall: 1 });
  const state = { isClosed, calls: 0 };
  const batcher = partitionBatchers.PartitionBatcher.create({
    clock: new runtime.FakeClock(),
    metrics: telemetry.noMetrics,
    logger: telemetry.noLogger,
    service: "maps",
    traits: () => fixture.batchTraits(),
    workers: () => state.isClosed ? [] : [worker],
    isClosed: () => state.isClosed,
    acceptsCalls: () => !state.isClosed,
    recordHead() {},
    recordResponse() {},
    quotas: {
      ...quotaFixture.unlimitedQuotas(),
      isLimited: () => true,
      acquire,
    },
    protocol: {
      batchCall: () => ({ method: "POST", path: "/", headers: {}, body: "" }),
    } as unknown as protocols.GatewayProtocol,
    dispatcher: {
      dispatch() {
        state.calls++;
        return true;
      },
    } as unknown as undici.Dispatcher,
  });
  return { batcher, state };
}

test("queued items fail as unreachable if their data centre is evacuated", async (t) => {
  const { batcher, state } = batcherOf({ isClosed: true });
  const results = await batcher.compute(QUESTION);
  t.deepEqual(results.map(({ failure }) => failure), [
    "unreachable",
    "unreachable",
  ]);
  t.is(state.calls, 0);
});

test("a call that waited for a grant is not computed after an evacuation has begun", async (t) => {
  let grant = (_: number) => {};
  const acquire = () => new Promise<number>((resolve) => grant = resolve);
  const { batcher, state } = batcherOf({ acquire });
  const computed = batcher.compute(QUESTION);
  state.isClosed = true;
  grant(0);
  const results = await computed;
  t.true(results.every(({ failure }) => failure === "unreachable"));
  t.is(state.calls, 0);
});

test("a call is computed if the data centre is not evacuated", async (t) => {
  const { batcher, state } = batcherOf();
  void batcher.compute(QUESTION);
  await new Promise(setImmediate);
  t.is(state.calls, 1);
});
