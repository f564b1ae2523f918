/** @module */

import test from "ava";
import * as byteLedgers from "./byte_ledger.ts";

test("the largest holders are removed until the sum is within the bound", (t) => {
  const ledger = byteLedgers.ByteLedger.create<string>({
    memory: 80,
    share: 1 / 8,
  });
  const removed: string[] = [];
  const removeExcess = () =>
    ledger.removeExcess((holder, bytes) => removed.push(`${holder} ${bytes}`));
  for (const bytes of [1, 5, 3, 4]) ledger.update(`of ${bytes}`, bytes);
  removeExcess();
  t.deepEqual(removed, ["of 5 5"]);
  ledger.update("of 1", 3);
  removeExcess();
  t.deepEqual(removed, ["of 5 5"], "at the bound nothing is removed");
  t.is(ledger.sum, 10);
  t.true(ledger.remove("of 3"));
  t.false(ledger.remove("of 3"));
  ledger.update("of 4", 0);
  t.is(ledger.sum, 3);
  t.deepEqual(ledger.dump(), { bound: 10, holders: 1, largest: [3] });
});

test("without a given memory there is no bound", (t) => {
  for (const memory of [undefined, 0]) {
    const ledger = byteLedgers.ByteLedger.create({ memory, share: 1 / 8 });
    ledger.update("large", 1e15);
    ledger.removeExcess(() => t.fail());
    t.deepEqual(ledger.dump(), { holders: 1, largest: [1e15] });
  }
});
