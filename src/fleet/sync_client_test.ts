/** @module */

import test from "ava";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as reportedEndpoints from "./reported_endpoints.ts";
import * as syncClient from "./sync_client.ts";
import * as fixture from "./sync_client_fixture.ts";

test("a confirmed reply proves the configuration as of when it was requested", async (t) => {
  const replies: fixture.Replies = { a: {} };
  const { client, versions, run } = fixture.createSyncClient(replies);
  t.is(client.proofAge, Infinity);
  await run(500);
  t.deepEqual(versions, ["three"]);
  t.true(client.proofAge <= syncClient.SYNC_INTERVAL_MS + fixture.STEP_MS);
  replies.a = undefined;
  await run(2000);
  t.true(client.proofAge >= 2000);
});

test("an unconfirmed reply proves nothing", async (t) => {
  const { client, versions, run } = fixture.createSyncClient({
    a: { confirmed: false },
    b: { confirmed: false },
  });
  await run(1000);
  t.is(client.proofAge, Infinity);
  t.deepEqual(versions, []);
});

test("another host is polled when one does not respond", async (t) => {
  const { client, run } = fixture.createSyncClient({ b: {} });
  await run(500);
  t.true(client.proofAge <= syncClient.SYNC_INTERVAL_MS + fixture.STEP_MS);
});

test("a host announces its processor capacity if it knows it", async (t) => {
  for (const capacity of [0.243, undefined]) {
    const options = { capacity };
    const { requests, run } = fixture.createSyncClient({ a: {} }, options);
    await run(fixture.STEP_MS);
    const [{ question: { host } }] = requests;
    t.is(host.capacity, capacity);
    t.is("capacity" in host, capacity !== undefined);
  }
});

test("an older version never replaces a newer one", async (t) => {
  const replies: fixture.Replies = { a: { version: 5, document: "five" } };
  const { versions, run } = fixture.createSyncClient(replies);
  await run(500);
  replies.a = { version: 4, document: "four" };
  await run(500);
  t.deepEqual(versions, ["five"]);
});

test("an unconfirmed reply marks no endpoint as silent", async (t) => {
  const replies: fixture.Replies = {
    a: { sightings: [fixture.sighting()] },
  };
  const { client, run } = fixture.createSyncClient(replies);
  await run(500);
  replies.a = {
    confirmed: false,
    sightings: [fixture.sighting({ silent: true, age: 5000 })],
  };
  await run(500);
  t.false(client.roster.get("i-1")?.isSilent);
});

test("a host polls more often until its first confirmed reply", async (t) => {
  const replies: fixture.Replies = {};
  const { client, requests, run } = fixture.createSyncClient(replies);
  await run(syncClient.SYNC_INTERVAL_MS);
  t.true(requests.length >= 6);
  replies.a = {};
  await run(250);
  t.true(client.proofAge <= 250);
});

test("a list of hosts that is known already is not sent again", async (t) => {
  const host = { host: "h", dataCentre: "town", ready: true, age: 0 };
  const replies: fixture.Replies = { a: { mark: "1", hosts: [host] } };
  const { client, requests, run } = fixture.createSyncClient(replies);
  await run(500);
  replies.a = { mark: "1", hosts: undefined };
  await run(500);
  t.is(requests[0].question.mark, "");
  t.is(requests.at(-1)!.question.mark, "1");
  t.deepEqual(client.hosts, [host]);
});

test("the full state is requested from a control host that was not in use", async (t) => {
  const replies: fixture.Replies = { a: {} };
  const { requests, run } = fixture.createSyncClient(replies);
  await run(1000);
  t.is(requests.at(-1)!.question.revision, 1);
  replies.a = undefined;
  replies.b = { epoch: "other", revision: 9 };
  await run(1000);
  const first = requests.find(({ core }) => core === "b")!;
  t.is(first.question.epoch, "");
  t.is(requests.at(-1)!.question.revision, 9);
});

test("a host without confirmation logs which hosts it polled and how they failed", async (t) => {
  const lines: object[] = [];
  const info = (fields: object, msg: string) => {
    if (msg === "No control host gave a confirmed reply") lines.push(fields);
  };
  const logger = { ...telemetry.noLogger, info };
  const { run } = fixture.createSyncClient({ b: { confirmed: false } }, {
    logger,
  });
  await run(3000);
  const asked = { a: "Error: silent", b: "no quorum" };
  t.like(lines[0], { asked, version: 0 });
  t.true(lines.length >= 2 && lines.length <= 3);
});

test("evacuations are taken from confirmed replies, the newest command of each", async (t) => {
  const order = { dataCentre: "town", orderedAt: 0 };
  const begun = [{ ...order, revision: 1, active: true }];
  const ended = [{ ...order, revision: 2, active: false }];
  const replies: fixture.Replies = { a: { confirmed: false } };
  const { client, run } = fixture.createSyncClient(replies);
  const active = () =>
    client.evacuations.active.map(({ dataCentre }) => dataCentre);
  replies.a = { confirmed: false, evacuations: begun };
  await run(1000);
  t.deepEqual(active(), []);
  replies.a = { evacuations: begun };
  await run(1000);
  t.deepEqual(active(), ["town"]);
  replies.a = {};
  await run(1000);
  t.deepEqual(active(), ["town"], "a host of the previous release sends none");
  replies.a = { evacuations: ended };
  await run(1000);
  t.deepEqual(active(), []);
  replies.a = { evacuations: begun };
  await run(1000);
  t.deepEqual(active(), []);
});

