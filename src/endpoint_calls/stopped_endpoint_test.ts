/** @module */

import * as net from "node:net";
import type * as ava from "ava";
import test from "ava";
import * as stoppedEndpoint from "./stopped_endpoint.ts";

const HOST = "127.0.0.1";
/** Milliseconds for which the listener of a process that ends is open, on a machine
 * that is idle and on one that is not. */
const ENDINGS_MS = [30, 400];

/** Starts a server that reads nothing by itself; resolves with its address. */
async function serverOf(
  t: ava.ExecutionContext,
  react: (socket: net.Socket, server: net.Server) => void,
): Promise<stoppedEndpoint.EndpointAddress> {
  const server = net.createServer({ pauseOnConnect: true }, (socket) => {
    socket.on("error", () => {});
    react(socket, server);
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  t.teardown(() => server.close());
  return { host: HOST, port: (server.address() as net.AddressInfo).port };
}

test("an endpoint that takes connections has not stopped", async (t) => {
  const address = await serverOf(t, (socket) => socket.resume());
  t.false(await stoppedEndpoint.hasStopped(address));
});

test("an endpoint whose address refuses connections has stopped", async (t) => {
  const address = await serverOf(t, () => {});
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  t.true(await stoppedEndpoint.hasStopped({ ...address, port }));
});

// Guards against an endpoint that counts as running while the system ends its
// process: connections open until the listener is closed, and are reset then.
for (const endingMs of ENDINGS_MS) {
  test(`an endpoint whose listener is closed ${endingMs} ms after the connections has stopped`, async (t) => {
    const address = await serverOf(t, (socket, server) => {
      setTimeout(() => {
        server.close();
        socket.resetAndDestroy();
      }, endingMs);
    });
    t.true(await stoppedEndpoint.hasStopped(address));
  });
}

// Guards against whole answers that are taken for broken: only a refusal shows that
// an endpoint has stopped.
test("an endpoint that resets connections or lets them wait has not stopped", async (t) => {
  const resets = await serverOf(t, (socket) => void socket.resetAndDestroy());
  t.false(await stoppedEndpoint.hasStopped(resets));
  const waits = await serverOf(t, () => {});
  t.false(await stoppedEndpoint.hasStopped(waits));
});
