/** @module */

import test from "ava";
import * as endpointFixture from "../endpoints/fixture.ts";
import * as runtime from "../runtime/mod.ts";
import * as gateway from "./mod.ts";
import * as rejectionBackoffs from "./rejection_backoff.ts";
import * as unavailabilities from "./unavailability.ts";

function createPool(count: number) {
  const pool = gateway.EndpointPool.create();
  const entries = Array.from(
    { length: count },
    (_, number) =>
      endpointFixture.entry({
        id: `i-${number}`,
        service: "desk",
        address: `10.0.0.${number}:80`,
      }),
  );
  pool.update(entries, () => undefined);
  const usable = (now: number) =>
    pool.usable("desk", now).map(({ identity }) => identity.name);
  return { pool, usable, all: pool.endpointsOf("desk") };
}

test("the backoff doubles with each rejected probe up to a maximum", (t) => {
  const backoff = rejectionBackoffs.RejectionBackoff.create();
  const durations: number[] = [];
  let now = 0;
  for (let count = 0; count < 5; count++) {
    backoff.recordRejection(now);
    durations.push(backoff.left(now));
    now += backoff.left(now);
  }
  t.deepEqual(durations, [500, 1000, 2000, 4000, 4000]);
});

test("rejections of calls sent before a backoff do not extend it", (t) => {
  const backoff = rejectionBackoffs.RejectionBackoff.create();
  backoff.recordRejection(0);
  backoff.recordRejection(100);
  t.is(backoff.left(100), 400);
  t.is(backoff.left(500), 0);
});

test("after a backoff single probes are sent until one is accepted", (t) => {
  const backoff = rejectionBackoffs.RejectionBackoff.create();
  backoff.recordRejection(0);
  t.is(backoff.left(600), 0);
  backoff.recordCall(600);
  t.true(backoff.left(700) > 0, "a probe is under way");
  t.is(backoff.left(1200), 0, "the next probe may be sent");
  backoff.recordCall(1200);
  backoff.recordAcceptance(1200);
  t.is(backoff.left(1250), 0);
});

test("an acceptance of a call sent before the rejection does not end a backoff", (t) => {
  const backoff = rejectionBackoffs.RejectionBackoff.create();
  backoff.recordRejection(100);
  backoff.recordAcceptance(50);
  t.is(backoff.left(200), 400);
});

// Guards against rejections that count as successes: the endpoint looked the
// least loaded and drew most calls.
test("an endpoint that rejected a call is avoided while there are others", (t) => {
  const { usable, all: [first] } = createPool(2);
  first.recordHealth("full", 0);
  t.deepEqual(usable(100), ["i-1"]);
  t.false(first.isHealthy(100));
  t.deepEqual(usable(600), ["i-0", "i-1"]);
});

test("endpoints that reject calls are used if there is no other", (t) => {
  const { usable, all } = createPool(2);
  for (const each of all) each.recordHealth("full", 0);
  t.deepEqual(usable(100), ["i-0", "i-1"]);
});

// Guards against a fallback to endpoints that asked for a backoff.
test("an endpoint that announced a backoff is not used until its end", (t) => {
  const { usable, all: [first, second] } = createPool(2);
  first.announcements.recordBackoff(3000, 0);
  second.recordHealth("bad", 0);
  second.isSilent = true;
  t.deepEqual(usable(2900), ["i-1"], "also if the other one is not healthy");
  second.announcements.recordBackoff(1000, 0);
  t.deepEqual(usable(500), [], "also if there is no other");
  t.deepEqual(usable(3100), ["i-0"]);
});

test("a refusal names the time at which the first endpoint accepts calls", (t) => {
  const { all } = createPool(2);
  all[0].announcements.recordBackoff(3000, 0);
  all[1].announcements.recordBackoff(2000, 0);
  const random = runtime.createRandom(3);
  const { reason, details } = unavailabilities.unavailabilityOf(all, {
    now: 500,
    random,
  });
  t.is(reason, "backoff");
  t.true(details.retryAfter >= 1.5 && details.retryAfter <= 2);
  t.deepEqual(details.announced, [
    { endpoint: all[0].identity.id, backoffLeftMs: 2500, backoffAgeMs: 500 },
    { endpoint: all[1].identity.id, backoffLeftMs: 1500, backoffAgeMs: 500 },
  ]);
  all[1].announcements.recordLeaving(500);
  const later = unavailabilities.unavailabilityOf(all, { now: 500, random });
  t.true(later.details.retryAfter >= 2.5, "one that leaves does not return");
});

test("endpoints accept calls at once if one has announced no backoff", (t) => {
  const { all } = createPool(2);
  all[0].announcements.recordBackoff(3000, 0);
  t.is(unavailabilities.announcedReturn(all, 500), 0);
  all[1].announcements.recordBackoff(2000, 0);
  t.is(unavailabilities.announcedReturn(all, 500), 1500);
});
