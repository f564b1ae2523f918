/** Tests of connections that a server holds unread to find out how many wait.
 * @module */

import * as timers from "node:timers/promises";
import type * as ava from "ava";
import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as callerFixture from "./caller_fixture.ts";
import * as fixture from "./fixture.ts";

/** Callers that connect at once. */
const CALLER_COUNT = 20;
/** Milliseconds that each slow turn of the event loop takes by the server's clock,
 * and how many of them there are: some callers are read in them. */
const TURN_MS = 90;
const SLOW_TURN_COUNT = 9;

/** A server whose clock stands but for slow turns of the event loop, with callers
 * that have connected in the first one. */
async function startServer(t: ava.ExecutionContext) {
  const host = await fixture.startHost(t, { kind: "unsafe" }, (_, response) => {
    response.writeHead(200, { "test-signature": "s" }).end("done");
  });
  let time = 0;
  const messages: string[] = [];
  Object.assign(host.context, {
    clock: { ...runtime.systemClock, now: () => time },
    logger: {
      ...telemetry.noLogger,
      info: (_: unknown, message: string) => void messages.push(message),
    },
  });
  const server = await fixture.startServer(t, host);
  const address = `127.0.0.1:${server.port}`;
  const replies = Array.from(
    { length: CALLER_COUNT },
    () => callerFixture.send(address, { body: "x" }),
  );
  for (let turn = 0; turn < SLOW_TURN_COUNT; turn++) {
    await timers.setImmediate();
    time += TURN_MS;
  }
  return { server, replies, messages };
}

// Guards against callers whose connections are closed unread as turns of the event
// loop were slow, though few wait.
test("connections that waited for some slow turns are answered", async (t) => {
  const { replies, messages } = await startServer(t);
  const statuses = (await Promise.all(replies)).map(({ status }) => status);
  t.deepEqual(statuses, Array(CALLER_COUNT).fill(200));
  t.deepEqual(messages.filter((message) => /waited/.test(message)).length, 1);
});

// Guards against a stop that waits for connections which nothing reads.
test("a server that stops closes the connections that it holds", async (t) => {
  const { server, replies, messages } = await startServer(t);
  await timers.setImmediate();
  await server.stop();
  const ends = await Promise.all(replies);
  t.true(ends.some(({ status }) => status === undefined));
  t.deepEqual(messages.filter((message) => /waited/.test(message)), []);
});
