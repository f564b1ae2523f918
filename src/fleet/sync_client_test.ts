/** @module */

import test from "ava";
import * as telemetry from "../telemetry/mod.ts";
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
