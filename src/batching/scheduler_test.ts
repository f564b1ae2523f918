/** @module */

import test from "ava";
import * as configurations from "../configuration/fixture.ts";
import * as fixture from "./fixture.ts";
import * as schedulers from "./scheduler.ts";
import type * as work from "./task.ts";

function worker(id: string, dataCentre = "town"): work.Worker {
  return { id, name: id, address: `10.0.0.1:${id}`, dataCentre };
}

function schedulerOf(...workers: work.Worker[]) {
  const scheduler = schedulers.Scheduler.create(configurations.batchTraits());
  scheduler.setWorkers(workers);
  return scheduler;
}

function finish(
  scheduler: schedulers.Scheduler,
  assignment: work.Assignment,
  now = 140,
) {
  const results = assignment.tasks.map((
    { request, itemIndex: piece, bytes },
  ) => ({
    handle: `${request}.${piece}`,
    bytes,
  }));
  scheduler.completeCall(assignment, { results, duration: 140, now });
}

test("a call takes pieces of any requests, up to a batch", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add([...fixture.tasks("a", 3), ...fixture.tasks("b", 3)]);
  const [call, ...others] = scheduler.assign(0);
  t.deepEqual(call.tasks.map(({ request }) => request), ["a", "a", "a", "b"]);
  t.deepEqual(others, []);
  t.is(scheduler.waiting.length, 2);
});

test("an endpoint has one call at a time", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("a", 5));
  const [call] = scheduler.assign(0);
  t.deepEqual(scheduler.assign(1), []);
  finish(scheduler, call);
  t.is(scheduler.assign(140).length, 1);
});

test("the most urgent goes first, but not what is late already", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("late", 4, { dueAt: 10 }));
  scheduler.add(fixture.tasks("later", 4, { dueAt: 3000 }));
  scheduler.add(fixture.tasks("soon", 4, { dueAt: 1000 }));
  const [call] = scheduler.assign(500);
  t.is(call.tasks[0].request, "soon");
});

test("what is late goes before what can wait when its caller is about to leave", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("late", 4, { dueAt: 10, expiresAt: 1000 }));
  scheduler.add(fixture.tasks("later", 4, { dueAt: 3000 }));
  const [call] = scheduler.assign(500);
  t.is(call.tasks[0].request, "late");
});

test("what is begun is ended, though it has become late", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("begun", 5, { dueAt: 200 }));
  const [first] = scheduler.assign(0);
  scheduler.add(fixture.tasks("fresh", 4, { dueAt: 1000 }));
  scheduler.add(fixture.tasks("late", 4, { dueAt: 200 }));
  finish(scheduler, first, 500);
  const [call] = scheduler.assign(500);
  const requests = call.tasks.map(({ request }) => request);
  t.deepEqual(requests, ["begun", "fresh", "fresh", "fresh"]);
});

test("no more is ordered than an endpoint has room for", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("a", 8, { bytes: 300 }));
  const [call] = scheduler.assign(0);
  t.is(call.tasks.length, 3);
  finish(scheduler, call);
  t.deepEqual(scheduler.assign(140), []);
  scheduler.releaseResults("10.0.0.1:1", ["a.0", "a.1"]);
  t.is(scheduler.assign(140)[0].tasks.length, 2);
});

test("results that nobody gives up end by themselves", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("a", 8, { bytes: 300, expiresAt: 20_000 }));
  finish(scheduler, scheduler.assign(0)[0]);
  t.deepEqual(scheduler.assign(4000), []);
  t.is(scheduler.assign(4200)[0].tasks.length, 3);
});

test("a failed endpoint is left alone for a while", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("a", 4));
  const [call] = scheduler.assign(0);
  scheduler.failCall(call, { now: 100 });
  scheduler.add(call.tasks);
  t.deepEqual(scheduler.assign(200), []);
  t.is(scheduler.assign(500).length, 1);
});

