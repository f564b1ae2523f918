/** @module */

import test from "ava";
import type * as undici from "undici";
import * as concurrencyFixture from "../concurrency/fixture.ts";
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
  { isClosed = false, acquire = () => Promise.resolve(0), backoff = 0 }: {
    isClosed?: boolean;
    acquire?: () => Promise<number>;
    /** Milliseconds for which the endpoint asks for no calls. */
    backoff?: number;
  } = {},
) {
  const [worker] = batchingFixture.workersAt({ hall: 1 });
  const state = { isClosed, calls: 0, isUnreachable: false };
  const clock = new runtime.FakeClock();
  const left = () => Math.max(0, backoff - clock.now());
  const batcher = partitionBatchers.PartitionBatcher.create({
    clock,
    metrics: telemetry.noMetrics,
    logger: telemetry.noLogger,
    service: "maps",
    traits: () => fixture.batchTraits(),
    workers: () => state.isClosed || left() > 0 ? [] : [worker],
    isClosed: () => state.isClosed,
    acceptsCalls: () => !state.isClosed,
    recordHead() {},
    endpointAt: () => worker.id,
    backoff: left,
    resumesIn: left,
    recordResponse() {},
    slots: concurrencyFixture.unlimitedSlots(),
    quotas: {
      ...quotaFixture.unlimitedQuotas(),
      isLimited: () => true,
      acquire,
    },
    protocol: {
      batchCall: () => ({ method: "POST", path: "/", headers: {}, body: "" }),
      releaseCall: () => ({ method: "POST", path: "/", headers: {}, body: "" }),
      holderOf: () => worker.address,
    } as unknown as protocols.GatewayProtocol,
    dispatcher: {
      dispatch(
        _options: undici.Dispatcher.DispatchOptions,
        handler: { onResponseError(): void },
      ) {
        state.calls++;
        if (state.isUnreachable) handler.onResponseError();
        return true;
      },
    } as unknown as undici.Dispatcher,
  });
  return { batcher, state, clock };
}

/** Lets promises settle. */
const settle = () => new Promise(setImmediate);

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

// Guards against calls for items during the backoff that an endpoint asked for.
test("items wait for the end of their only endpoint's backoff", async (t) => {
  const { batcher, state, clock } = batcherOf({ backoff: 3000 });
  const { wait } = batcher.reserve({
    ...QUESTION,
    type: "book",
    request: "other",
    pieces: 1,
    slack: 9000,
  });
  t.is(wait, 3000);
  void batcher.compute(QUESTION);
  await settle();
  clock.advance(2900);
  await settle();
  t.is(state.calls, 0);
  clock.advance(200);
  await settle();
  t.is(state.calls, 1);
});

test("results are released after the backoff of their endpoint", async (t) => {
  const { batcher, state, clock } = batcherOf({ backoff: 3000 });
  batcher.release(["result"]);
  clock.advance(100);
  await settle();
  t.is(state.calls, 0);
  for (let step = 0; step < 4; step++) {
    clock.advance(1000);
    await settle();
  }
  t.is(state.calls, 1);
});

// Guards against endpoints that get no items for seconds after a partition of
// their batcher's host has ended.
test("an endpoint that no connection reached gets calls again soon", async (t) => {
  const { batcher, state, clock } = batcherOf();
  state.isUnreachable = true;
  for (let round = 0; round < 3; round++) {
    const computed = batcher.compute({ ...QUESTION, request: `r${round}` });
    for (let step = 0; step < 20; step++) {
      await settle();
      clock.advance(100);
    }
    const results = await computed;
    t.true(results.every(({ failure }) => failure === "unreachable"));
  }
  state.isUnreachable = false;
  const before = state.calls;
  void batcher.compute({ ...QUESTION, request: "later" });
  for (let step = 0; step < 5; step++) {
    await settle();
    clock.advance(100);
  }
  t.is(state.calls, before + 1);
});
