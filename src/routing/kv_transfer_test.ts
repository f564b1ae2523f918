import test from "ava";
import * as finish from "./finish_time.ts";
import * as transfer from "./kv_transfer.ts";

function move(changes: Partial<transfer.Transfer> = {}): transfer.Transfer {
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

test("moves KV cache where that is faster than computing it", (t) => {
  t.is(transfer.savedTime(move()), 1000 - 430);
  t.true(transfer.isWorthwhile(move()));
  t.false(transfer.isWorthwhile(move({ bandwidth: 1e8 })));
  t.false(transfer.isWorthwhile(move({ tokens: 40 })));
});

test("predicts a later finish for each thing that delays it", (t) => {
  const idle: finish.Conditions = {
    latency: 0,
    work: 100,
    saved: 0,
    load: 0,
    slots: 8,
    service: 100,
    slowness: 1,
    kvUsed: 0,
  };
  t.is(finish.predict(idle), 100);
  t.is(finish.predict({ ...idle, saved: 60 }), 40);
  for (
    const worse of [
      { latency: 2 },
      { load: 4 },
      { slowness: 2 },
      { kvUsed: 0.95 },
    ]
  ) {
    t.true(finish.predict({ ...idle, ...worse }) > 100);
  }
  const full = finish.predict({ ...idle, load: 8 });
  t.true(finish.predict({ ...idle, load: 16 }) > full);
});
