/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as firstEventLatencies from "./first_event_latency.ts";

for (const prefillRate of [10, 30, 100]) {
  test(`the latency of engines that prefill ${prefillRate} tokens per ms is learnt`, (t) => {
    const random = runtime.createRandom(prefillRate);
    const latency = firstEventLatencies.FirstEventLatency.create();
    const actual = (tokens: number, streams: number) =>
      40 + tokens / prefillRate + 3 * streams;
    for (let call = 0; call < 60; call++) {
      const pendingWork = {
        tokens: random.below(9000),
        streams: random.below(6),
      };
      const noise = 0.8 + 0.4 * random.next();
      latency.observe(
        pendingWork,
        noise * actual(pendingWork.tokens, pendingWork.streams),
      );
    }
    for (const tokens of [500, 3000, 9000]) {
      const ratio = latency.predict({ tokens, streams: 3 }) /
        actual(tokens, 3);
      t.true(ratio > 0.75 && ratio < 1.33, `${tokens}: ${ratio}`);
    }
  });
}

test("a single call that hung hardly changes the prediction", (t) => {
  const latency = firstEventLatencies.FirstEventLatency.create();
  const pendingWork = { tokens: 3000, streams: 2 };
  for (let call = 0; call < 30; call++) latency.observe(pendingWork, 150);
  latency.observe(pendingWork, 5000);
  t.true(latency.predict(pendingWork) < 250);
});
