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
import * as receivedHandles from "./received_handles.ts";
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
    endpointCount = 1,
  }: {
    isClosed?: boolean;
    endpointCount?: number;
    results?: readonly protocols.ItemResult[];
    recordDurationRatio?: (endpoint: string, ratio: number) => void;
    acquire?: () => Promise<number>;
    /** Milliseconds for which the endpoint asks for no calls. */
    backoff?: number;
  } = {},
) {
  const workers = batchingFixture.workersAt({ hall: endpointCount });
  const [worker] = workers;
  const state = {
    isClosed,
    calls: 0,
    isUnreachable: false,
    /** Calls that compute items, in order, and handles that were released. */
    sent: [] as SentCall[],
    released: [] as string[],
    breaks: 0,
  };
  const clock = new runtime.FakeClock();
  const left = () => Math.max(0, backoff - clock.now());
  const batcher = partitionBatchers.PartitionBatcher.create({
    clock,
    metrics: telemetry.noMetrics,
    logger: telemetry.noLogger,
    partialAnswers: { update() {}, remove() {} },
    service: "maps",
    receivedHandles: receivedHandles.ReceivedHandles.create(),
    traits: () => fixture.batchTraits(),
    workers: () => state.isClosed || left() > 0 ? [] : workers,
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
      batchCall: (_: string, items: readonly protocols.ItemRequest[]) => ({
        method: "POST",
        path: "/",
        headers: {},
        body: JSON.stringify(items),
      }),
      releaseCall: (handles: readonly string[]) => {
        state.released.push(...handles);
        return { method: "POST", path: "/", headers: {}, body: "" };
      },
      holderOf: () => worker.address,
      decodeReply: (status: number) => ({ status }),
      decodeItemResults: (body: Buffer) =>
        results ?? JSON.parse(body.toString()),
    } as unknown as protocols.GatewayProtocol,
    dispatcher: {
      recordBreak: () => void state.breaks++,
      dispatch(
        { origin, body }: undici.Dispatcher.DispatchOptions,
        handler: undici.Dispatcher.DispatchHandler,
      ) {
        state.calls++;
        const controller = NO_CONTROLLER;
        if (state.isUnreachable) {
          handler.onResponseError?.(controller, new Error("unreachable"));
          return true;
        }
        if (body !== "") state.sent.push(sentCall(`${origin}`, handler));
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

/** A call that computes items, and what becomes of it. */
interface SentCall {
  readonly origin: string;
  isAborted: boolean;
  /** Answers it with a result for each of its items. */
  answer(handles: readonly string[]): void;
}

function sentCall(
  origin: string,
  handler: undici.Dispatcher.DispatchHandler,
): SentCall {
  const abort = () => void (call.isAborted = true);
  const controller = {
    abort,
  } as unknown as undici.Dispatcher.DispatchController;
  const call: SentCall = {
    origin,
    isAborted: false,
    answer(handles) {
      const made = handles.map((handle) => ({ type: "made", handle }));
      const body = Buffer.from(JSON.stringify(made));
      const headers = { "content-length": `${body.length}` };
      handler.onResponseStart?.(controller, 200, headers);
      handler.onResponseData?.(controller, body);
      handler.onResponseEnd?.(controller, {});
    },
  };
  handler.onRequestStart?.(controller, {});
  return call;
}

/** Timeout of a call with the two items of `QUESTION`, and a moment more. */
const OVERDUE_MS = 400 + 6 * 120 + 1;

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

// Guards against the loss of what a sound endpoint computes that was silent for
// longer than the timeout of its call: the call was cancelled, and the results
// took up memory there until they expired.
test("an endpoint that goes on after a silence gives the results of its call", async (t) => {
  const { batcher, state, clock } = batcherOf();
  const computed = batcher.compute(QUESTION);
  await settle();
  clock.advance(OVERDUE_MS);
  await settle();
  const [call] = state.sent;
  t.false(call.isAborted);
  call.answer(["a", "b"]);
  t.deepEqual(await computed, [
    { piece: 0, handle: "a" },
    { piece: 1, handle: "b" },
  ]);
  clock.advance(1000);
  await settle();
  t.is(state.calls, 1);
});

// Guards against items that wait for a silent endpoint while others are idle,
// and against results that are made twice and then kept by nobody.
test("items of a silent endpoint are computed elsewhere, and its results released", async (t) => {
  const { batcher, state, clock } = batcherOf({ endpointCount: 2 });
  const computed = batcher.compute(QUESTION);
  await settle();
  clock.advance(OVERDUE_MS);
  await settle();
  const [silent, other] = state.sent;
  t.not(other.origin, silent.origin);
  t.is(state.breaks, 1);
  other.answer(["a", "b"]);
  await computed;
  silent.answer(["c", "d"]);
  await settle();
  clock.advance(100);
  await settle();
  t.deepEqual(state.released, ["c", "d"]);
});

// Guards against results of an earlier call that are counted for other items.
test("a late result completes only the item that it is for", async (t) => {
  const { batcher, state, clock } = batcherOf({ endpointCount: 2 });
  const first = batcher.compute({ ...QUESTION, remaining: OVERDUE_MS + 100 });
  await settle();
  clock.advance(OVERDUE_MS);
  await settle();
  clock.advance(200);
  await settle();
  const [silent, other] = state.sent;
  other.answer(["a", "b"]);
  await first;
  const second = batcher.compute({ ...QUESTION, pieces: [1] });
  await settle();
  silent.answer(["c", "d"]);
  t.deepEqual(await second, [{ piece: 1, handle: "d" }]);
});

// Guards against an endpoint that stays avoided after it has gone on, for as long
// as its failures had doubled the pause.
test("an endpoint that goes on is called again at once", async (t) => {
  const { batcher, state, clock } = batcherOf();
  void batcher.compute(QUESTION);
  await settle();
  clock.advance(OVERDUE_MS);
  await settle();
  state.sent[0].answer(["a", "b"]);
  await settle();
  void batcher.compute({ ...QUESTION, request: "next" });
  await settle();
  t.is(state.sent.length, 2);
});

// Guards against calls that pile up at an endpoint that never goes on.
test("one overdue call is kept at an endpoint, and for some seconds", async (t) => {
  const { batcher, state, clock } = batcherOf();
  void batcher.compute(QUESTION);
  for (let step = 0; step < 60; step++) {
    await settle();
    clock.advance(100);
    const open = state.sent.filter(({ isAborted }) => !isAborted);
    t.true(open.length <= 2, `${open.length} after ${step}`);
  }
  t.true(state.sent.length >= 3);
  t.true(state.sent[0].isAborted);
});
