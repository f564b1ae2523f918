/** @module */

import test from "ava";
import * as configurations from "../configuration/fixture.ts";
import * as fixture from "./fixture.ts";
import * as schedulers from "./scheduler.ts";
import type * as work from "./work.ts";

function worker(id: string, dataCentre = "town"): work.Worker {
  return { id, name: id, address: `10.0.0.1:${id}`, dataCentre };
}

function schedulerOf(...workers: work.Worker[]) {
  const scheduler = schedulers.Scheduler.create(configurations.pieceTraits());
  scheduler.setWorkers(workers);
  return scheduler;
}

function finish(
  scheduler: schedulers.Scheduler,
  assignment: work.Assignment,
  now = 140,
) {
  const results = assignment.works.map(({ request, piece, bytes }) => ({
    handle: `${request}.${piece}`,
    bytes,
  }));
  scheduler.finish(assignment, { results, duration: 140, now });
}

test("a call takes pieces of any requests, up to a batch", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add([...fixture.works("a", 3), ...fixture.works("b", 3)]);
  const [call, ...others] = scheduler.assign(0);
  t.deepEqual(call.works.map(({ request }) => request), ["a", "a", "a", "b"]);
  t.deepEqual(others, []);
  t.is(scheduler.waiting.length, 2);
});

test("an endpoint has one call at a time", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.works("a", 5));
  const [call] = scheduler.assign(0);
  t.deepEqual(scheduler.assign(1), []);
  finish(scheduler, call);
  t.is(scheduler.assign(140).length, 1);
});

test("the most urgent goes first, but not what is late already", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.works("late", 4, { wanted: 10 }));
  scheduler.add(fixture.works("later", 4, { wanted: 3000 }));
  scheduler.add(fixture.works("soon", 4, { wanted: 1000 }));
  const [call] = scheduler.assign(500);
  t.is(call.works[0].request, "soon");
});

test("what is late goes before what can wait when its caller is about to leave", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.works("late", 4, { wanted: 10, expires: 1000 }));
  scheduler.add(fixture.works("later", 4, { wanted: 3000 }));
  const [call] = scheduler.assign(500);
  t.is(call.works[0].request, "late");
});

test("what is begun is ended, though it has become late", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.works("begun", 5, { wanted: 200 }));
  const [first] = scheduler.assign(0);
  scheduler.add(fixture.works("fresh", 4, { wanted: 1000 }));
  scheduler.add(fixture.works("late", 4, { wanted: 200 }));
  finish(scheduler, first, 500);
  const [call] = scheduler.assign(500);
  const requests = call.works.map(({ request }) => request);
  t.deepEqual(requests, ["begun", "fresh", "fresh", "fresh"]);
});

test("no more is ordered than an endpoint has room for", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.works("a", 8, { bytes: 300 }));
  const [call] = scheduler.assign(0);
  t.is(call.works.length, 3);
  finish(scheduler, call);
  t.deepEqual(scheduler.assign(140), []);
  scheduler.release("10.0.0.1:1", ["a.0", "a.1"]);
  t.is(scheduler.assign(140)[0].works.length, 2);
});

test("results that nobody gives up end by themselves", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.works("a", 8, { bytes: 300, expires: 20_000 }));
  finish(scheduler, scheduler.assign(0)[0]);
  t.deepEqual(scheduler.assign(4000), []);
  t.is(scheduler.assign(4200)[0].works.length, 3);
});

test("a failed endpoint is left alone for a while", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.works("a", 4));
  const [call] = scheduler.assign(0);
  scheduler.fail(call, { now: 100 });
  scheduler.add(call.works);
  t.deepEqual(scheduler.assign(200), []);
  t.is(scheduler.assign(500).length, 1);
});