test("an endpoint that is out of reach for a while keeps calls and room", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("a", 8, { bytes: 300 }));
  const [call] = scheduler.assign(0);
  scheduler.setWorkers([]);
  scheduler.setWorkers([worker("1")]);
  t.deepEqual(scheduler.assign(10), []);
  finish(scheduler, call);
  scheduler.setWorkers([]);
  t.deepEqual(scheduler.assign(150), []);
  scheduler.setWorkers([worker("1")]);
  t.deepEqual(scheduler.assign(160), []);
});

test("a slow endpoint is given work last", (t) => {
  const scheduler = schedulerOf(worker("1"), worker("2"));
  scheduler.add(fixture.tasks("a", 4));
  const [call] = scheduler.assign(0);
  const results: [] = [];
  scheduler.completeCall(call, { results, duration: 900, now: 900 });
  scheduler.add(fixture.tasks("b", 4, { dueAt: 5000 }));
  t.not(scheduler.assign(1000)[0].worker.id, call.worker.id);
});

test("a large result waits for an endpoint where it is needed", (t) => {
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

test("an endpoint short of room waits for more before a small call", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("a", 4, { bytes: 200 }));
  const [call] = scheduler.assign(0);
  finish(scheduler, call);
  scheduler.add(fixture.tasks("b", 4, { bytes: 150 }));
  t.deepEqual(scheduler.assign(140), []);
  t.is(scheduler.wakeAt(140), 240);
  scheduler.releaseResults("10.0.0.1:1", ["a.0"]);
  t.is(scheduler.assign(150)[0].tasks.length, 2);
});

test("it does not wait for longer than a call costs", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.tasks("a", 4, { bytes: 200 }));
  const [call] = scheduler.assign(0);
  finish(scheduler, call);
  scheduler.add(fixture.tasks("b", 4, { bytes: 150 }));
  scheduler.assign(140);
  t.is(scheduler.assign(240)[0].tasks.length, 1);
});

test("when more than a call waits, an endpoint takes what is near first", (t) => {
  const scheduler = schedulerOf(worker("1", "near"));
  const moved = 1_000_000;
  scheduler.add(
    fixture.tasks("far", 4, {
      transferBytes: moved,
      dataCentre: "far",
      dueAt: 1500,
    }),
  );
  scheduler.add(
    fixture.tasks("near", 2, { transferBytes: moved, dataCentre: "near" }),
  );
  scheduler.setWorkers([worker("1", "near"), worker("2", "far")]);
  const calls = scheduler.assign(0);
  const requestsAt = (id: string) =>
    calls.find((call) => call.worker.id === id)!.tasks.map((work) =>
      work.request
    );
  t.deepEqual(requestsAt("1").slice(0, 2), ["near", "near"]);
});

test("a booking makes those behind it wait", (t) => {
  const scheduler = schedulerOf(worker("1"));
  const booking = { stage: 0, count: 8, dueAt: 1000, rank: 0 };
  t.is(scheduler.reserve({ ...booking, request: "a" }, 0).wait, 0);
  t.is(Math.round(scheduler.forecast({ dueAt: 1000, rank: 0 }, 0).wait), 280);
  scheduler.reserve({ ...booking, request: "b", dueAt: 1500 }, 0);
  const urgent = scheduler.forecast({ dueAt: 500, rank: 0 }, 0);
  t.is(urgent.wait, 0);
  scheduler.cancelRequest("a");
  t.true(scheduler.forecast({ dueAt: 1200, rank: 0 }, 0).wait < 280);
});

test("what comes later and is more urgent counts before it comes", (t) => {
  const scheduler = schedulerOf(worker("1"));
  const urgent = { stage: 0, count: 8, dueAt: 500, rank: 0, request: "a" };
  scheduler.reserve(urgent, 0);
  // 8 pieces in 280 ms, as many again for each second of waiting.
  t.is(Math.round(scheduler.forecast({ dueAt: 1500, rank: 0 }, 0).wait), 388);
  t.is(Math.round(scheduler.forecast({ dueAt: 500, rank: 0 }, 0).wait), 280);
});

