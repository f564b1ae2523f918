/** @module */

import test from "ava";
import type * as undici from "undici";
import * as partialAnswers from "../endpoint_calls/partial_answers.ts";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as attempts from "./attempt.ts";

const BODY = Buffer.alloc(1_000_000, "x");

/** An attempt whose answer has begun and is not complete. */
function startAttempt({ isStream }: { isStream: boolean }): attempts.Attempt {
  let handler!: undici.Dispatcher.DispatchHandler;
  const dispatcher = {
    dispatch(_: unknown, given: undici.Dispatcher.DispatchHandler) {
      handler = given;
      return true;
    },
  };
  const attempt = attempts.Attempt.start({
    dispatcher,
    clock: new runtime.FakeClock(),
    logger: telemetry.noLogger,
    metrics: telemetry.noMetrics,
    partialAnswers: partialAnswers.PartialAnswers.create({
      metrics: telemetry.noMetrics,
      afterTurn: setImmediate,
    }),
    protocol: {
      callHeaders: () => ({}),
      decodeReply: () => ({ status: 200, attempt: "a-1", signature: "s" }),
    },
    endpoint: {
      identity: { id: "e-1", service: "desk", address: "10.0.0.1:80" },
      isAccepting: () => true,
    },
    request: { id: "a-1", method: "POST", target: "/" },
    metadata: {},
    deadline: 1000,
    idleTimeout: 1000,
    ...(isStream && { stream: { head() {}, events() {} } }),
  } as unknown as attempts.AttemptOptions);
  const controller = { abort() {} } as never;
  handler.onRequestStart!(controller, undefined);
  handler.onResponseStart!(controller, 200, {
    "transfer-encoding": "chunked",
  });
  handler.onResponseData!(controller, BODY);
  return attempt;
}

// Guards against a host that runs out of memory although its incomplete answers are
// bounded: a request kept what its ended calls had received until its own end.
for (const isStream of [false, true]) {
  test(`an attempt that has ended holds no bytes: ${isStream ? "stream" : "plain answer"}`, async (t) => {
    const attempt = startAttempt({ isStream });
    t.true(attempt.heldBytes >= BODY.length);
    attempt.cancel();
    t.is(attempt.heldBytes, 0);
    t.like(await attempt.outcome, { type: "failed", cause: "cancelled" });
  });
}
