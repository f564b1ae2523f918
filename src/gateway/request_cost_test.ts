/** @module */

import test from "ava";
import * as costs from "./request_cost.ts";

const PROMPT = { model: "m", inputTokens: 1200, outputTokens: 30, parts: [] };

test("a plain call costs 1", (t) => {
  t.is(costs.costOf(undefined), 1);
});

test("a generated token costs as much as ten input tokens", (t) => {
  t.is(costs.costOf(PROMPT), 1200 + 10 * 30);
});

test("input tokens in the engine's cache cost nothing", (t) => {
  t.is(costs.costOf(PROMPT, 200), 200 + 10 * 30);
  t.is(costs.costOf(PROMPT, 0), 10 * 30);
});

// Guards against an account that floods without limit by declaring no tokens.
test("a prompt that declares no tokens costs something", (t) => {
  const prompt = { ...PROMPT, inputTokens: 0, outputTokens: 0 };
  t.is(costs.costOf(prompt), 1);
});

test("stages cost the time of their items in full calls", (t) => {
  const stages = [{ service: "maps", after: [], bytes: 1 }];
  const traits = {
    slots: 1,
    queue: 2,
    batch: 10,
    callTime: 150,
    itemTime: 13,
    room: 1,
    keepTime: 1,
  };
  t.is(costs.stageCostOf(stages, [3], () => traits), 3 * (13 + 15));
  t.is(costs.stageCostOf(stages, [], () => traits), 1);
  t.is(costs.stageCostOf(stages, [3], () => undefined), 1);
});

// Guards against an account that declares so many tokens that what others use is
// lost beside them.
test("a prompt that declares endless tokens has a bounded cost", (t) => {
  const prompt = { ...PROMPT, outputTokens: Infinity };
  t.is(costs.costOf(prompt), 1_000_000);
});