test("nobody waits for nothing: without endpoints a forecast says so", (t) => {
  t.true(schedulerOf().forecast({ dueAt: 500, rank: 0 }, 0).wait > 500);
});

test("a piece that moves much is not made elsewhere while it is in time there", (t) => {
  const scheduler = schedulerOf(worker("1", "near"), worker("2", "far"));
  const moved = 1_000_000;
  const near = { transferBytes: moved, dataCentre: "near", bytes: 1 };
  scheduler.add(fixture.tasks("begun", 4, near));
  t.deepEqual(scheduler.assign(0).map((call) => call.worker.id), ["1"]);
  // A call of four takes 140 ms and ends then; each of the next takes as long.
  scheduler.add(fixture.tasks("next", 4, { ...near, dueAt: 440 }));
  t.deepEqual(scheduler.assign(1), []);
  scheduler.add(fixture.tasks("hurried", 4, { ...near, dueAt: 410 }));
  const [call] = scheduler.assign(2);
  t.is(call.worker.id, "2");
  t.deepEqual(new Set(call.tasks.map(({ request }) => request)).size, 1);
});

/** A scheduler of a fast endpoint, which is at a call, and of one that was four
 * times slower than the service's figures. */
function withSlow() {
  const scheduler = schedulerOf(worker("fast"), worker("slow"));
  scheduler.add(fixture.tasks("first", 8, { dueAt: 5000 }));
  const calls = scheduler.assign(0);
  for (let now = 0; now < 2800; now += 560) {
    const slow = calls.find((each) => each.worker.id === "slow")!;
    scheduler.completeCall(slow, { results: [], duration: 560, now });
  }
  return scheduler;
}

test("a piece that would be late at a slow endpoint waits for a faster one", (t) => {
  const scheduler = withSlow();
  scheduler.add(fixture.tasks("urgent", 2, { dueAt: 3200, expiresAt: 9000 }));
  t.deepEqual(scheduler.assign(2800), []);
});

test("a slow endpoint makes what can wait, and what is late anyway", (t) => {
  for (const wanted of [6000, 2700]) {
    const scheduler = withSlow();
    scheduler.add(fixture.tasks("any", 2, { dueAt: wanted, expiresAt: 9000 }));
    const [call] = scheduler.assign(2800);
    t.is(call?.worker.id, "slow");
  }
});

/** A scheduler after so many calls of two seconds each, and when they end. */
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

// Guards against a forecast that refuses for good: what is refused by it would
// be what makes calls that correct it.
test("what calls took is forgotten once none was made for long", (t) => {
  const { scheduler, now } = afterSlowCalls(30);
  t.true(scheduler.callDuration(now) > 1500, `${scheduler.callDuration(now)}`);
  const later = now + 10_000;
  scheduler.reserve(
    { request: "b", stage: 0, count: 1, dueAt: later + 500, rank: 0 },
    later,
  );
  const work = scheduler.callDuration(later);
  t.true(work < 500, `${work}`);
});

// Guards against requests refused after a start, when the first call is slow.
test("one slow call does not pass for what calls take", (t) => {
  const { scheduler, now } = afterSlowCalls(1);
  t.true(scheduler.callDuration(now) < 500, `${scheduler.callDuration(now)}`);
});

// Guards against an endpoint that gets no call since it was slow once, and so
// never shows that it is as fast as others again.
test("a slow endpoint that got no call for long counts as fast again", (t) => {
  const scheduler = withSlow();
  scheduler.add(
    fixture.tasks("urgent", 2, { dueAt: 23_300, expiresAt: 30_000 }),
  );
  const [call] = scheduler.assign(23_000);
  t.is(call?.worker.id, "slow");
});
