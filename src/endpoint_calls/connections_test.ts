/** @module */

import * as http from "node:http";
import * as net from "node:net";
import test, { type ExecutionContext } from "ava";
import type * as undici from "undici";
import * as fakeClocks from "../runtime/fake_clock.ts";
import * as runtime from "../runtime/mod.ts";
import * as connections from "./connections.ts";

/** Starts a server that never answers `/slow`, and answers any other request
 * with the number of its connection. */
async function serve(t: ExecutionContext) {
  let count = 0;
  const numbers = new WeakMap<net.Socket, number>();
  const server = http.createServer((request, response) => {
    if (request.url === "/slow") return;
    response.end(`${numbers.get(request.socket)}`);
  });
  server.on("connection", (socket) => numbers.set(socket, ++count));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  return `127.0.0.1:${port}`;
}

async function send(
  pools: connections.Connections,
  address: string,
  { path = "/", reset }: { path?: string; reset?: boolean } = {},
): Promise<string> {
  const options: undici.Dispatcher.RequestOptions = {
    origin: `http://${address}`,
    path,
    method: "GET",
    reset,
  };
  const answer = await pools.request(options);
  const text = await answer.body.text();
  // The connection is free one turn of the event loop after its answer.
  await new Promise(setImmediate);
  return text;
}

function createConnections(
  t: ExecutionContext,
  policy: Partial<connections.ReusePolicy> = {},
  { clock = runtime.systemClock, onExtraAnswer }: Partial<
    Pick<connections.ConnectionsOptions, "clock" | "onExtraAnswer">
  > = {},
) {
  const pools = connections.Connections.create({
    pool: { pipelining: 1 },
    clock,
    onExtraAnswer,
    reuse: {
      epochOf: () => "",
      isSilent: () => false,
      suspect() {},
      forget() {},
      ...policy,
    },
  });
  t.teardown(() => pools.destroy());
  return pools;
}

test("calls to one address share a connection", async (t) => {
  const address = await serve(t);
  const pools = createConnections(t);
  t.is(await send(pools, address), "1");
  t.is(await send(pools, address), "1");
});

test("a restarted endpoint gets a new connection", async (t) => {
  const address = await serve(t);
  const pools = createConnections(t);
  await send(pools, address);
  await pools.abort(address);
  t.deepEqual(pools.addresses, []);
  t.is(await send(pools, address), "2");
});

test("a call in flight fails when its endpoint restarts", async (t) => {
  const address = await serve(t);
  const pools = createConnections(t);
  const pendingAnswer = send(pools, address, { path: "/slow" });
  await new Promise((resolve) => setTimeout(resolve, 20));
  void pools.abort(address);
  await t.throwsAsync(pendingAnswer, { message: /endpoint restarted/ });
});

test("a call in flight is completed when its endpoint leaves", async (t) => {
  const address = await serve(t);
  const pools = createConnections(t);
  const pendingAnswer = send(pools, address);
  await pools.retire(address);
  t.is(await pendingAnswer, "1");
});

test("an open connection is not used once its epoch has ended", async (t) => {
  const address = await serve(t);
  let epoch = "1";
  const pools = createConnections(t, { epochOf: () => epoch });
  t.is(await send(pools, address), "1");
  epoch = "2";
  t.is(await send(pools, address), "2");
  t.is(await send(pools, address), "2");
});

test("an open connection is not used once it may be dead", async (t) => {
  const address = await serve(t);
  let isSilent = false;
  const pools = createConnections(t, { isSilent: () => isSilent });
  t.is(await send(pools, address), "1");
  isSilent = true;
  t.is(await send(pools, address), "2");
});

test("a call in flight is completed when its epoch ends", async (t) => {
  const address = await serve(t);
  let epoch = "1";
  const pools = createConnections(t, { epochOf: () => epoch });
  const first = send(pools, address);
  epoch = "2";
  t.is(await send(pools, address), "2");
  t.is(await first, "1");
});

test("a broken call makes its address suspect, and an endpoint's end forgets it", async (t) => {
  const address = await serve(t);
  const recorded: string[] = [];
  const pools = createConnections(t, {
    suspect: (each) => recorded.push(`suspect ${each}`),
    forget: (each) => recorded.push(`forget ${each}`),
  });
  pools.recordBreak(`http://${address}`);
  await pools.retire(address);
  await pools.abort(address);
  t.deepEqual(recorded, [
    `suspect ${address}`,
    `forget ${address}`,
    `forget ${address}`,
  ]);
});

// Guards against calls that go on waiting for an endpoint that has restarted.
test("calls on connections that are not reused fail when their endpoint restarts", async (t) => {
  const address = await serve(t);
  let epoch = "1";
  const pools = createConnections(t, { epochOf: () => epoch });
  const pendingAnswer = send(pools, address, { path: "/slow" });
  await new Promise((resolve) => setTimeout(resolve, 20));
  epoch = "2";
  await send(pools, address);
  void pools.abort(address);
  await t.throwsAsync(pendingAnswer, { message: /endpoint restarted/ });
});

test("a call with a connection of its own shares none", async (t) => {
  const address = await serve(t);
  const pools = createConnections(t);
  t.is(await send(pools, address), "1");
  t.is(await send(pools, address, { reset: true }), "2");
  t.is(await send(pools, address, { reset: true }), "3");
  t.is(await send(pools, address), "1");
});

test("a call with a connection of its own fails when its endpoint restarts", async (t) => {
  const address = await serve(t);
  const pools = createConnections(t);
  const options = { path: "/slow", reset: true };
  const pendingAnswer = send(pools, address, options);
  await new Promise((resolve) => setTimeout(resolve, 20));
  void pools.abort(address);
  await t.throwsAsync(pendingAnswer, { message: /endpoint restarted/ });
});

// Guards against calls that fail as a late second answer to the call before comes
// where their own is due.
test("connections of an endpoint that sends extra answers rest between calls", async (t) => {
  const address = await serve(t);
  const clock = new fakeClocks.FakeClock();
  const pools = createConnections(t, {}, { clock });
  t.is(await send(pools, address), "1");
  pools.recordExtraAnswer(`http://${address}`);
  t.is(
    await send(pools, address),
    "2",
    "a second answer may be due on the first",
  );
  clock.advance(10);
  t.is(await send(pools, address), "3");
  clock.advance(100);
  t.is(await send(pools, address), "3", "the one that was used last");
  t.is(await send(pools, address), "2");
  clock.advance(30_000);
  t.is(await send(pools, address), "4");
  t.is(await send(pools, address), "4");
});

test("connections that rest are closed when their endpoint restarts", async (t) => {
  const address = await serve(t);
  const pools = createConnections(t);
  pools.recordExtraAnswer(`http://${address}`);
  const pendingAnswer = send(pools, address, { path: "/slow" });
  await new Promise((resolve) => setTimeout(resolve, 20));
  void pools.abort(address);
  await t.throwsAsync(pendingAnswer, { message: /endpoint restarted/ });
  t.is(await send(pools, address), "2");
  t.is(await send(pools, address), "2", "its successor's do not rest");
});

// undici shows such an answer by the message of an error alone.
test("an answer on an idle connection is noticed once", async (t) => {
  const answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", () => {
      socket.write(answer);
      setTimeout(() => socket.write(answer), 20);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => void server.close());
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const noticed: string[] = [];
  const pools = createConnections(t, {}, {
    onExtraAnswer: (each) => void noticed.push(each),
  });
  for (let count = 0; count < 3; count++) {
    t.is(await send(pools, address), "1");
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  t.deepEqual(noticed, [address]);
});
