import test from "ava";
import * as finishTime from "./finish_time.ts";
import * as kvTransfer from "./kv_transfer.ts";

function move(changes: Partial<kvTransfer.Transfer> = {}): kvTransfer.Transfer {
  return {
    tokens: 4000,
    prefillRate: 4000,
    tokenBytes: 100_000,
    bandwidth: 1e9,
    overhead: 30,
    pressure: 0,
    ...changes,
  };
}

test("transfers KV cache only if that is faster than a prefill", (t) => {
  t.is(kvTransfer.savedTime(move()), 1000 - 430);
  t.true(kvTransfer.isWorthwhile(move()));
  t.false(kvTransfer.isWorthwhile(move({ bandwidth: 1e8 })));
  t.false(kvTransfer.isWorthwhile(move({ tokens: 40 })));
});

test("predicts a later finish for each condition that causes delay", (t) => {
  const idle: finishTime.Conditions = {
    latency: 0,
    work: 100,
    saved: 0,
    load: 0,
    slots: 8,
    service: 100,
    slowness: 1,
    kvUsed: 0,
  };
  t.is(finishTime.predict(idle), 100);
  t.is(finishTime.predict({ ...idle, saved: 60 }), 40);
  for (
    const worse of [
      { latency: 2 },
      { load: 4 },
      { slowness: 2 },
      { kvUsed: 0.95 },
    ]
  ) {
    t.true(finishTime.predict({ ...idle, ...worse }) > 100);
  }
  const full = finishTime.predict({ ...idle, load: 8 });
  t.true(finishTime.predict({ ...idle, load: 16 }) > full);
});