// Guards against an endpoint that stays hidden on a host which hears of it
// together with the configuration that makes its service known.
test("endpoints are merged by the configuration that comes with them", async (t) => {
  const foreign = { service: "unknown", born: 900 };
  const replies: fixture.Replies = {
    a: { sightings: [fixture.sighting(foreign)] },
  };
  const host = fixture.createSyncClient(replies, {
    isKnownService: (service) =>
      host.versions.includes("four") && service === "desk",
  });
  const { client, run } = host;
  await run(500);
  t.is(client.roster.get("i-1")?.service, "unknown");
  replies.a = {
    version: 4,
    document: "four",
    revision: 2,
    sightings: [fixture.sighting({ born: 100 })],
  };
  await run(700);
  t.is(client.roster.get("i-1")?.service, "desk");
});

test("observations go with a question, and estimates come with a reply", async (t) => {
  const report = { endpoint: "e~1", ratio: 2, count: 1 };
  const untaken = [report];
  const { requests, estimates, run } = fixture.createSyncClient(
    { a: { slowness: [{ ...report, count: 9 }] } },
    { takeSlowness: () => untaken.splice(0) },
  );
  await run(100);
  t.deepEqual(requests[0].question.slowness, [report]);
  t.deepEqual(estimates, [{ ...report, count: 9 }]);
});

// A control host of the previous release has neither field.
test("without observations and estimates, messages have no such field", async (t) => {
  const { requests, estimates, run } = fixture.createSyncClient({ a: {} });
  await run(500);
  t.true(requests.length > 0);
  t.false(requests.some(({ question }) => "slowness" in question));
  t.deepEqual(estimates, []);
});

// Guards against hosts that do not report on a service of which only others have
// seen denied requests.
test("services under contention are passed on, and that there are none", async (t) => {
  const replies: fixture.Replies = { a: { contended: ["s"] } };
  const { contended, run } = fixture.createSyncClient(replies, {
    seeds: ["a"],
  });
  await run(100);
  replies.a = {};
  await run(1000);
  t.deepEqual([contended.at(0), contended.at(-1)], [["s"], []]);
});

/** A client that knows the endpoints `i-1` and `i-2` from a control host, which
 * is restarted and reports `reported` from then on. */
async function syncAfterRestart(reported: readonly schema.Sighting[]) {
  const both = [fixture.sighting(), fixture.sighting({ id: "i-2" })];
  const replies: fixture.Replies = { a: { sightings: both } };
  const synced = fixture.createSyncClient(replies);
  await synced.run(500);
  replies.a = { epoch: "e2", sightings: [] };
  await synced.run(2000);
  replies.a = { epoch: "e2", sightings: [...reported] };
  const silent = () =>
    [...synced.client.roster.entries].filter(({ isSilent }) => isSilent)
      .map(({ id }) => id);
  return { ...synced, replies, silent };
}

// Guards against an endpoint that crashes while no control host runs, and that
// entry hosts would take for ready without an end.
test("an endpoint that a restarted control host never reports becomes silent", async (t) => {
  const { silent, run, client, replies } = await syncAfterRestart([
    fixture.sighting(),
  ]);
  await run(reportedEndpoints.COMPLETE_MS - 3000);
  t.deepEqual(silent(), []);
  await run(4000);
  t.deepEqual(silent(), ["i-2"]);
  replies.a = { epoch: "e2", sightings: [fixture.sighting({ id: "i-2" })] };
  await run(1000);
  t.deepEqual(silent(), []);
  replies.a = { epoch: "e2", sightings: [] };
  await run(70_000);
  t.is([...client.roster.entries].length, 2);
});

test("an endpoint that stays unreported is removed after the retention time", async (t) => {
  const { run, client } = await syncAfterRestart([fixture.sighting()]);
  await run(80_000);
  t.deepEqual([...client.roster.entries].map(({ id }) => id), ["i-1"]);
});

// Guards against sound endpoints that are dropped because a control host has
// just started or changes often.
test("endpoints are not missed while control hosts change or confirm nothing", async (t) => {
  const { silent, run, replies } = await syncAfterRestart([]);
  for (let turn = 0; turn < 10; turn++) {
    replies.a = { epoch: `f${turn}`, sightings: [] };
    await run(reportedEndpoints.COMPLETE_MS / 2);
  }
  t.deepEqual(silent(), []);
  replies.a = { epoch: "g", confirmed: false, sightings: [] };
  await run(2 * reportedEndpoints.COMPLETE_MS);
  t.deepEqual(silent(), []);
});
