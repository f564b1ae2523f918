/** @module */

import test from "ava";
import type * as undici from "undici";
import * as runtime from "../runtime/mod.ts";
import * as exchanges from "./exchange.ts";

/** Takes calls and never answers. */
const SILENT = { dispatch: () => true } as unknown as undici.Dispatcher;

test("silence ends a call at its bound, whatever the clock's fractions", (t) => {
  const clock = new runtime.FakeClock();
  const random = runtime.createRandom(4);
  const receiver = { head() {}, data() {}, end() {} };
  for (let call = 0; call < 500; call++) {
    clock.advance(random.next() * 100);
    let broken: exchanges.ExchangeFailure | undefined;
    exchanges.Exchange.start({ method: "GET", path: "/", headers: {} }, {
      dispatcher: SILENT,
      clock,
      url: "http://10.0.0.1:80",
      deadline: Infinity,
      idleTimeout: 1000 * random.next(),
      maxBytes: 1,
      receiver: { ...receiver, fail: (each) => void (broken = each) },
    });
    clock.step();
    if (broken?.reason !== "silent") return t.fail(`call ${call} goes on`);
  }
  t.pass();
});