test("an endpoint that is out of reach for a while keeps calls and room", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.works("a", 8, { bytes: 300 }));
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
  scheduler.add(fixture.works("a", 4));
  const [call] = scheduler.assign(0);
  const results: [] = [];
  scheduler.finish(call, { results, duration: 900, now: 900 });
  scheduler.add(fixture.works("b", 4, { wanted: 5000 }));
  t.not(scheduler.assign(1000)[0].worker.id, call.worker.id);
});

test("a large result waits for an endpoint where it is needed", (t) => {
  const scheduler = schedulers.Scheduler.create(
    configurations.pieceTraits({ room: 10_000_000 }),
  );
  scheduler.setWorkers([worker("1", "near"), worker("2", "far")]);
  const large = { bytes: 3_000_000, moved: 3_000_000, dataCentre: "near" };
  scheduler.add(fixture.works("a", 1, large));
  t.is(scheduler.assign(0)[0].worker.id, "1");
  scheduler.add(fixture.works("b", 1, large));
  t.deepEqual(scheduler.assign(10), []);
  t.is(scheduler.assign(1800)[0].worker.id, "2");
});

test("an endpoint short of room waits for more before a small call", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.works("a", 4, { bytes: 200 }));
  const [call] = scheduler.assign(0);
  finish(scheduler, call);
  scheduler.add(fixture.works("b", 4, { bytes: 150 }));
  t.deepEqual(scheduler.assign(140), []);
  t.is(scheduler.wakeAt(140), 240);
  scheduler.release("10.0.0.1:1", ["a.0"]);
  t.is(scheduler.assign(150)[0].works.length, 2);
});

test("it does not wait for longer than a call costs", (t) => {
  const scheduler = schedulerOf(worker("1"));
  scheduler.add(fixture.works("a", 4, { bytes: 200 }));
  const [call] = scheduler.assign(0);
  finish(scheduler, call);
  scheduler.add(fixture.works("b", 4, { bytes: 150 }));
  scheduler.assign(140);
  t.is(scheduler.assign(240)[0].works.length, 1);
});

test("when more than a call waits, an endpoint takes what is near first", (t) => {
  const scheduler = schedulerOf(worker("1", "near"));
  const moved = 1_000_000;
  scheduler.add(
    fixture.works("far", 4, { moved, dataCentre: "far", wanted: 1500 }),
  );
  scheduler.add(fixture.works("near", 2, { moved, dataCentre: "near" }));
  scheduler.setWorkers([worker("1", "near"), worker("2", "far")]);
  const calls = scheduler.assign(0);
  const requestsAt = (id: string) =>
    calls.find((call) => call.worker.id === id)!.works.map((work) =>
      work.request
    );
  t.deepEqual(requestsAt("1").slice(0, 2), ["near", "near"]);
});

test("a booking makes those behind it wait", (t) => {
  const scheduler = schedulerOf(worker("1"));
  const booking = { stage: 0, count: 8, wanted: 1000, rank: 0 };
  t.is(scheduler.book({ ...booking, request: "a" }, 0).wait, 0);
  t.is(Math.round(scheduler.forecast({ wanted: 1000, rank: 0 }, 0).wait), 280);
  scheduler.book({ ...booking, request: "b", wanted: 1500 }, 0);
  const urgent = scheduler.forecast({ wanted: 500, rank: 0 }, 0);
  t.is(urgent.wait, 0);
  scheduler.drop("a");
  t.true(scheduler.forecast({ wanted: 1200, rank: 0 }, 0).wait < 280);
});

test("what comes later and is more urgent counts before it comes", (t) => {
  const scheduler = schedulerOf(worker("1"));
  const urgent = { stage: 0, count: 8, wanted: 500, rank: 0, request: "a" };
  scheduler.book(urgent, 0);
  // 8 pieces in 280 ms, as many again for each second of waiting.
  t.is(Math.round(scheduler.forecast({ wanted: 1500, rank: 0 }, 0).wait), 388);
  t.is(Math.round(scheduler.forecast({ wanted: 500, rank: 0 }, 0).wait), 280);
});

