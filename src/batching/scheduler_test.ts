/** @module */

import test from "ava";
import * as configurations from "../configuration/fixture.ts";
import * as fixture from "./fixture.ts";
import * as schedulers from "./scheduler.ts";
import type * as tasks from "./task.ts";

function worker(id: string, dataCentre = "town"): tasks.Worker {
  return { id, name: id, address: `10.0.0.1:${id}`, dataCentre };
}

function schedulerOf(...workers: tasks.Worker[]) {
  const scheduler = schedulers.Scheduler.create(configurations.batchTraits());
  scheduler.setWorkers(workers);
  return scheduler;
}

function completeCall(
  scheduler: schedulers.Scheduler,
  assignment: tasks.Assignment,
  now = 140,
) {
  const results = assignment.tasks.map((
    { request, itemIndex, bytes },
  ) => ({
    handle: `${request}.${itemIndex}`,
    bytes,
  }));
  scheduler.completeCall(assignment, { results, duration: 140, now });
}

test("a call combines tasks of several requests, up to the batch size", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add([...fixture.tasks("a", 3), ...fixture.tasks("b", 3)]);
  const [call, ...others] = scheduler.assign(0);
  t.deepEqual(call.tasks.map(({ request }) => request), ["a", "a", "a", "b"]);
  t.deepEqual(others, []);
  t.is(scheduler.waiting.length, 2);
});

test("an endpoint gets no more calls at once than it has slots", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("a", 5));
  const [call] = scheduler.assign(0);
  t.deepEqual(scheduler.assign(1), []);
  completeCall(scheduler, call);
  t.is(scheduler.assign(140).length, 1);
});

test("the most urgent task runs first, unless it is late already", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("late", 4, { dueAt: 10 }));
  scheduler.add(fixture.tasks("later", 4, { dueAt: 3000 }));
  scheduler.add(fixture.tasks("soon", 4, { dueAt: 1000 }));
  const [call] = scheduler.assign(500);
  t.is(call.tasks[0].request, "soon");
});

test("a late task that is about to expire runs before tasks that can wait", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("late", 4, { dueAt: 10, expiresAt: 1000 }));
  scheduler.add(fixture.tasks("later", 4, { dueAt: 3000 }));
  const [call] = scheduler.assign(500);
  t.is(call.tasks[0].request, "late");
});

test("the rest of a started stage keeps its priority after it has become late", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("started", 5, { dueAt: 200 }));
  const [first] = scheduler.assign(0);
  scheduler.add(fixture.tasks("fresh", 4, { dueAt: 1000 }));
  scheduler.add(fixture.tasks("late", 4, { dueAt: 200 }));
  completeCall(scheduler, first, 500);
  const [call] = scheduler.assign(500);
  const requests = call.tasks.map(({ request }) => request);
  t.deepEqual(requests, ["started", "fresh", "fresh", "fresh"]);
});

test("a call contains no more items than the endpoint's memory can hold", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("a", 8, { bytes: 300 }));
  const [call] = scheduler.assign(0);
  t.is(call.tasks.length, 3);
  completeCall(scheduler, call);
  t.deepEqual(scheduler.assign(140), []);
  scheduler.releaseResults("10.0.0.1:1", ["a.0", "a.1"]);
  t.is(scheduler.assign(140)[0].tasks.length, 2);
});

test("results that are not released expire and free their memory", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("a", 8, { bytes: 300, expiresAt: 20_000 }));
  completeCall(scheduler, scheduler.assign(0)[0]);
  t.deepEqual(scheduler.assign(4000), []);
  t.is(scheduler.assign(4200)[0].tasks.length, 3);
});

test("an endpoint is paused after a failure", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("a", 4));
  const [call] = scheduler.assign(0);
  scheduler.failCall(call, { now: 100 });
  scheduler.add(call.tasks);
  t.deepEqual(scheduler.assign(200), []);
  t.is(scheduler.assign(500).length, 1);
});

test("the calls and results of an endpoint still count after it was unreachable", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("a", 8, { bytes: 300 }));
  const [call] = scheduler.assign(0);
  scheduler.setWorkers([]);
  scheduler.setWorkers([worker("1")]);
  t.deepEqual(scheduler.assign(10), []);
  completeCall(scheduler, call);
  scheduler.setWorkers([]);
  t.deepEqual(scheduler.assign(150), []);
  scheduler.setWorkers([worker("1")]);
  t.deepEqual(scheduler.assign(160), []);
});

