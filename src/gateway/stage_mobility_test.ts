/** @module */

import test from "ava";
import * as stageMobility from "./stage_mobility.ts";

function stage(service: string, bytes: number, after: number[] = []) {
  return { service, bytes, after };
}

test("stages with little data may move", (t) => {
  const stages = [stage("records", 8000), stage("checks", 60_000, [0])];
  t.deepEqual(stageMobility.mobileServices(stages, [1, 8]), [
    "records",
    "checks",
  ]);
});

test("a service with large results stays", (t) => {
  const stages = [
    stage("records", 3_000_000),
    stage("records", 8000),
    stage("checks", 60_000, [1]),
  ];
  t.deepEqual(stageMobility.mobileServices(stages, [2, 1, 2]), ["checks"]);
});

test("a large result that a request does not need keeps nothing", (t) => {
  const stages = [stage("records", 3_000_000), stage("records", 8000)];
  t.deepEqual(stageMobility.mobileServices(stages, [0, 1]), ["records"]);
});

// Guards against inputs that cross data centres once for each item.
test("a stage stays with a service whose results are large together", (t) => {
  const stages = [
    stage("records", 3_000_000),
    stage("records", 60_000),
    stage("checks", 6000, [1]),
  ];
  t.deepEqual(stageMobility.mobileServices(stages, [1, 8, 16]), []);
  t.deepEqual(stageMobility.mobileServices(stages, [1, 2, 16]), ["checks"]);
});
