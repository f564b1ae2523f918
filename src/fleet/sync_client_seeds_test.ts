/** Guards against an entry host that rejects all requests for good because its
 * seeds give no confirmed reply, though other control hosts would. The control
 * hosts in a reply were noted only when the reply was confirmed, so the entry
 * host polled nothing but its seeds; and a confirmed reply that listed few
 * hosts, such as that of a control host after its start, replaced all others.
 * @module */

import test from "ava";
import * as syncClient from "./sync_client.ts";
import * as fixture from "./sync_client_fixture.ts";

/** Time in which an entry host finds a control host that confirms. */
const DISCOVERY_MS = 1500;

test("control hosts that an unconfirmed reply lists are polled", async (t) => {
  const cores = ["a", "b", "c"];
  const behind = { confirmed: false, version: 0, document: undefined, cores };
  const { client, run } = fixture.createSyncClient({
    a: behind,
    b: behind,
    c: {},
  });
  await run(DISCOVERY_MS);
  t.true(client.proofAge <= syncClient.SYNC_INTERVAL_MS + fixture.STEP_MS);
});

test("control hosts that were listed earlier are polled when all others are gone", async (t) => {
  const replies: fixture.Replies = { a: { cores: ["a", "b", "c"] } };
  const { client, run } = fixture.createSyncClient(replies, { seeds: ["a"] });
  await run(DISCOVERY_MS);
  replies.a = { cores: ["a"] };
  await run(DISCOVERY_MS);
  replies.a = undefined;
  replies.c = { epoch: "c", cores: ["c"] };
  await run(DISCOVERY_MS);
  t.true(client.proofAge <= syncClient.SYNC_INTERVAL_MS + fixture.STEP_MS);
});

test("reloaded seeds are polled in addition to known hosts", async (t) => {
  const replies: fixture.Replies = { a: {} };
  const { client, run } = fixture.createSyncClient(replies, { seeds: ["a"] });
  await run(DISCOVERY_MS);
  replies.a = undefined;
  replies.z = { epoch: "z", cores: ["z"] };
  client.setSeeds(["z"]);
  await run(DISCOVERY_MS);
  t.true(client.proofAge <= syncClient.SYNC_INTERVAL_MS + fixture.STEP_MS);
});

test("reloaded seeds are kept when replies list other hosts afterwards", async (t) => {
  const replies: fixture.Replies = { a: { cores: ["a"] } };
  const { client, run } = fixture.createSyncClient(replies, { seeds: ["a"] });
  await run(DISCOVERY_MS);
  client.setSeeds(["z"]);
  await run(DISCOVERY_MS);
  replies.a = undefined;
  replies.z = { epoch: "z", cores: ["z"] };
  await run(DISCOVERY_MS);
  t.true(client.proofAge <= syncClient.SYNC_INTERVAL_MS + fixture.STEP_MS);
});
