/** Ends of connections that are noticed behind a standstill of this process; apart
 * from other tests, which it would delay.
 * @module */

import * as net from "node:net";
import type * as ava from "ava";
import test from "ava";
import * as undici from "undici";
import * as standstillFixture from "../runtime/standstill_fixture.ts";
import * as connector from "./connector.ts";
import * as exchangeFixture from "./exchange_fixture.ts";
import * as stoppedEndpoint from "./stopped_endpoint.ts";

/** Runs an exchange with a server whose answer ends with its connection, right before
 * a standstill; resolves with what became of it. */
async function fetch(
  t: ava.ExecutionContext,
  framing: string,
): Promise<exchangeFixture.Result> {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.end(`HTTP/1.1 200 OK\r\nConnection: close\r\n${framing}\r\nbody`);
      standstillFixture.standStill();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  const dispatcher = new undici.Agent({
    connect: connector.create({ timeout: 500 }),
  });
  t.teardown(() => dispatcher.destroy());
  return exchangeFixture.send(dispatcher, {
    url: `http://127.0.0.1:${port}`,
  });
}

// Guards against a part of an answer that counts as whole: while this process stood
// still, its endpoint may have ended and another one taken its address.
test.serial("an answer without a length fails when its end is noticed late", async (t) => {
  const seen = await fetch(t, "");
  t.deepEqual(seen, {
    body: "body",
    reason: "broken-stream",
    outcome: "unknown",
    connectionEnd: "late",
  });
});

// Guards against a check that shows nothing as its process was busy: timers run before
// what has come meanwhile is read.
test.serial("an address that refused a connection during a standstill has stopped", async (t) => {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const stopped = stoppedEndpoint.hasStopped({ host: "127.0.0.1", port });
  standstillFixture.standStill();
  t.true(await stopped);
});

test.serial("an answer with a length is complete whenever it is noticed", async (t) => {
  t.deepEqual(await fetch(t, "Content-Length: 4\r\n"), { body: "body" });
});
