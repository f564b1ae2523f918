/** @module */

import test from "ava";
import * as calibrations from "./calibration.ts";

const FORECAST = { finish: 1000, alone: 500 };
const AT = { route: "r", now: 0 };
const OTHER = { route: "other", now: 0 };

test("a forecast of a route that always takes longer is corrected", (t) => {
  const calibration = calibrations.Calibration.create();
  for (let pos = 0; pos < 50; pos++) {
    calibration.learn(FORECAST, { ...AT, took: 1500 });
  }
  t.is(Math.round(calibration.correct(FORECAST, AT)), 1500);
  t.is(Math.round(calibration.correct(FORECAST, OTHER)), 1100);
});

test("what waits for nothing teaches nothing", (t) => {
  const calibration = calibrations.Calibration.create();
  calibration.learn({ finish: 510, alone: 500 }, { ...AT, took: 5000 });
  t.is(calibration.correct({ finish: 500, alone: 500 }, AT), 500);
});

test("a forecast of a route that takes less long is corrected, to a part", (t) => {
  const calibration = calibrations.Calibration.create();
  for (let pos = 0; pos < 50; pos++) {
    calibration.learn(FORECAST, { ...AT, took: 700 });
  }
  t.is(Math.round(calibration.correct(FORECAST, AT)), 700);
  for (let pos = 0; pos < 50; pos++) {
    calibration.learn(FORECAST, { ...AT, took: 100 });
  }
  t.is(Math.round(calibration.correct(FORECAST, AT)), 650);
});

test("the error of forecasts is learnt from what they missed by", (t) => {
  const calibration = calibrations.Calibration.create();
  t.is(calibration.error(FORECAST, AT), 100);
  for (let pos = 0; pos < 50; pos++) {
    calibration.learn(FORECAST, { ...AT, took: pos % 2 === 0 ? 800 : 1200 });
  }
  const error = calibration.error(FORECAST, AT);
  t.true(error > 150 && error < 250, `${error}`);
  t.is(calibration.error(FORECAST, OTHER), 100);
});

// Guards against a route that is refused for good, since only requests that are
// let in correct its forecasts.
test("a ratio that nothing renews is forgotten", (t) => {
  const calibration = calibrations.Calibration.create();
  for (let pos = 0; pos < 50; pos++) {
    calibration.learn(FORECAST, { ...AT, took: 3000 });
  }
  t.true(calibration.correct(FORECAST, AT) > 1900);
  const later = { ...AT, now: 40_000 };
  t.true(calibration.correct(FORECAST, later) < 1150);
  t.true(calibration.error(FORECAST, later) < 110);
});
