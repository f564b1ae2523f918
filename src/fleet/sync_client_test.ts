/** @module */

import test from "ava";
import * as telemetry from "../telemetry/mod.ts";
import * as followers from "./sync_client.ts";
import * as fixture from "./sync_client_fixture.ts";

test("a confirmed answer proves what was in force when it was asked", async (t) => {
  const answers: fixture.Replies = { a: {} };
  const { follower, versions, run } = fixture.createSyncClient(answers);
  t.is(follower.proofAge, Infinity);
  await run(500);
  t.deepEqual(versions, ["three"]);
  t.true(follower.proofAge <= followers.SYNC_INTERVAL_MS + fixture.STEP_MS);
  answers.a = undefined;
  await run(2000);
  t.true(follower.proofAge >= 2000);
});

test("an answer without a majority proves nothing", async (t) => {
  const { follower, versions, run } = fixture.createSyncClient({
    a: { confirmed: false },
    b: { confirmed: false },
  });
  await run(1000);
  t.is(follower.proofAge, Infinity);
  t.deepEqual(versions, []);
});

test("another host is asked when one does not answer", async (t) => {
  const { follower, run } = fixture.createSyncClient({ b: {} });
  await run(500);
  t.true(follower.proofAge <= followers.SYNC_INTERVAL_MS + fixture.STEP_MS);
});

test("no version is put in force after a later one", async (t) => {
  const answers: fixture.Replies = { a: { version: 5, document: "five" } };
  const { versions, run } = fixture.createSyncClient(answers);
  await run(500);
  answers.a = { version: 4, document: "four" };
  await run(500);
  t.deepEqual(versions, ["five"]);
});

test("a host that is cut off tells nothing of silence", async (t) => {
  const answers: fixture.Replies = {
    a: { sightings: [fixture.sighting()] },
  };
  const { follower, run } = fixture.createSyncClient(answers);
  await run(500);
  answers.a = {
    confirmed: false,
    sightings: [fixture.sighting({ silent: true, age: 5000 })],
  };
  await run(500);
  t.false(follower.roster.get("i-1")?.isSilent);
});

test("a host that has no proof yet asks more often", async (t) => {
  const answers: fixture.Replies = {};
  const { follower, asked, run } = fixture.createSyncClient(answers);
  await run(followers.SYNC_INTERVAL_MS);
  t.true(asked.length >= 6);
  answers.a = {};
  await run(250);
  t.true(follower.proofAge <= 250);
});

test("hosts that are known already are not told again", async (t) => {
  const host = { host: "h", dataCentre: "town", ready: true, age: 0 };
  const answers: fixture.Replies = { a: { mark: "1", hosts: [host] } };
  const { follower, asked, run } = fixture.createSyncClient(answers);
  await run(500);
  answers.a = { mark: "1", hosts: undefined };
  await run(500);
  t.is(asked[0].question.mark, "");
  t.is(asked.at(-1)!.question.mark, "1");
  t.deepEqual(follower.hosts, [host]);
});

test("a host that was not asked last is asked for everything", async (t) => {
  const answers: fixture.Replies = { a: {} };
  const { asked, run } = fixture.createSyncClient(answers);
  await run(1000);
  t.is(asked.at(-1)!.question.revision, 1);
  answers.a = undefined;
  answers.b = { epoch: "other", revision: 9 };
  await run(1000);
  const first = asked.find(({ core }) => core === "b")!;
  t.is(first.question.epoch, "");
  t.is(asked.at(-1)!.question.revision, 9);
});

test("a host without a proof says whom it asks and what they answer", async (t) => {
  const lines: object[] = [];
  const info = (fields: object, msg: string) => {
    if (msg === "No control host proves") lines.push(fields);
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

test("evacuations are known from proved answers, the last order of each", async (t) => {
  const order = { dataCentre: "town", orderedAt: 0 };
  const begun = [{ ...order, revision: 1, active: true }];
  const ended = [{ ...order, revision: 2, active: false }];
  const answers: fixture.Replies = { a: { confirmed: false } };
  const { follower, run } = fixture.createSyncClient(answers);
  const active = () =>
    follower.evacuations.active.map(({ dataCentre }) => dataCentre);
  answers.a = { confirmed: false, evacuations: begun };
  await run(1000);
  t.deepEqual(active(), []);
  answers.a = { evacuations: begun };
  await run(1000);
  t.deepEqual(active(), ["town"]);
  answers.a = {};
  await run(1000);
  t.deepEqual(active(), ["town"], "a host of the release before tells none");
  answers.a = { evacuations: ended };
  await run(1000);
  t.deepEqual(active(), []);
  answers.a = { evacuations: begun };
  await run(1000);
  t.deepEqual(active(), []);
});
