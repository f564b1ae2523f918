/** @module */

import * as crypto from "node:crypto";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as util from "node:util";
import type * as ava from "ava";
import test from "ava";
import * as sendQueues from "./send_queue.ts";

/** Opens a connection over loopback; resolves with both of its sides. */
async function connect(t: ava.ExecutionContext) {
  const server = net.createServer({ pauseOnConnect: true });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const client = net.connect(port, "127.0.0.1");
  const [accepted] = await Promise.all([
    new Promise<net.Socket>((resolve) => server.once("connection", resolve)),
    new Promise<void>((resolve) => client.once("connect", resolve)),
  ]);
  t.teardown(() => {
    client.destroy();
    accepted.destroy();
    server.close();
  });
  return { client, accepted };
}

/** Bytes that fill the buffers of the system on both sides. */
const LARGE_BYTES = 2 * 1024 * 1024;
const MAX_WAIT_MS = 5000;

// Guards against answers that end before their upload was received: the system takes
// more from the writer than the other side reads.
test("bytes are unacknowledged until the other side's system receives them", async (t) => {
  const { client, accepted } = await connect(t);
  t.is(await sendQueues.unacknowledgedBytes(client), 0);
  client.write(Buffer.alloc(LARGE_BYTES));
  await timers.setTimeout(100);
  t.true((await sendQueues.unacknowledgedBytes(client))! > 0);
  accepted.resume();
  const deadline = performance.now() + MAX_WAIT_MS;
  while (await sendQueues.unacknowledgedBytes(client) !== 0) {
    if (performance.now() > deadline) return t.fail("still unacknowledged");
    await timers.setTimeout(10);
  }
  t.is(accepted.bytesRead, LARGE_BYTES);
});

// Guards against a table that was read before its caller asked: callers at the same
// time share a reading.
test("callers at the same time get what is true as they ask", async (t) => {
  const { client } = await connect(t);
  const before = sendQueues.unacknowledgedBytes(client);
  client.write(Buffer.alloc(LARGE_BYTES));
  await timers.setImmediate();
  const after = await Promise.all(
    Array.from({ length: 50 }, () => sendQueues.unacknowledgedBytes(client)),
  );
  t.is(typeof await before, "number");
  t.true(after.every((bytes) => bytes! > 0), `${after}`);
});

test("nothing is known of a connection that is closed, or of IPv6", async (t) => {
  const { client } = await connect(t);
  const { localPort, remoteAddress, remotePort } = client;
  const localAddress = "::1";
  const addresses = { localAddress, localPort, remoteAddress, remotePort };
  t.is(await sendQueues.unacknowledgedBytes(addresses), undefined);
  client.destroy();
  await new Promise((resolve) => client.once("close", resolve));
  t.is(await sendQueues.unacknowledgedBytes(client), undefined);
});

const hash = util.promisify(crypto.pbkdf2);
/** More than Node's pool has threads, each busy for a second or so. */
const HASHES = 8;
const ITERATIONS = 1_000_000;

// Guards against whole answers that are lost through a relaying host: both read the
// table, and the end is confirmed within a second.
test.serial("the table is read while all threads of the pool are busy", async (t) => {
  const { client } = await connect(t);
  const hashes = Array.from(
    { length: HASHES },
    () => hash("password", "salt", ITERATIONS, 64, "sha512"),
  );
  const first = await Promise.race([
    sendQueues.unacknowledgedBytes(client),
    ...hashes.map((each) => each.then(() => "hash")),
  ]);
  t.is(first, 0);
  await Promise.all(hashes);
});
