/** @module */

import test from "ava";
import * as fixture from "../configuration/fixture.ts";
import type * as attempts from "./attempt.ts";
import * as retries from "./retry.ts";

const unsafe = fixture.route({ kind: "unsafe", attempts: 2 });
const safe = fixture.route({ kind: "safe", attempts: 2 });
const stream = fixture.route({ kind: "streaming", attempts: 2 });
const resumable = fixture.route({
  kind: "streaming",
  attempts: 2,
  resumable: true,
});

function failed(cause: attempts.FailureCause, mayHaveRun: boolean) {
  return { type: "failed" as const, cause, mayHaveRun };
}

const ONCE = { runs: 1, calls: 1 };

test("a call that may have run is retried only if it is idempotent", (t) => {
  const broken = failed("broken", true);
  t.is(retries.afterFailure(unsafe, broken, ONCE), "stop");
  t.is(retries.afterFailure(stream, broken, ONCE), "stop");
  t.is(retries.afterFailure(safe, broken, ONCE), "retry");
  t.is(retries.afterFailure(resumable, broken, ONCE), "retry");
});

test("no more endpoints execute a request than its route allows", (t) => {
  const history = { runs: 2, calls: 2 };
  t.is(retries.afterFailure(safe, failed("broken", true), history), "stop");
});

test("a call that certainly did not run is retried for every kind of route", (t) => {
  const history = { runs: 0, calls: 1 };
  t.is(retries.afterFailure(unsafe, failed("full", false), history), "retry");
  const none = failed("unreachable", false);
  t.is(retries.afterFailure(unsafe, none, history), "retry-free");
});

test("the number of calls is bounded even if none is executed", (t) => {
  const history = { runs: 0, calls: 4 };
  t.is(retries.afterFailure(safe, failed("full", false), history), "stop");
});

test("an endpoint's error answer is retried elsewhere for an idempotent route", (t) => {
  t.true(retries.shouldRetryAnswer(safe, { status: 500 }, ONCE));
  t.false(retries.shouldRetryAnswer(unsafe, { status: 500 }, ONCE));
  t.false(retries.shouldRetryAnswer(safe, { status: 404 }, ONCE));
});

// Guards against callers who repeat a request that has run: these statuses
// promise that it has not, but without a header that says so an endpoint's
// answer does not.
test("an endpoint's answer that would promise too much is an error answer", (t) => {
  for (const status of [408, 429, 503]) {
    t.true(retries.shouldRetryAnswer(safe, { status }, ONCE), `${status}`);
    t.false(retries.shouldRetryAnswer(unsafe, { status }, ONCE), `${status}`);
    t.false(retries.shouldRetryAnswer(stream, { status }, ONCE), `${status}`);
    t.true(retries.mayRelayAnswer(safe, { status }), `${status}`);
    t.true(retries.mayRelayAnswer(resumable, { status }), `${status}`);
    t.false(retries.mayRelayAnswer(unsafe, { status }), `${status}`);
    t.false(retries.mayRelayAnswer(stream, { status }), `${status}`);
  }
  for (const status of [200, 400, 404, 409, 500, 502, 504]) {
    t.true(retries.mayRelayAnswer(unsafe, { status }), `${status}`);
  }
  const twice = { runs: 2, calls: 2 };
  t.false(retries.shouldRetryAnswer(safe, { status: 429 }, twice));
});
