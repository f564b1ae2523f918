/** @module */

import test from "ava";
import type * as undici from "undici";
import * as fixture from "../configuration/fixture.ts";
import type * as protocols from "../gateway/protocol.ts";
import * as quotaFixture from "../rate_limits/fixture.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as cellBatchers from "./partition_batcher.ts";
import * as pieceFixture from "./fixture.ts";

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

/** A batcher of one endpoint, whose calls are counted and never answered. */
function batcherOf(
  { isEvacuated = false, take = () => Promise.resolve(0) }: {
    isEvacuated?: boolean;
    take?: () => Promise<number>;
  } = {},
) {
  const [worker] = pieceFixture.workersAt({ hall: 1 });
  const state = { isEvacuated, calls: 0 };
  const batcher = cellBatchers.PartitionBatcher.create({
    clock: new runtime.FakeClock(),
    metrics: telemetry.noMetrics,
    logger: telemetry.noLogger,
    service: "maps",
    traits: () => fixture.batchTraits(),
    workers: () => state.isEvacuated ? [] : [worker],
    isEvacuated: () => state.isEvacuated,
    acceptsCalls: () => !state.isEvacuated,
    recordResponse() {},
    quotas: {
      ...quotaFixture.unlimitedQuotas(),
      isLimited: () => true,
      acquire: take,
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

test("pieces that wait for an evacuated data centre are given back", async (t) => {
  const { batcher, state } = batcherOf({ isEvacuated: true });
  const results = await batcher.compute(QUESTION);
  t.deepEqual(results.map(({ failure }) => failure), [
    "unreachable",
    "unreachable",
  ]);
  t.is(state.calls, 0);
});

test("a call that waits for a grant is not made after an evacuation began", async (t) => {
  let grant = (_: number) => {};
  const take = () => new Promise<number>((resolve) => grant = resolve);
  const { batcher, state } = batcherOf({ take });
  const made = batcher.compute(QUESTION);
  state.isEvacuated = true;
  grant(0);
  const results = await made;
  t.true(results.every(({ failure }) => failure === "unreachable"));
  t.is(state.calls, 0);
});

test("a call is made where nothing is evacuated", async (t) => {
  const { batcher, state } = batcherOf();
  void batcher.compute(QUESTION);
  await new Promise(setImmediate);
  t.is(state.calls, 1);
});
