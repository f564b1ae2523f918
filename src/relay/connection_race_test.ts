/** @module */

import * as net from "node:net";
import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as race from "./connection_race.ts";
import * as errors from "./errors.ts";

/** Candidates that are controlled by the test. */
function createCandidates(patiences: readonly number[]) {
  const opened: string[] = [];
  const cancelled: string[] = [];
  const callbacks = new Map<string, race.AttemptCallback>();
  const candidates = patiences.map((patience, pos): race.Candidate => ({
    name: `path ${pos}`,
    patience,
    open(callback) {
      opened.push(`path ${pos}`);
      callbacks.set(`path ${pos}`, callback);
      return () => cancelled.push(`path ${pos}`);
    },
  }));
  return { candidates, opened, cancelled, callbacks };
}

function start(patiences: readonly number[], timeout = 1000) {
  const clock = new runtime.FakeClock();
  const all = createCandidates(patiences);
  const failed: string[] = [];
  const result = race.race({
    clock,
    timeout,
    candidates: all.candidates,
    onFailure: ({ name }, { message }) => {
      failed.push(name);
      return message === "hopeless";
    },
  });
  // The test may look at the result only later.
  result.catch(() => {});
  return { ...all, clock, result, failed };
}

test("a path that works at once is the only one tried", async (t) => {
  const { clock, opened, callbacks, result } = start([250, 150]);
  const socket = new net.Socket();
  clock.advance(249);
  callbacks.get("path 0")!(undefined, socket);
  const { candidate, socket: won } = await result;
  clock.advance(1000);
  t.is(candidate.name, "path 0");
  t.is(won, socket);
  t.deepEqual(opened, ["path 0"]);
});

test("the next path is tried when one is slow, and the first to open is used", async (t) => {
  const { clock, opened, cancelled, callbacks, result, failed } = start([
    250,
    150,
    150,
  ]);
  clock.advance(250);
  t.deepEqual(opened, ["path 0", "path 1"]);
  clock.advance(150);
  t.deepEqual(opened, ["path 0", "path 1", "path 2"]);
  callbacks.get("path 1")!(undefined, new net.Socket());
  t.is((await result).candidate.name, "path 1");
  t.deepEqual(cancelled, ["path 0", "path 2"]);
  t.deepEqual(failed, ["path 0"]);
});

test("the next path is tried at once when one fails", async (t) => {
  const { opened, callbacks, result, failed } = start([250, 150]);
  callbacks.get("path 0")!(new Error("refused"));
  t.deepEqual(opened, ["path 0", "path 1"]);
  t.deepEqual(failed, ["path 0"]);
  callbacks.get("path 1")!(undefined, new net.Socket());
  t.is((await result).candidate.name, "path 1");
});

test("a race fails when all paths have failed", async (t) => {
  const { callbacks, result } = start([250, 150]);
  callbacks.get("path 0")!(new Error("refused"));
  callbacks.get("path 1")!(new Error("unreachable"));
  const error = await t.throwsAsync(result, { instanceOf: errors.RelayError });
  t.regex(error.message, /path 0: refused; path 1: unreachable/);
});

test("a race fails as soon as no further path is worth trying", async (t) => {
  const { opened, callbacks, result } = start([250, 150]);
  callbacks.get("path 0")!(new Error("hopeless"));
  await t.throwsAsync(result, { message: /path 0: hopeless/ });
  t.deepEqual(opened, ["path 0"]);
});

test("a race fails at its timeout and gives up what is pending", async (t) => {
  const { clock, opened, cancelled, result } = start([250, 150, 700], 500);
  clock.advance(500);
  await t.throwsAsync(result, { message: /timeout/ });
  t.deepEqual(cancelled, opened);
  t.is(opened.length, 3);
});

test("an attempt that ends while it is opened is not cancelled", async (t) => {
  const clock = new runtime.FakeClock();
  const cancelled: string[] = [];
  const result = race.race({
    clock,
    timeout: 100,
    candidates: [{
      name: "path",
      patience: 10,
      open(callback) {
        callback(undefined, new net.Socket());
        return () => cancelled.push("path");
      },
    }],
  });
  t.is((await result).candidate.name, "path");
  t.deepEqual(cancelled, []);
});
