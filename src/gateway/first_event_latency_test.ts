/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as firstEvents from "./first_event_latency.ts";

for (const readRate of [10, 30, 100]) {
  test(`first events of engines that read ${readRate} tokens a ms are learnt`, (t) => {
    const random = runtime.createRandom(readRate);
    const firstEvent = firstEvents.FirstEventLatency.create();
    const real = (tokens: number, streams: number) =>
      40 + tokens / readRate + 3 * streams;
    for (let call = 0; call < 60; call++) {
      const work = { tokens: random.below(9000), streams: random.below(6) };
      const noise = 0.8 + 0.4 * random.next();
      firstEvent.observe(work, noise * real(work.tokens, work.streams));
    }
    for (const tokens of [500, 3000, 9000]) {
      const ratio = firstEvent.predict({ tokens, streams: 3 }) /
        real(tokens, 3);
      t.true(ratio > 0.75 && ratio < 1.33, `${tokens}: ${ratio}`);
    }
  });
}

test("one call that hung says little of the next", (t) => {
  const firstEvent = firstEvents.FirstEventLatency.create();
  const work = { tokens: 3000, streams: 2 };
  for (let call = 0; call < 30; call++) firstEvent.observe(work, 150);
  firstEvent.observe(work, 5000);
  t.true(firstEvent.predict(work) < 250);
});
