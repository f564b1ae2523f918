/** @module */

import test from "ava";
import * as calibrations from "./calibration.ts";

const FORECAST = { finish: 1000, alone: 500 };

test("a forecast of a route that always takes longer is corrected", (t) => {
  const calibration = calibrations.Calibration.create();
  for (let pos = 0; pos < 50; pos++) calibration.learn("r", FORECAST, 1500);
  t.is(Math.round(calibration.correct("r", FORECAST)), 1500);
  t.is(Math.round(calibration.correct("other", FORECAST)), 1100);
});

test("what waits for nothing teaches nothing", (t) => {
  const calibration = calibrations.Calibration.create();
  calibration.learn("r", { finish: 510, alone: 500 }, 5000);
  t.is(calibration.correct("r", { finish: 500, alone: 500 }), 500);
});

test("no wait is corrected below its forecast", (t) => {
  const calibration = calibrations.Calibration.create();
  for (let pos = 0; pos < 50; pos++) calibration.learn("r", FORECAST, 100);
  t.true(calibration.correct("r", FORECAST) >= 1000);
});