test("nobody waits for nothing: without endpoints a forecast says so", (t) => {
  t.true(schedulerOf().forecast({ wanted: 500, rank: 0 }, 0).wait > 500);
});

test("a piece that moves much is not made elsewhere while it is in time there", (t) => {
  const scheduler = schedulerOf(worker("1", "near"), worker("2", "far"));
  const moved = 1_000_000;
  const near = { moved, dataCentre: "near", bytes: 1 };
  scheduler.add(fixture.works("begun", 4, near));
  t.deepEqual(scheduler.assign(0).map((call) => call.worker.id), ["1"]);
  // A call of four takes 140 ms and ends then; each of the next takes as long.
  scheduler.add(fixture.works("next", 4, { ...near, wanted: 440 }));
  t.deepEqual(scheduler.assign(1), []);
  scheduler.add(fixture.works("hurried", 4, { ...near, wanted: 410 }));
  const [call] = scheduler.assign(2);
  t.is(call.worker.id, "2");
  t.deepEqual(new Set(call.works.map(({ request }) => request)).size, 1);
});

/** A scheduler of a fast endpoint, which is at a call, and of one that was four
 * times slower than the service's figures. */
function withSlow() {
  const scheduler = schedulerOf(worker("fast"), worker("slow"));
  scheduler.add(fixture.works("first", 8, { wanted: 5000 }));
  const calls = scheduler.assign(0);
  for (let now = 0; now < 2800; now += 560) {
    const slow = calls.find((each) => each.worker.id === "slow")!;
    scheduler.finish(slow, { results: [], duration: 560, now });
  }
  return scheduler;
}

test("a piece that would be late at a slow endpoint waits for a faster one", (t) => {
  const scheduler = withSlow();
  scheduler.add(fixture.works("urgent", 2, { wanted: 3200, expires: 9000 }));
  t.deepEqual(scheduler.assign(2800), []);
});

test("a slow endpoint makes what can wait, and what is late anyway", (t) => {
  for (const wanted of [6000, 2700]) {
    const scheduler = withSlow();
    scheduler.add(fixture.works("any", 2, { wanted, expires: 9000 }));
    const [call] = scheduler.assign(2800);
    t.is(call?.worker.id, "slow");
  }
});

/** A scheduler after so many calls of two seconds each, and when they end. */
function afterSlowCalls(count: number) {
  const scheduler = schedulerOf(worker("1"));
  let now = 0;
  for (; now < 2000 * count; now += 2000) {
    scheduler.add(fixture.works("a", 4, { wanted: 90_000, expires: 90_000 }));
    const [call] = scheduler.assign(now);
    const end = { results: [], duration: 2000, now: now + 2000 };
    scheduler.finish(call, end);
  }
  return { scheduler, now };
}

// Guards against a forecast that refuses for good: what is refused by it would
// be what makes calls that correct it.
test("what calls took is forgotten once none was made for long", (t) => {
  const { scheduler, now } = afterSlowCalls(30);
  t.true(scheduler.work(now) > 1500, `${scheduler.work(now)}`);
  const later = now + 10_000;
  scheduler.book(
    { request: "b", stage: 0, count: 1, wanted: later + 500, rank: 0 },
    later,
  );
  const work = scheduler.work(later);
  t.true(work < 500, `${work}`);
});

// Guards against requests refused after a start, when the first call is slow.
test("one slow call does not pass for what calls take", (t) => {
  const { scheduler, now } = afterSlowCalls(1);
  t.true(scheduler.work(now) < 500, `${scheduler.work(now)}`);
});

// Guards against an endpoint that gets no call since it was slow once, and so
// never shows that it is as fast as others again.
test("a slow endpoint that got no call for long counts as fast again", (t) => {
  const scheduler = withSlow();
  scheduler.add(
    fixture.works("urgent", 2, { wanted: 23_300, expires: 30_000 }),
  );
  const [call] = scheduler.assign(23_000);
  t.is(call?.worker.id, "slow");
});
