/** @module */

import test from "ava";
import * as calibrations from "./calibration.ts";

const FORECAST = { finish: 1000, uncontended: 500 };

test("the forecasts of a route that always takes longer are raised", (t) => {
  const calibration = calibrations.Calibration.create();
  for (let pos = 0; pos < 50; pos++) calibration.observe("r", FORECAST, 1500);
  t.is(Math.round(calibration.correct("r", FORECAST)), 1500);
  t.is(Math.round(calibration.correct("other", FORECAST)), 1100);
});

test("a request that hardly queues does not change the ratio", (t) => {
  const calibration = calibrations.Calibration.create();
  calibration.observe("r", { finish: 510, uncontended: 500 }, 5000);
  t.is(calibration.correct("r", { finish: 500, uncontended: 500 }), 500);
});

test("the forecasts of a route that takes less time are lowered, down to a bound", (t) => {
  const calibration = calibrations.Calibration.create();
  for (let pos = 0; pos < 50; pos++) calibration.observe("r", FORECAST, 700);
  t.is(Math.round(calibration.correct("r", FORECAST)), 700);
  for (let pos = 0; pos < 50; pos++) calibration.observe("r", FORECAST, 100);
  t.is(Math.round(calibration.correct("r", FORECAST)), 650);
});

test("the forecast error is learnt from actual times", (t) => {
  const calibration = calibrations.Calibration.create();
  t.is(calibration.error("r", FORECAST), 100);
  for (let pos = 0; pos < 50; pos++) {
    calibration.observe("r", FORECAST, pos % 2 === 0 ? 800 : 1200);
  }
  const error = calibration.error("r", FORECAST);
  t.true(error > 150 && error < 250, `${error}`);
  t.is(calibration.error("other", FORECAST), 100);
});

// Guards against a route that is refused forever because of its ratio. While it
// is refused its queues drain, and without queueing the ratio has no effect.
test("the highest ratio refuses no request without queueing", (t) => {
  const calibration = calibrations.Calibration.create();
  for (let pos = 0; pos < 50; pos++) calibration.observe("r", FORECAST, 9000);
  t.true(calibration.correct("r", FORECAST) > 1900);
  const corrected = calibration.correct("r", { finish: 510, uncontended: 500 });
  t.is(Math.round(corrected), 530);
});
