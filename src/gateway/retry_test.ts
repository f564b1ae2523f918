/** @module */

import test from "ava";
import * as fixture from "../configuration/fixture.ts";
import type * as attempt from "./attempt.ts";
import * as retry from "./retry.ts";

const unsafe = fixture.route({ kind: "unsafe", attempts: 2 });
const safe = fixture.route({ kind: "safe", attempts: 2 });
const stream = fixture.route({ kind: "streaming", attempts: 2 });
const resumable = fixture.route({
  kind: "streaming",
  attempts: 2,
  resumable: true,
});

function failed(cause: attempt.FailureCause, mayHaveRun: boolean) {
  return { type: "failed" as const, cause, mayHaveRun };
}

const ONCE = { runs: 1, sends: 1 };

test("what may have run is repeated only where it may run twice", (t) => {
  const broken = failed("broken", true);
  t.is(retry.afterFailure(unsafe, broken, ONCE), "over");
  t.is(retry.afterFailure(stream, broken, ONCE), "over");
  t.is(retry.afterFailure(safe, broken, ONCE), "again");
  t.is(retry.afterFailure(resumable, broken, ONCE), "again");
});

test("no more endpoints run a request than its route allows", (t) => {
  const history = { runs: 2, sends: 2 };
  t.is(retry.afterFailure(safe, failed("broken", true), history), "over");
});

test("what provably did not run is sent again, whatever its kind", (t) => {
  const history = { runs: 0, sends: 1 };
  t.is(retry.afterFailure(unsafe, failed("full", false), history), "again");
  const none = failed("unreachable", false);
  t.is(retry.afterFailure(unsafe, none, history), "again-free");
});

test("sends end even where nothing runs", (t) => {
  const history = { runs: 0, sends: 4 };
  t.is(retry.afterFailure(safe, failed("full", false), history), "over");
});

test("an endpoint's own failure is tried elsewhere if it may be", (t) => {
  t.true(retry.shouldRetryAnswer(safe, { status: 500 }, ONCE));
  t.false(retry.shouldRetryAnswer(unsafe, { status: 500 }, ONCE));
  t.false(retry.shouldRetryAnswer(safe, { status: 404 }, ONCE));
});
