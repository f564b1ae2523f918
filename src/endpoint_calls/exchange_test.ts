/** @module */

import test from "ava";
import type * as undici from "undici";
import * as runtime from "../runtime/mod.ts";
import * as exchange from "./exchange.ts";

/** Accepts calls and never answers. */
const UNRESPONSIVE = { dispatch: () => true } as unknown as undici.Dispatcher;

// Rounding errors of clock values must not let a call outlive its timeout.
test("the idle timeout fails a call on time at any fraction of the clock", (t) => {
  const clock = new runtime.FakeClock();
  const random = runtime.createRandom(4);
  const receiver = { head() {}, data() {}, end() {} };
  for (let call = 0; call < 500; call++) {
    clock.advance(random.next() * 100);
    let failure: exchange.ExchangeFailure | undefined;
    exchange.Exchange.start({ method: "GET", path: "/", headers: {} }, {
      dispatcher: UNRESPONSIVE,
      clock,
      url: "http://10.0.0.1:80",
      deadline: Infinity,
      idleTimeout: 1000 * random.next(),
      maxBytes: 1,
      receiver: { ...receiver, fail: (each) => void (failure = each) },
    });
    clock.step();
    if (failure?.reason !== "silent") {
      return t.fail(`call ${call} did not time out`);
    }
  }
  t.pass();
});

/** Times at which an exchange that is never answered reports silence, and why
 * it ends, within a second. */
function silencesOf({ isSent }: { isSent: boolean }) {
  const clock = new runtime.FakeClock();
  const reported: number[] = [];
  const failures: (exchange.ExchangeFailure & { at: number })[] = [];
  const dispatcher = {
    dispatch(_: unknown, handler: undici.Dispatcher.DispatchHandler) {
      const controller = { abort() {} };
      if (isSent) handler.onRequestStart!(controller as never, undefined);
      return true;
    },
  } as unknown as undici.Dispatcher;
  exchange.Exchange.start({ method: "GET", path: "/", headers: {} }, {
    dispatcher,
    clock,
    url: "http://10.0.0.1:80",
    deadline: 1000,
    idleTimeout: 300,
    maxBytes: 1,
    receiver: {
      head() {},
      data() {},
      end() {},
      fail: (failure) => failures.push({ ...failure, at: clock.now() }),
      silence: () => void reported.push(clock.now()),
    },
  });
  clock.advance(1000);
  return { reported, failures };
}

test("silence is reported after each idle timeout until the deadline", (t) => {
  t.deepEqual(silencesOf({ isSent: true }), {
    reported: [300, 600, 900],
    failures: [{ reason: "deadline", outcome: "unknown", at: 1000 }],
  });
});

// Guards against a call that waits for a connection instead of another endpoint.
test("an exchange that was not sent fails after its idle timeout", (t) => {
  t.deepEqual(silencesOf({ isSent: false }), {
    reported: [],
    failures: [{ reason: "silent", outcome: "not-run", at: 300 }],
  });
});

// Guards against calls that wait for a connection while the reason to make them
// ends: they reached endpoints that had announced their departure meanwhile.
test("a request that may no longer be sent when its connection opens fails as not run", (t) => {
  let handler!: undici.Dispatcher.DispatchHandler;
  const dispatcher = {
    dispatch(_: unknown, given: undici.Dispatcher.DispatchHandler) {
      handler = given;
      return true;
    },
  } as unknown as undici.Dispatcher;
  let maySend = true;
  const failures: exchange.ExchangeFailure[] = [];
  exchange.Exchange.start({ method: "GET", path: "/", headers: {} }, {
    dispatcher,
    clock: new runtime.FakeClock(),
    url: "http://10.0.0.1:80",
    deadline: 1000,
    idleTimeout: 1000,
    maxBytes: 1,
    receiver: {
      head() {},
      data() {},
      end() {},
      fail: (failure) => void failures.push(failure),
    },
    maySend: () => maySend,
  });
  maySend = false;
  const controller = {
    abort: (error: Error) => handler.onResponseError!(controller, error),
  } as unknown as undici.Dispatcher.DispatchController;
  handler.onRequestStart!(controller, undefined);
  t.deepEqual(failures, [{ reason: "connection", outcome: "not-run" }]);
});