test("a slow endpoint is assigned calls after faster ones", (t) => {
  const scheduler = schedulerOf(worker("1"), worker("2"));
  scheduler.add(fixture.tasks("a", 4));
  const [call] = scheduler.assign(0);
  const results: [] = [];
  scheduler.completeCall(call, { results, duration: 900, now: 900 });
  scheduler.add(fixture.tasks("b", 4, { dueAt: 5000 }));
  t.not(scheduler.assign(1000)[0].worker.id, call.worker.id);
});

test("a task with a large result waits for an endpoint where the result is needed", (t) => {
  const scheduler = schedulers.Scheduler.create(
    configurations.batchTraits({ room: 10_000_000 }),
  );
  scheduler.setWorkers([worker("1", "near"), worker("2", "far")]);
  const large = {
    bytes: 3_000_000,
    transferBytes: 3_000_000,
    dataCentre: "near",
  };
  scheduler.add(fixture.tasks("a", 1, large));
  t.is(scheduler.assign(0)[0].worker.id, "1");
  scheduler.add(fixture.tasks("b", 1, large));
  t.deepEqual(scheduler.assign(10), []);
  t.is(scheduler.assign(1800)[0].worker.id, "2");
});

test("an endpoint short of memory delays a small call until more is released", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("a", 4, { bytes: 200 }));
  const [call] = scheduler.assign(0);
  completeCall(scheduler, call);
  scheduler.add(fixture.tasks("b", 4, { bytes: 150 }));
  t.deepEqual(scheduler.assign(140), []);
  t.is(scheduler.wakeAt(140), 240);
  scheduler.releaseResults("10.0.0.1:1", ["a.0"]);
  t.is(scheduler.assign(150)[0].tasks.length, 2);
});

test("a small call is delayed for at most the fixed duration of a call", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("a", 4, { bytes: 200 }));
  const [call] = scheduler.assign(0);
  completeCall(scheduler, call);
  scheduler.add(fixture.tasks("b", 4, { bytes: 150 }));
  scheduler.assign(140);
  t.is(scheduler.assign(240)[0].tasks.length, 1);
});

test("an endpoint runs tasks of its own data centre before more urgent ones of others", (t) => {
  const scheduler = schedulerOf(worker("1", "near"));
  const transferBytes = 1_000_000;
  scheduler.add(
    fixture.tasks("far", 4, {
      transferBytes,
      dataCentre: "far",
      dueAt: 1500,
    }),
  );
  scheduler.add(
    fixture.tasks("near", 2, { transferBytes, dataCentre: "near" }),
  );
  scheduler.setWorkers([worker("1", "near"), worker("2", "far")]);
  const calls = scheduler.assign(0);
  const requestsAt = (id: string) =>
    calls.find((call) => call.worker.id === id)!.tasks.map((task) =>
      task.request
    );
  t.deepEqual(requestsAt("1").slice(0, 2), ["near", "near"]);
});

test("a reservation adds to the wait of tasks behind it", (t) => {
  const scheduler = schedulerOf(worker("1"));
  const reservation = { stage: 0, count: 8, dueAt: 1000, rank: 0 };
  t.is(scheduler.reserve({ ...reservation, request: "a" }, 0).wait, 0);
  t.is(Math.round(scheduler.forecast({ dueAt: 1000, rank: 0 }, 0).wait), 280);
  scheduler.reserve({ ...reservation, request: "b", dueAt: 1500 }, 0);
  const urgent = scheduler.forecast({ dueAt: 500, rank: 0 }, 0);
  t.is(urgent.wait, 0);
  scheduler.cancelRequest("a");
  t.true(scheduler.forecast({ dueAt: 1200, rank: 0 }, 0).wait < 280);
});

