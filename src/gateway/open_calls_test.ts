/** @module */

import test from "ava";
import * as openCalls from "./open_calls.ts";

const BROKEN: openCalls.Stall = {
  type: "failed",
  cause: "broken",
  mayHaveRun: true,
};

function createAttempt() {
  return {
    isSilent: false,
    isCancelled: false,
    cancel() {
      this.isCancelled = true;
    },
  };
}

/** Whether a promise has resolved by now. */
async function isResolved(promise: Promise<unknown>): Promise<boolean> {
  const pending = Symbol("pending");
  await Promise.resolve();
  return await Promise.race([promise, Promise.resolve(pending)]) !== pending;
}

test("calls are stalled once all that are in flight are silent", async (t) => {
  const calls = openCalls.OpenCalls.create();
  const [first, second] = [createAttempt(), createAttempt()];
  calls.add(first);
  calls.add(second);
  const stall = calls.nextStall();
  first.isSilent = true;
  calls.recordSilence();
  t.false(await isResolved(stall));
  second.isSilent = true;
  calls.recordSilence();
  t.like(await stall, { cause: "silent" });
});

// Guards against a request that waits for ever: the stall came while its next
// call was being prepared.
test("a stall that comes before it is waited for is kept", async (t) => {
  const calls = openCalls.OpenCalls.create();
  const call = createAttempt();
  calls.add(call);
  calls.remove(call);
  calls.recordStall(BROKEN);
  t.is(await calls.nextStall(), BROKEN);
  t.false(await isResolved(calls.nextStall()));
});

// Guards against a further call although one in flight sends something.
test("a stall is dropped if a call has begun or goes on before it is waited for", async (t) => {
  const calls = openCalls.OpenCalls.create();
  const [first, second] = [createAttempt(), createAttempt()];
  calls.add(first);
  first.isSilent = true;
  calls.recordSilence();
  first.isSilent = false;
  t.false(await isResolved(calls.nextStall()));
  first.isSilent = true;
  calls.recordSilence();
  calls.add(second);
  t.false(await isResolved(calls.nextStall()));
});

test("a failed call beside one that sends something is no stall", async (t) => {
  const calls = openCalls.OpenCalls.create();
  const [first, second] = [createAttempt(), createAttempt()];
  calls.add(first);
  calls.add(second);
  calls.remove(second);
  calls.recordStall(BROKEN);
  const stall = calls.nextStall();
  t.false(await isResolved(stall));
  calls.remove(first);
  calls.recordStall(BROKEN);
  t.is(await stall, BROKEN);
});

test("only the call that sends something is kept", (t) => {
  const calls = openCalls.OpenCalls.create();
  const [first, second] = [createAttempt(), createAttempt()];
  calls.add(first);
  calls.add(second);
  calls.cancelOthers(second);
  t.true(first.isCancelled);
  t.false(second.isCancelled);
});
