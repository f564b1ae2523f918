/** Requests that are sent behind one another on a caller's connection.
 * @module */

import type * as ava from "ava";
import test from "ava";
import * as net from "node:net";
import * as callerFixture from "../gateway/caller_fixture.ts";
import * as fakePath from "../request/fake_path.ts";

/** Text of a call to the plain service. */
function callText(path: string): string {
  return callerFixture.textOf({
    path: `/v1/services/billing/${path}`,
    headers: { authorization: `Bearer ${fakePath.TOKEN}` },
  });
}

/** Starts a path whose service answers a call when it is released. */
async function startHeld(t: ava.ExecutionContext) {
  const held: (() => void)[] = [];
  let called = () => {};
  const bothCalled = new Promise<void>((resolve) => called = resolve);
  const started = await fakePath.start({
    billing: ({ url }, response) => {
      held.push(() => response.end(`answer to ${url}`));
      if (held.length === 2) called();
    },
  });
  t.teardown(() => started.stop());
  const address = new URL(started.url).host;
  const release = () => held.forEach((each) => each());
  return { started, address, bothCalled, release };
}

// Guards against a reply that closes the connection on which another one is due:
// that request has run, and its caller gets nothing.
test("a stopping host closes a connection behind its last reply", async (t) => {
  const { started, address, bothCalled, release } = await startHeld(t);
  const sent = callText("a") + callText("b");
  const exchanged = callerFixture.exchange(address, sent);
  await bothCalled;
  const stopped = started.stop();
  release();
  const { text, connectionEnd } = await exchanged;
  const replies = text.split(/(?=HTTP\/1\.1 )/);
  t.is(replies.length, 2);
  t.notRegex(replies[0], /connection: close/i);
  t.regex(replies[0], /answer to \/a$/);
  t.regex(replies[1], /connection: close[^]*answer to \/b$/i);
  t.is(connectionEnd, "orderly");
  await stopped;
});

// Guards against requests that count as open after their caller has gone: they go
// on, and a stopping host waits for them.
test("all requests of a caller that disconnects are closed", async (t) => {
  const { started, address, bothCalled } = await startHeld(t);
  const [host, port] = address.split(":");
  const socket = net.connect({ host, port: Number(port) });
  socket.write(callText("a") + callText("b"));
  await bothCalled;
  socket.destroy();
  await started.stop();
  t.is(started.tally.total("request.abandoned"), 2);
});

const NO_REQUESTS = {
  "bytes that are no request": "no request\r\n\r\n",
  "a request for a tunnel": "CONNECT host:80 HTTP/1.1\r\nHost: host\r\n\r\n",
};

for (const [name, bytes] of Object.entries(NO_REQUESTS)) {
  // Guards against a refusal that its caller takes for the answer to the request
  // before it, or for a part of a reply that ends with its connection, and against a
  // connection that closes before such a reply is sent.
  test(`${name} ends no reply before it`, async (t) => {
    const { address, bothCalled, release } = await startHeld(t);
    const sent = callText("a") + callText("b") + bytes;
    const exchanged = callerFixture.exchange(address, sent);
    await bothCalled;
    // The bytes have been read with the requests.
    await new Promise((resolve) => setTimeout(resolve, 50));
    release();
    const { text, connectionEnd } = await exchanged;
    const replies = text.split(/(?=HTTP\/1\.1 )/);
    t.is(replies.length, 2);
    t.regex(replies[0], /answer to \/a$/);
    t.regex(replies[1], /answer to \/b$/);
    t.is(connectionEnd, "orderly");
  });
}