test("expected arrivals that are more urgent add to the wait", (t) => {
  const scheduler = schedulerOf(worker("1"));
  const urgent = { stage: 0, count: 8, dueAt: 500, rank: 0, request: "a" };
  scheduler.reserve(urgent, 0);
  // 8 items take 280 ms; as many are expected to arrive in each second of
  // waiting.
  t.is(Math.round(scheduler.forecast({ dueAt: 1500, rank: 0 }, 0).wait), 388);
  t.is(Math.round(scheduler.forecast({ dueAt: 500, rank: 0 }, 0).wait), 280);
});

/** A scheduler whose endpoint has had no memory for most of the queued large
 * results for a second, since none is released. */
function shortOfMemory() {
  const scheduler = schedulers.Scheduler.create(
    configurations.batchTraits({ room: 700 }),
  );
  scheduler.setWorkers([worker("1")]);
  scheduler.add(fixture.tasks("large", 40, { bytes: 300, expiresAt: 90_000 }));
  for (let now = 0; now <= 1000; now += 100) {
    const [call] = scheduler.assign(now);
    if (call === undefined) continue;
    scheduler.completeCall(call, { results: [], duration: 100, now });
  }
  return scheduler;
}

// Guards against requests with small results that are refused in a burst of
// large ones: they were forecast to wait behind a queue that waits for memory.
test("small results are not forecast to wait for the memory that large ones need", (t) => {
  const scheduler = shortOfMemory();
  t.true(scheduler.waiting.length > 15);
  const task = { dueAt: 5000, rank: 0 };
  const large = scheduler.forecast({ ...task, bytes: 300 }, 1000);
  const small = scheduler.forecast({ ...task, bytes: 1 }, 1000);
  t.true(large.wait > 700, `${large.wait}`);
  t.true(small.wait < 140, `${small.wait}`);
  t.is(large.scarce, "memory");
});

test("the forecast is a long wait if there are no endpoints", (t) => {
  t.true(schedulerOf().forecast({ dueAt: 500, rank: 0 }, 0).wait > 500);
});

test("a task with a large transfer waits for its data centre while it is on time there", (t) => {
  const scheduler = schedulerOf(worker("1", "near"), worker("2", "far"));
  const transferBytes = 1_000_000;
  const near = { transferBytes, dataCentre: "near", bytes: 1 };
  scheduler.add(fixture.tasks("started", 4, near));
  t.deepEqual(scheduler.assign(0).map((call) => call.worker.id), ["1"]);
  // The running call of four items ends at 140 ms; the next ones take 140 ms
  // each.
  scheduler.add(fixture.tasks("next", 4, { ...near, dueAt: 440 }));
  t.deepEqual(scheduler.assign(1), []);
  scheduler.add(fixture.tasks("urgent", 4, { ...near, dueAt: 410 }));
  const [call] = scheduler.assign(2);
  t.is(call.worker.id, "2");
  t.deepEqual(new Set(call.tasks.map(({ request }) => request)).size, 1);
});

/** A scheduler with a fast endpoint, which is busy, and one that was four times
 * slower than configured. */
function withSlowWorker() {
  const scheduler = schedulerOf(worker("fast"), worker("slow"));
  scheduler.add(fixture.tasks("first", 8, { dueAt: 5000 }));
  const calls = scheduler.assign(0);
  for (let now = 0; now < 2800; now += 560) {
    const slow = calls.find((each) => each.worker.id === "slow")!;
    scheduler.completeCall(slow, { results: [], duration: 560, now });
  }
  return scheduler;
}

test("a task that would be late at a slow endpoint waits for a faster one", (t) => {
  const scheduler = withSlowWorker();
  scheduler.add(fixture.tasks("urgent", 2, { dueAt: 3200, expiresAt: 9000 }));
  t.deepEqual(scheduler.assign(2800), []);
});

test("a slow endpoint runs tasks that can wait and tasks that are late anyway", (t) => {
  for (const dueAt of [6000, 2700]) {
    const scheduler = withSlowWorker();
    scheduler.add(fixture.tasks("any", 2, { dueAt, expiresAt: 9000 }));
    const [call] = scheduler.assign(2800);
    t.is(call?.worker.id, "slow");
  }
});

/** A scheduler after `count` calls of two seconds each, and the time at which
 * they have ended. */
