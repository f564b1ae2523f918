/** @module */

import test from "ava";
import * as plans from "./plan.ts";

const STAGES = [
  { service: "first", after: [], bytes: 10 },
  { service: "second", after: [0], bytes: 20 },
  { service: "side", after: [], bytes: 30 },
];

/** A plan in which the given stages are complete. */
function planOf(counts: number[], ...complete: number[]): plans.Plan {
  return complete.reduce(
    (plan, stage) =>
      plan.addResults(
        stage,
        Array.from({ length: counts[stage] }, (_, piece) => ({
          piece,
          handle: `h${stage}.${piece}`,
        })),
      ),
    plans.Plan.create(STAGES, counts),
  );
}

function readyItemCounts(plan: plans.Plan) {
  return plan.readyRequests.map((
    { stage, items },
  ) => [stage, items.length]);
}

test("a stage is not ready before all its inputs are complete", (t) => {
  t.deepEqual(readyItemCounts(planOf([2, 3, 1])), [[0, 2], [2, 1]]);
  const plan = planOf([2, 3, 1], 0);
  t.deepEqual(plan.readyRequests[0].inputs, ["h0.0", "h0.1"]);
});

test("a stage that has been requested is not requested again", (t) => {
  t.deepEqual(readyItemCounts(planOf([2, 3, 1]).markRequested(0)), [[2, 1]]);
});

test("a stage without items counts as complete", (t) => {
  t.deepEqual(readyItemCounts(planOf([0, 3, 0])), [[1, 3]]);
  t.true(planOf([0, 0, 0]).isComplete);
});

test("the outputs are the results that no other stage takes as input", (t) => {
  const plan = planOf([1, 1, 1], 0, 1, 2);
  t.true(plan.isComplete);
  t.deepEqual(plan.outputs, ["h1.0", "h2.0"]);
});

test("results are consumed once all dependent stages are complete", (t) => {
  t.deepEqual(planOf([1, 1, 1], 0).consumedResults, []);
  const plan = planOf([1, 1, 1], 0, 1);
  t.deepEqual(plan.consumedResults, [{ service: "first", handles: ["h0.0"] }]);
  t.deepEqual(plan.markConsumedReleased().consumedResults, []);
  t.deepEqual(
    plan.markConsumedReleased().heldResults.map(({ service }) => service),
    ["second"],
  );
});

test("items without a result are requested again", (t) => {
  const plan = planOf([2, 1, 0]).markRequested(0)
    .addResults(0, [{ piece: 1, handle: "h" }]);
  t.deepEqual(plan.readyRequests.map(({ items }) => items), [[0]]);
});

test("discarded results are computed again", (t) => {
  const plan = planOf([1, 1, 1], 0, 1, 2).discardResults([0, 1]);
  t.deepEqual(readyItemCounts(plan), [[0, 1]]);
});
