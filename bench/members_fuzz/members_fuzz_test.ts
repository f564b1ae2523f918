import test from "ava";
import type * as runtime from "../../src/runtime/mod.ts";
import * as fuzz from "./mod.ts";

/** Seeds whose schedules once ended wrong, and some others. */
const SEEDS = [11, 14, 16, 21, 53, 67, 91, 104, 178, 280, 367];

test("hosts agree on hosts and endpoints once faults end", (t) => {
  for (const seed of SEEDS) fuzz.views.run({ seed });
  t.pass();
});

test("hosts never pass a limit, and use it once faults end", (t) => {
  for (const seed of SEEDS) fuzz.shares.run({ seed });
  t.pass();
});

test("the checker of views notices that copies are not compared", (t) => {
  const sabotage = ({ body }: runtime.Envelope) => typeOf(body) === "compare";
  t.true(SEEDS.some((seed) => fails(() => fuzz.views.run({ seed, sabotage }))));
});

test("the checker of views notices that renewals are lost", (t) => {
  const sabotage = ({ body }: runtime.Envelope) => typeOf(body) === "renew";
  t.true(SEEDS.some((seed) => fails(() => fuzz.views.run({ seed, sabotage }))));
});

test("the checker of shares notices clocks that are far off", (t) => {
  t.true(SEEDS.some((seed) =>
    fails(() => {
      fuzz.shares.run({ seed, drift: 0.6 });
    })
  ));
});

function typeOf(body: unknown): string {
  return (body as { type: string }).type;
}

function fails(run: () => void): boolean {
  try {
    run();
    return false;
  } catch (failure) {
    if (failure instanceof fuzz.Violation) return true;
    throw failure;
  }
}
