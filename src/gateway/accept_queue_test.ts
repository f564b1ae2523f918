/** @module */

import test from "ava";
import * as acceptQueues from "./accept_queue.ts";

/** Accepts a connection at a time of the clock. The process has run all the time,
 * but for `paused` milliseconds since the start. */
function accept(
  queue: acceptQueues.AcceptQueue,
  now: number,
  { paused = 0 }: { paused?: number } = {},
): acceptQueues.Verdict {
  return queue.accept({ now, processor: now - paused });
}

/** Accepts a connection each millisecond from `from` on; returns how many were
 * read. */
function acceptAll(
  queue: acceptQueues.AcceptQueue,
  { from = 0, count }: { from?: number; count: number },
): number {
  return Array.from({ length: count }, (_, pos) => accept(queue, from + pos))
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
  t.is(accept(queue, 802), "read");
});

test("some connections are read even if the queue is never empty", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  const read = acceptAll(queue, { count: 5000 });
  t.true(read >= 4 * 700, `${read}`);
});

test("a queue that fills while the process stands still is read", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  accept(queue, 0);
  queue.recordEmpty();
  t.is(acceptAll(queue, { from: 5000, count: 300 }), 300);
});

// Guards against callers whose connections are closed unread after the process
// stood still between two turns of the event loop: nothing is served too slowly.
test("a queue is read after the process stood still before the turn that empties it", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  accept(queue, 0);
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
      (_, turn) => accept(queue, turnMs * turn),
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
    const verdict = accept(queue, now);
    if (verdict !== "read") return now;
  }
}

/** Verdicts on connections at times of the clock. */
function verdictsAt(
  queue: acceptQueues.AcceptQueue,
  times: readonly number[],
): string {
  return times.map((time) => accept(queue, time)).join(" ");
}

// Guards against a short queue that is closed unread before its length is known.
test("a few connections are held until the queue is empty", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  const from = fill(queue);
  t.is(verdictsAt(queue, [from + 1, from + 2]), "hold hold");
  queue.recordEmpty();
  t.is(accept(queue, from + 4), "read");
});

// Guards against held connections that use up descriptors.
test("all further ones are closed once as many are held as may be", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  const from = fill(queue);
  const verdicts = Array.from(
    { length: 400 },
    (_, index) => accept(queue, from + (index + 1) / 10),
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

// Guards against held connections that are closed since the process did not run.
test("a pause of the process does not end the time for holding", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  const from = fill(queue);
  const verdicts = [1, 801, 802, 1503].map((wait, index) =>
    accept(queue, from + wait, { paused: [0, 790, 790, 1480][index] })
  );
  t.deepEqual(verdicts, ["hold", "hold", "hold", "hold"]);
});

// Guards against connections closed unread by a process that is rarely run for a
// moment: what waits is no backlog of work.
test("what comes in several pauses of the process is read", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  const verdicts = Array.from(
    { length: 7 },
    (_, turn) => accept(queue, 300 * turn, { paused: 280 * turn }),
  );
  t.true(verdicts.every((verdict) => verdict === "read"));
});

// Guards against a queue that is never taken for full where the process rarely runs.
test("connections are closed unread where the process pauses in each turn", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  const verdicts = Array.from(
    { length: 100 },
    (_, turn) => accept(queue, 300 * turn, { paused: 280 * turn }),
  );
  const first = verdicts.indexOf("close");
  t.true(first > 0 && 300 * first <= 6000, `${first}`);
  t.true(verdicts.slice(first).every((verdict) => verdict === "close"));
});

// Guards against a host with a small part of a core that takes the time between its
// periods for pauses: it is overloaded.
test("connections are closed unread where the process has a tenth of a core", (t) => {
  const queue = acceptQueues.AcceptQueue.create();
  const verdicts = Array.from(
    { length: 60 },
    (_, turn) => accept(queue, 40 * turn, { paused: 36 * turn }),
  );
  const first = verdicts.indexOf("close");
  t.true(first > 0 && 40 * first <= 1000, `${first}`);
});
