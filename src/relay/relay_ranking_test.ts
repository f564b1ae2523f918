/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as relayRankings from "./relay_ranking.ts";

const ENDPOINT = "10.0.0.1:80";
const HOSTS = [
  { host: "far-1", dataCentre: "far" },
  { host: "near-1", dataCentre: "near" },
  { host: "near-2", dataCentre: "near" },
  { host: "near-3", dataCentre: "near" },
];

function createRanking(seed = 1) {
  const clock = new runtime.FakeClock();
  const random = runtime.createRandom(seed);
  const ranking = relayRankings.RelayRanking.create({
    clock,
    random,
    dataCentre: "near",
  });
  return { clock, ranking };
}

test("hosts of the own data centre are asked first, each of them at times", (t) => {
  const { ranking } = createRanking();
  const orders = Array.from(
    { length: 200 },
    () => ranking.order(ENDPOINT, HOSTS),
  );
  t.true(orders.every((order) => order[3] === "far-1"));
  t.deepEqual(
    [...new Set(orders.map(([first]) => first))].sort(),
    ["near-1", "near-2", "near-3"],
  );
});

test("hosts that failed are asked last, for a while", (t) => {
  const { clock, ranking } = createRanking();
  for (const host of ["near-1", "near-2", "near-3"]) {
    ranking.record(host, ENDPOINT, false);
  }
  t.is(ranking.order(ENDPOINT, HOSTS)[0], "far-1");
  clock.advance(5001);
  t.is(ranking.order(ENDPOINT, HOSTS)[3], "far-1");
});

// Guards against one host that relays all calls of a data centre.
test("a host that relays is asked more often, but not always first", (t) => {
  const { ranking } = createRanking();
  ranking.record("near-2", ENDPOINT, true);
  const firsts = Array.from(
    { length: 200 },
    () => ranking.order(ENDPOINT, HOSTS)[0],
  );
  const share = firsts.filter((host) => host === "near-2").length / 200;
  t.true(share > 0.5 && share < 0.95, `${share}`);
});

// Guards against hosts that are asked again and again for an endpoint that they
// do not reach, because they relay calls to others.
test("a host is asked last for an endpoint that it did not reach", (t) => {
  const { ranking } = createRanking();
  for (const host of ["near-1", "near-2", "near-3"]) {
    ranking.record(host, ENDPOINT, false);
    ranking.record(host, "10.0.0.2:80", true);
  }
  t.is(ranking.order(ENDPOINT, HOSTS)[0], "far-1");
  t.not(ranking.order("10.0.0.2:80", HOSTS)[0], "far-1");
});
