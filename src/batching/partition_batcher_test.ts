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

const NO_CONTROLLER = {} as undici.Dispatcher.DispatchController;

/** Duration of an answered call: twice that of two items by the
 * configuration. */
const CALL_MS = 240;

/** A batcher with one endpoint, whose calls are counted and, unless there are
 * `results`, never answered. */
function batcherOf(
  {
    isClosed = false,
    acquire = () => Promise.resolve(0),
    backoff = 0,
    results,
    recordDurationRatio = () => {},
  }: {
    isClosed?: boolean;
    results?: readonly protocols.ItemResult[];
    recordDurationRatio?: (endpoint: string, ratio: number) => void;
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
    partialAnswers: { update() {}, remove() {} },
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
    sharedSlowness: () => undefined,
    recordDurationRatio,
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
      decodeReply: (status: number) => ({ status }),
      decodeItemResults: () => results,
    } as unknown as protocols.GatewayProtocol,
    dispatcher: {
      dispatch(
        _options: undici.Dispatcher.DispatchOptions,
        handler: undici.Dispatcher.DispatchHandler,
      ) {
        state.calls++;
        const controller = NO_CONTROLLER;
        if (state.isUnreachable) {
          handler.onResponseError?.(controller, new Error("unreachable"));
        }
        if (results !== undefined) {
          clock.advance(CALL_MS);
          handler.onResponseStart?.(controller, 200, { "content-length": "0" });
          handler.onResponseEnd?.(controller, {});
        }
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

// Guards against an endpoint that looks fast because it computed only some items
// of a call, or none.
for (const failure of ["room", "late", undefined] as const) {
  const title = failure === undefined
    ? "the duration of a complete call is compared with the configuration"
    : `a call with an item that failed (${failure}) is not compared`;
  test(title, async (t) => {
    const ratios: number[] = [];
    const made = { type: "made", handle: "a" } as const;
    const second = failure === undefined
      ? made
      : { type: "failed", failure } as const;
    const { batcher } = batcherOf({
      results: [made, second],
      recordDurationRatio: (_, ratio) => void ratios.push(ratio),
    });
    void batcher.compute(QUESTION);
    await settle();
    await settle();
    t.deepEqual(ratios.slice(0, 1), failure === undefined ? [2] : []);
  });
}
