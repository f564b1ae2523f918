import test from "ava";
import * as collectors from "./collector.ts";

function collectorOf(memory?: number) {
  const turn: (() => void)[] = [];
  let count = 0;
  const collector = collectors.Collector.create({
    collect: () => void count++,
    afterTurn: (action) => turn.push(action),
  });
  if (memory !== undefined) collector.limitMemory(memory);
  const endTurn = () => turn.splice(0).forEach((action) => action());
  return { collector, endTurn, count: () => count };
}

test("unused buffers are collected once after a turn that reaches their bound", (t) => {
  const { collector, endTurn, count } = collectorOf(320_000);
  collector.addUnused(9000);
  endTurn();
  t.is(count(), 0);
  collector.addUnused(1000);
  collector.addUnused(50_000);
  t.is(count(), 0);
  endTurn();
  t.is(count(), 1);
  collector.addUnused(9000);
  endTurn();
  t.is(count(), 1);
});

// Guards against bodies in small chunks, whose buffers take many times their bytes.
test("small buffers count with what they take beside their bytes", (t) => {
  const { collector, endTurn, count } = collectorOf(3_200_000);
  for (let index = 0; index < 300; index++) collector.addUnused(1);
  endTurn();
  t.is(count(), 1);
});

test("a process without a limit of memory leaves collection to V8", (t) => {
  const { collector, endTurn, count } = collectorOf();
  collector.addUnused(1e12);
  endTurn();
  t.is(count(), 0);
});

test("the collector of a process collects what is not used", (t) => {
  collectors.shared.limitMemory(1);
  t.notThrows(() => collectors.shared.addUnused(1000));
  return new Promise<void>((resolve) => setImmediate(resolve));
});
