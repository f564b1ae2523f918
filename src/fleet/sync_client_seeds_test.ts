/** What was seen: an entry host whose seeds proved nothing refused everything,
 * for as long as it lived, though other control hosts held the configuration.
 *
 * How it came about: an answer names the control hosts that are there, but they
 * were noted only where it was confirmed. So an entry host asked its seeds alone
 * until one of them proved something; and once an answer named few hosts, such
 * as that of a control host which had just started, it forgot the others. What
 * proved it: asking whom any answer names ended it, with the same answers.
 * @module */

import test from "ava";
import * as followers from "./sync_client.ts";
import * as fixture from "./sync_client_fixture.ts";

/** Milliseconds in which a host finds a control host that proves. */
const FOUND = 1500;

test("control hosts that an unconfirmed answer names are asked", async (t) => {
  const cores = ["a", "b", "c"];
  const behind = { confirmed: false, version: 0, document: undefined, cores };
  const { follower, run } = fixture.createSyncClient({
    a: behind,
    b: behind,
    c: {},
  });
  await run(FOUND);
  t.true(follower.proofAge <= followers.SYNC_INTERVAL_MS + fixture.STEP_MS);
});

test("control hosts that were named once are asked when all others are gone", async (t) => {
  const answers: fixture.Replies = { a: { cores: ["a", "b", "c"] } };
  const { follower, run } = fixture.createSyncClient(answers, { seeds: ["a"] });
  await run(FOUND);
  answers.a = { cores: ["a"] };
  await run(FOUND);
  answers.a = undefined;
  answers.c = { epoch: "c", cores: ["c"] };
  await run(FOUND);
  t.true(follower.proofAge <= followers.SYNC_INTERVAL_MS + fixture.STEP_MS);
});

test("seeds that are read anew are asked beside those known", async (t) => {
  const answers: fixture.Replies = { a: {} };
  const { follower, run } = fixture.createSyncClient(answers, { seeds: ["a"] });
  await run(FOUND);
  answers.a = undefined;
  answers.z = { epoch: "z", cores: ["z"] };
  follower.setSeeds(["z"]);
  await run(FOUND);
  t.true(follower.proofAge <= followers.SYNC_INTERVAL_MS + fixture.STEP_MS);
});

test("seeds that are read anew are kept when others were named since", async (t) => {
  const answers: fixture.Replies = { a: { cores: ["a"] } };
  const { follower, run } = fixture.createSyncClient(answers, { seeds: ["a"] });
  await run(FOUND);
  follower.setSeeds(["z"]);
  await run(FOUND);
  answers.a = undefined;
  answers.z = { epoch: "z", cores: ["z"] };
  await run(FOUND);
  t.true(follower.proofAge <= followers.SYNC_INTERVAL_MS + fixture.STEP_MS);
});
