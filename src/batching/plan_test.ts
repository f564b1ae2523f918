/** @module */

import test from "ava";
import * as plans from "./plan.ts";

const STAGES = [
  { service: "first", after: [], bytes: 10 },
  { service: "second", after: [0], bytes: 20 },
  { service: "side", after: [], bytes: 30 },
];

/** A plan whose stages in `made` have their pieces. */
function planOf(counts: number[], ...made: number[]): plans.Plan {
  return made.reduce(
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

function roundsOf(plan: plans.Plan) {
  return plan.readyRequests.map((
    { stage, items: pieces },
  ) => [stage, pieces.length]);
}

test("a stage waits for all that it works on", (t) => {
  t.deepEqual(roundsOf(planOf([2, 3, 1])), [[0, 2], [2, 1]]);
  const plan = planOf([2, 3, 1], 0);
  t.deepEqual(plan.readyRequests[0].inputs, ["h0.0", "h0.1"]);
});

test("a stage that was asked for is not asked for again", (t) => {
  t.deepEqual(roundsOf(planOf([2, 3, 1]).markRequested(0)), [[2, 1]]);
});

test("a stage without pieces holds nothing up", (t) => {
  t.deepEqual(roundsOf(planOf([0, 3, 0])), [[1, 3]]);
  t.true(planOf([0, 0, 0]).isComplete);
});

test("the request is given what no other stage works on", (t) => {
  const plan = planOf([1, 1, 1], 0, 1, 2);
  t.true(plan.isComplete);
  t.deepEqual(plan.outputs, ["h1.0", "h2.0"]);
});

test("results are read once all stages after them are made", (t) => {
  t.deepEqual(planOf([1, 1, 1], 0).consumedResults, []);
  const plan = planOf([1, 1, 1], 0, 1);
  t.deepEqual(plan.consumedResults, [{ service: "first", handles: ["h0.0"] }]);
  t.deepEqual(plan.markConsumedReleased().consumedResults, []);
  t.deepEqual(
    plan.markConsumedReleased().heldResults.map(({ service }) => service),
    ["second"],
  );
});

test("pieces that failed are asked for again", (t) => {
  const plan = planOf([2, 1, 0]).markRequested(0)
    .addResults(0, [{ piece: 1, handle: "h" }]);
  t.deepEqual(plan.readyRequests.map(({ items: pieces }) => pieces), [[0]]);
});

test("what is forgotten is made again", (t) => {
  const plan = planOf([1, 1, 1], 0, 1, 2).discardResults([0, 1]);
  t.deepEqual(roundsOf(plan), [[0, 1]]);
});
