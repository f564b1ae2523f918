import test from "ava";
import * as bodyLedgers from "./body_ledger.ts";

/** A body that records its eviction. */
function bodyOf(account?: string) {
  const evicted: number[] = [];
  return { account, evicted, evict: (bytes: number) => evicted.push(bytes) };
}

function ledgerOf(bound: number): bodyLedgers.BodyLedger {
  return bodyLedgers.BodyLedger.create({ bound: () => bound });
}

test("above the bound the body that has grown least recently is evicted", (t) => {
  const ledger = ledgerOf(100);
  const [stalled, active, newest] = [bodyOf(), bodyOf(), bodyOf()];
  ledger.grow(active, 10);
  ledger.grow(stalled, 60);
  ledger.grow(active, 30);
  ledger.grow(newest, 20);
  t.deepEqual(stalled.evicted, [60]);
  t.deepEqual([...active.evicted, ...newest.evicted], []);
  t.is(ledger.sum, 50);
});

test("the account whose bodies take the most loses one first", (t) => {
  const ledger = ledgerOf(100);
  const others = bodyOf("b");
  const crowd = [bodyOf("a"), bodyOf("a"), bodyOf("a")];
  ledger.grow(others, 30);
  for (const body of crowd) ledger.grow(body, 25);
  t.deepEqual(others.evicted, []);
  t.deepEqual(crowd.map(({ evicted }) => evicted), [[25], [], []]);
});

test("complete bodies are held, and make room for themselves", (t) => {
  const ledger = ledgerOf(100);
  const [complete, arriving] = [bodyOf(), bodyOf()];
  ledger.grow(complete, 40);
  ledger.grow(arriving, 40);
  ledger.complete(complete, 80);
  t.deepEqual(complete.evicted, []);
  t.deepEqual(arriving.evicted, [40]);
  const late = bodyOf();
  ledger.grow(late, 30);
  t.deepEqual(late.evicted, [30]);
  ledger.remove(complete);
  t.is(ledger.sum, 0);
  ledger.grow(late, 30);
  t.is(ledger.sum, 30);
});

test("the only body is never evicted", (t) => {
  const ledger = ledgerOf(100);
  const only = bodyOf();
  ledger.grow(only, 500);
  t.deepEqual(only.evicted, []);
  const other = bodyOf();
  ledger.grow(other, 1);
  t.deepEqual(only.evicted, [500]);
  t.deepEqual(other.evicted, []);
});

test("a removed body counts no more and can be removed again", (t) => {
  const ledger = ledgerOf(100);
  const body = bodyOf("a");
  ledger.grow(body, 50);
  ledger.remove(body);
  ledger.remove(body);
  t.is(ledger.sum, 0);
  t.is(ledger.size, 0);
});
