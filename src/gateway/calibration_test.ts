/** @module */

import test from "ava";
import * as calibrations from "./calibration.ts";

const FORECAST = { finish: 1000, uncontended: 500 };

test("a forecast of a route that always takes longer is corrected", (t) => {
  const calibration = calibrations.Calibration.create();
  for (let pos = 0; pos < 50; pos++) calibration.observe("r", FORECAST, 1500);
  t.is(Math.round(calibration.correct("r", FORECAST)), 1500);
  t.is(Math.round(calibration.correct("other", FORECAST)), 1100);
});

test("what waits for nothing teaches nothing", (t) => {
  const calibration = calibrations.Calibration.create();
  calibration.observe("r", { finish: 510, uncontended: 500 }, 5000);
  t.is(calibration.correct("r", { finish: 500, uncontended: 500 }), 500);
});

test("a forecast of a route that takes less long is corrected, to a part", (t) => {
  const calibration = calibrations.Calibration.create();
  for (let pos = 0; pos < 50; pos++) calibration.observe("r", FORECAST, 700);
  t.is(Math.round(calibration.correct("r", FORECAST)), 700);
  for (let pos = 0; pos < 50; pos++) calibration.observe("r", FORECAST, 100);
  t.is(Math.round(calibration.correct("r", FORECAST)), 650);
});

test("the error of forecasts is learnt from what they missed by", (t) => {
  const calibration = calibrations.Calibration.create();
  t.is(calibration.error("r", FORECAST), 100);
  for (let pos = 0; pos < 50; pos++) {
    calibration.observe("r", FORECAST, pos % 2 === 0 ? 800 : 1200);
  }
  const error = calibration.error("r", FORECAST);
  t.true(error > 150 && error < 250, `${error}`);
  t.is(calibration.error("other", FORECAST), 100);
});

// Guards against a route that is refused for good by its ratio: while it is
// refused what waits for its pieces is drained, and the ratio counts for nothing.
test("the highest ratio refuses nothing that waits for nothing", (t) => {
  const calibration = calibrations.Calibration.create();
  for (let pos = 0; pos < 50; pos++) calibration.observe("r", FORECAST, 9000);
  t.true(calibration.correct("r", FORECAST) > 1900);
  const corrected = calibration.correct("r", { finish: 510, uncontended: 500 });
  t.is(Math.round(corrected), 530);
});
