/** @module */

import test from "ava";
import * as decayingMean from "./decaying_mean.ts";

const OPTIONS = { gain: 0.5, freshMs: 1000, halfLifeMs: 2000 };

test("a mean starts at the prior and follows its samples", (t) => {
  const mean = decayingMean.DecayingMean.create(OPTIONS);
  t.is(mean.value({ now: 0, prior: 4 }), 4);
  mean.add(8, { now: 0, prior: 4 });
  t.is(mean.value({ now: 500, prior: 4 }), 6);
  mean.add(8, { now: 500, prior: 4 });
  t.is(mean.value({ now: 1500, prior: 4 }), 7);
});

test("a mean without new samples decays to the prior", (t) => {
  const mean = decayingMean.DecayingMean.create(OPTIONS);
  t.is(mean.age(100), undefined);
  mean.add(100, { now: 0, prior: 100 });
  t.is(mean.value({ now: 1000, prior: 0 }), 100);
  t.is(mean.value({ now: 3000, prior: 0 }), 50);
  t.is(mean.value({ now: 5000, prior: 0 }), 25);
  t.is(mean.age(5000), 5000);
});
