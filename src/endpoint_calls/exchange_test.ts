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
