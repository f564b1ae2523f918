/** @module */

import test from "ava";
import * as accounts from "./account.ts";
import * as deployments from "./deployment.ts";
import * as worlds from "./world.ts";

// Guards against requests with small results that are refused for want of memory
// which only large results need: .29 and .35 of their worth was served where one
// queue length stood for both. The bound is that of a calm load, since
// all that they need keeps up.
for (const seed of [1, 2]) {
  test(`small results are served through a burst of large ones, load ${seed}`, async (t) => {
    const { ended } = await worlds.play({
      deployment: deployments.grown({ largeResults: 8 }),
      seed,
      length: 9000,
      bursts: [{ at: 3000, length: 6000, factor: 3.2, kind: "plan" }],
    });
    const small = ended.filter(({ request: { at, kind, pieces } }) =>
      at > 4500 && kind.name === "question" && pieces[0] === 0
    );
    t.true(small.length > 80);
    t.true(accounts.share(small) > 0.85, `${accounts.share(small)}`);
  });
}

// Guards against requests that are refused for the queue of one data centre while
// others have endpoints to spare: .87 and .78 of the questions' worth was served.
// The bound is the target's, 95 of 100 in time.
for (const seed of [1, 2]) {
  test(`data centres help one that is short of endpoints, load ${seed}`, async (t) => {
    const { ended } = await worlds.play({
      deployment: deployments.grown({ counts: { a: 6, b: 3, c: 6 } }),
      seed,
      length: 9000,
      bursts: [{ at: 3000, length: 6000, factor: 1.8, kind: "summary" }],
    });
    const questions = ended.filter(({ request: { at, kind } }) =>
      at > 4500 && kind.name === "question"
    );
    t.true(questions.length > 150);
    t.true(accounts.share(questions) > 0.95, `${accounts.share(questions)}`);
  });
}
