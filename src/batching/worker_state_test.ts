/** @module */

import test from "ava";
import * as fixture from "./fixture.ts";
import * as workerStates from "./worker_state.ts";

function tasks(count: number) {
  return fixture.tasks("r", count);
}

function stateOf() {
  const worker = {
    id: "1",
    name: "1",
    address: "10.0.0.1:80",
    dataCentre: "town",
  };
  const state = workerStates.WorkerState.create(worker);
  state.isListed = true;
  return state;
}

const RESULTS = [{ handle: "a", bytes: 100 }, { handle: "b", bytes: 100 }];

test("memory is reserved when a call starts and freed when its results are released", (t) => {
  const state = stateOf();
  t.is(state.freeBytes(1000, 0), 970);
  state.startCall(tasks(2), 100);
  t.is(state.freeBytes(1000, 0), 770);
  state.completeCall(tasks(2), {
    results: RESULTS,
    until: 4000,
    ratio: 1,
    now: 0,
  });
  t.is(state.freeBytes(1000, 0), 770);
  state.removeResult("a");
  state.removeResult("a");
  t.is(state.freeBytes(1000, 0), 870);
  t.deepEqual(state.memoryEstimate(1000), {
    room: 1000,
    heldBytes: 100,
    reserved: 0,
    held: 1,
  });
});

test("a result that is not released expires", (t) => {
  const state = stateOf();
  state.startCall(tasks(2), 100);
  state.completeCall(tasks(2), {
    results: RESULTS,
    until: 4000,
    ratio: 1,
    now: 0,
  });
  t.true(state.wakeTimes(100, 0).includes(4000));
  state.expire(3999);
  t.true(state.hasResults);
  state.expire(4000);
  t.false(state.hasResults);
});

test("the pause after a failure doubles until a call succeeds", (t) => {
  const state = stateOf();
  const failAt = (now: number) => {
    state.startCall(tasks(1), 100);
    state.failCall(tasks(1), { now });
  };
  failAt(0);
  t.false(state.isUsable(299));
  t.true(state.isUsable(300));
  failAt(1000);
  t.false(state.isUsable(1599));
  t.true(state.isUsable(1600));
  state.startCall(tasks(1), 100);
  state.completeCall(tasks(1), { results: [], until: 0, ratio: 1, now: 0 });
  failAt(3000);
  t.true(state.isUsable(3300));
  t.is(state.calls, 0);
});

test("a rejected call does not lengthen the pause after the next failure", (t) => {
  const state = stateOf();
  state.startCall(tasks(1), 100);
  state.failCall(tasks(1), { now: 0, pause: 120 });
  t.true(state.isUsable(120));
  state.startCall(tasks(1), 100);
  state.failCall(tasks(1), { now: 1000 });
  t.true(state.isUsable(1300));
});

/** A call of twelve items of 100 bytes, `rejected` of them for lack of
 * memory. */
function rejectionOf(
  rejected: number,
  room = 1000,
): workerStates.MemoryRejection {
  const made = 100 * (12 - rejected);
  return { rejected, pieces: 12, bytes: 100, made, room };
}

test("the pause doubles while other batchers' results fill an endpoint's memory", (t) => {
  const state = stateOf();
  const pauses: number[] = [];
  let now = 0;
  for (let call = 0; call < 5; call++) {
    t.true(state.recordMemoryRejection(rejectionOf(6), now));
    const from = now;
    while (!state.isUsable(now)) now += 10;
    pauses.push(now - from);
  }
  t.deepEqual(pauses, [60, 120, 240, 480, 480]);
  t.false(state.recordMemoryRejection(rejectionOf(1), now));
  t.true(state.isUsable(now + 60));
});

test("memory that other batchers' results take is not used, and frees over time", (t) => {
  const state = stateOf();
  state.startCall(tasks(12), 100);
  state.completeCall(tasks(12), {
    results: RESULTS,
    until: 4000,
    ratio: 1,
    now: 0,
  });
  // Two of twelve items were computed: other batchers' results take 750 of
  // 1,000 bytes, to within half an item.
  state.recordMemoryRejection(rejectionOf(10), 500);
  t.is(state.foreignBytes(500), 750);
  t.is(state.freeBytes(1000, 500), 970 - 200 - 750);
  t.is(state.foreignBytes(1500), 375);
  t.is(state.foreignBytes(2500), 0);
  t.is(state.freeBytes(1000, 2500), 770);
});

test("memory that this batcher has filled is not attributed to other batchers", (t) => {
  const state = stateOf();
  state.startCall(tasks(12), 100);
  state.completeCall(tasks(12), {
    results: RESULTS,
    until: 4000,
    ratio: 1,
    now: 0,
  });
  state.recordMemoryRejection(rejectionOf(2), 500);
  t.is(state.foreignBytes(500), 0);
});

// Guards against memory that is used twice: an endpoint that goes on makes the
// results of its overdue call, beside those of the next one.
test("memory of an overdue call stays reserved until the call ends", (t) => {
  const state = stateOf();
  state.startCall(tasks(2), 100);
  t.true(state.startOverdue(1000));
  t.is(state.calls, 0);
  t.true(state.isInUse);
  t.false(state.isUsable(1299));
  t.is(state.freeBytes(1000, 1000), 770);
  state.startCall(tasks(1), 1400);
  t.false(state.startOverdue(2000));
  state.failCall(tasks(1), { now: 2000 });
  t.is(state.freeBytes(1000, 2000), 770);
  state.endOverdue(tasks(2));
  t.is(state.freeBytes(1000, 2000), 970);
  t.false(state.isInUse);
});

// Guards against an endpoint that stays paused although it has gone on.
test("the answer of an overdue call ends the pause, and its results take memory", (t) => {
  const state = stateOf();
  state.startCall(tasks(2), 100);
  state.startOverdue(1000);
  state.endOverdue(tasks(2), { results: RESULTS, until: 4000, now: 1100 });
  t.true(state.isUsable(1100));
  t.is(state.freeBytes(1000, 1100), 770);
  state.startCall(tasks(1), 1200);
  state.failCall(tasks(1), { now: 1200 });
  t.true(state.isUsable(1500));
});
