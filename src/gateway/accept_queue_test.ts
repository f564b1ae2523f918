/** @module */

import test from "ava";
import * as acceptQueues from "./accept_queue.ts";

/** Accepts a connection each millisecond from `from` on; returns how many were
 * read. */
function acceptAll(
  queue: acceptQueues.AcceptQueue,
  { from = 0, count }: { from?: number; count: number },
): number {
  return Array.from({ length: count }, (_, pos) => queue.accept(from + pos))
    .filter((verdict) => verdict === "read").length;
}

test("connections are read while the queue is often empty", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  for (let from = 0; from < 5000; from += 200) {
    t.is(acceptAll(queue, { from, count: 200 }), 200);
    queue.recordEmpty();
  }
});

test("connections are closed unread once the queue was not empty for long", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  t.is(acceptAll(queue, { count: 701 }), 701);
  t.is(acceptAll(queue, { from: 701, count: 100 }), 0);
  queue.recordEmpty();
  t.is(queue.accept(802), "read");
});

test("some connections are read even if the queue is never empty", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  const read = acceptAll(queue, { count: 5000 });
  t.true(read >= 4 * 700, `${read}`);
});

test("a queue that fills while the process stands still is read", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  queue.accept(0);
  queue.recordEmpty();
  t.is(acceptAll(queue, { from: 5000, count: 300 }), 300);
});

// Guards against callers whose connections are closed unread after the process
// stood still between two turns of the event loop: nothing is served too slowly.
test("a queue is read after the process stood still before the turn that empties it", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  queue.accept(0);
  t.is(acceptAll(queue, { from: 1500, count: 300 }), 300);
});

// Guards against a host whose standstill takes a part of the time that it has to
// serve what came in it.
test("after a standstill the whole time is left to serve what came in it", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  t.is(acceptAll(queue, { count: 600 }), 600);
  t.is(acceptAll(queue, { from: 5000, count: 701 }), 701);
});

// Guards against a queue that is never taken for full where turns are slow.
for (const turnMs of [300, 600]) {
  test(`connections are closed unread where each turn takes ${turnMs} ms`, (t) => {
    const queue = acceptQueues.AcceptQueue.create();
    const verdicts = Array.from(
      { length: 20 },
      (_, turn) => queue.accept(turnMs * turn),
    );
    const first = verdicts.indexOf("close");
    t.true(first > 0 && first <= 5, `${first}`);
    t.true(verdicts.slice(first).every((verdict) => verdict === "close"));
  });
}

/** Accepts connections until the queue is taken for one that does not empty; returns
 * the time of the first that is held. */
function fill(queue: acceptQueues.AcceptQueue): number {
  for (let now = 0;; now++) {
    const verdict = queue.accept(now);
    if (verdict !== "read") return now;
  }
}

/** Verdicts on connections at times of the clock. */
function verdictsAt(
  queue: acceptQueues.AcceptQueue,
  times: readonly number[],
): string {
  return times.map((time) => queue.accept(time)).join(" ");
}

// Guards against a short queue that is closed unread before its length is known.
test("a few connections are held until the queue is empty", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  const from = fill(queue);
  t.is(verdictsAt(queue, [from + 1, from + 2]), "hold hold");
  queue.recordEmpty();
  t.is(queue.accept(from + 4), "read");
});

// Guards against held connections that use up descriptors.
test("all further ones are closed once as many are held as may be", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  const from = fill(queue);
  const verdicts = Array.from(
    { length: 400 },
    (_, index) => queue.accept(from + (index + 1) / 10),
  );
  const held = verdicts.indexOf("close");
  t.is(held, acceptQueues.MAX_HELD_COUNT - 1);
  t.true(verdicts.slice(held).every((verdict) => verdict === "close"));
});

// Guards against connections that are held for long where turns are slow.
test("connections are held for a short time", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  const from = fill(queue);
  const times = [100, 200, 300, 301].map((wait) => from + wait);
  t.is(verdictsAt(queue, times), "hold hold close close");
});

// Guards against a standstill that has connections closed which were held.
test("one standstill of the process does not end the time for holding", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  const from = fill(queue);
  const times = [1, 1501, 1502, 1503].map((wait) => from + wait);
  t.is(verdictsAt(queue, times), "hold hold hold hold");
});