function afterSlowCalls(count: number) {
  const scheduler = schedulerOf(worker("1"));
  let now = 0;
  for (; now < 2000 * count; now += 2000) {
    scheduler.add(fixture.tasks("a", 4, { dueAt: 90_000, expiresAt: 90_000 }));
    const [call] = scheduler.assign(now);
    const end = { results: [], duration: 2000, now: now + 2000 };
    scheduler.completeCall(call, end);
  }
  return { scheduler, now };
}

// Guards against a forecast that never recovers: it rejects the requests whose
// calls would correct it.
test("the mean call duration returns to the configured one without calls", (t) => {
  const { scheduler, now } = afterSlowCalls(30);
  t.true(scheduler.callDuration(now) > 1500, `${scheduler.callDuration(now)}`);
  const later = now + 10_000;
  scheduler.reserve(
    { request: "b", stage: 0, count: 1, dueAt: later + 500, rank: 0 },
    later,
  );
  const duration = scheduler.callDuration(later);
  t.true(duration < 500, `${duration}`);
});

// Guards against requests that are rejected after a start because the first
// call is slow.
test("a single slow call does not determine the mean call duration", (t) => {
  const { scheduler, now } = afterSlowCalls(1);
  t.true(scheduler.callDuration(now) < 500, `${scheduler.callDuration(now)}`);
});

// Guards against an endpoint that gets no calls after it was slow once, and
// therefore never shows that it has recovered.
test("a slow endpoint counts as fast again after a long time without calls", (t) => {
  const scheduler = withSlowWorker();
  scheduler.add(
    fixture.tasks("urgent", 2, { dueAt: 23_300, expiresAt: 30_000 }),
  );
  const [call] = scheduler.assign(23_000);
  t.is(call?.worker.id, "slow");
});

/** A scheduler of two endpoints whose shared slowness is given. */
function sharedSchedulerOf(slowness: Record<string, number | undefined>) {
  const scheduler = schedulers.Scheduler.create(
    configurations.batchTraits(),
    (endpoint) => slowness[endpoint],
  );
  scheduler.setWorkers([worker("1"), worker("2")]);
  return scheduler;
}

/** Makes a call of four items at the first endpoint, of the given duration. */
function callFirst(scheduler: schedulers.Scheduler, duration: number) {
  scheduler.add(fixture.tasks("first", 4));
  const [call] = scheduler.assign(0);
  const ratio = scheduler.completeCall(call, {
    results: [],
    duration,
    now: duration,
  });
  return { call, ratio };
}

test("the shared slowness orders idle endpoints in place of own calls", (t) => {
  const scheduler = sharedSchedulerOf({ 1: 0.7, 2: 1.5 });
  const { call, ratio } = callFirst(scheduler, 420);
  t.is(ratio, 3);
  t.is(call.worker.id, "1");
  scheduler.add(fixture.tasks("b", 4, { dueAt: 5000 }));
  t.is(scheduler.assign(500)[0].worker.id, "1");
});

test("own calls order idle endpoints while there is no shared slowness", (t) => {
  const scheduler = sharedSchedulerOf({});
  const { call } = callFirst(scheduler, 420);
  scheduler.add(fixture.tasks("b", 4, { dueAt: 5000 }));
  t.not(scheduler.assign(500)[0].worker.id, call.worker.id);
});

test("the shared slowness lowers the forecast throughput", (t) => {
  const task = { dueAt: 1000, rank: 0 };
  const even = sharedSchedulerOf({}).forecast(task, 0).rate;
  const uneven = sharedSchedulerOf({ 1: 1, 2: 2 }).forecast(task, 0).rate;
  t.true(Math.abs(uneven / even - 0.75) < 1e-9);
});

// Guards against a slow endpoint that counts as dead: its calls, which may have
// run, would time out and run again elsewhere.
test("the shared slowness lengthens a call's timeout and never shortens it", (t) => {
  const timeout = (shared: number | undefined, duration: number) => {
    const scheduler = sharedSchedulerOf({ 1: shared, 2: shared });
    const { call } = callFirst(scheduler, duration);
    return scheduler.callTimeout(call, duration);
  };
  t.true(timeout(4, 140) > 3 * timeout(undefined, 140));
  for (const shared of [0.2, 1, 1.1]) {
    for (const duration of [30, 140, 420]) {
      t.true(timeout(shared, duration) >= timeout(undefined, duration));
    }
  }
});
