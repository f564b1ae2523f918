/** @module */

import * as http from "node:http";
import * as net from "node:net";
import test, { type ExecutionContext } from "ava";
import * as undici from "undici";
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
  { clock = runtime.systemClock, onExtraAnswer, connect }:
    & Partial<Pick<connections.ConnectionsOptions, "clock" | "onExtraAnswer">>
    & { connect?: undici.buildConnector.connector } = {},
) {
  const pools = connections.Connections.create({
    pool: { pipelining: 1, connect },
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
  t.deepEqual(await pools.abort(address), { kept: 0, closed: 0 });
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

/** Starts a server that never answers `/slow`, and sends the head of any other answer
 * at once; its whole answers have the text `whole`. */
async function serveHeads(t: ExecutionContext) {
  const responses: http.ServerResponse[] = [];
  const requests: string[] = [];
  const server = http.createServer((request, response) => {
    requests.push(request.url!);
    responses.push(response);
    if (request.url === "/slow") return;
    response.writeHead(200, { "content-length": 5 });
    response.flushHeaders();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  return { address: `127.0.0.1:${port}`, responses, requests };
}

/** Begins a call; resolves once the head of its answer is there. */
async function begin(
  pools: connections.Connections,
  address: string,
  { path = "/", reset }: { path?: string; reset?: boolean } = {},
): Promise<{ readonly text: Promise<string> }> {
  const method = "GET";
  const origin = `http://${address}`;
  const answer = await pools.request({ origin, path, method, reset });
  const text = answer.body.text();
  text.catch(() => {});
  return { text };
}

/** Milliseconds after which connections are given up that have brought nothing since
 * their endpoint's process was heard of. */
const SIGN_PERIOD_MS = 500;

/** Kinds of connections that a call may have. */
const CONNECTIONS = {
  "a shared connection": {},
  "a connection of its own": { reset: true },
  "a connection that rests": { isResting: true },
  "a connection that is not used again": { isRenewed: true },
};

for (const [name, kind] of Object.entries(CONNECTIONS)) {
  const { reset, isResting, isRenewed }: {
    reset?: boolean;
    isResting?: boolean;
    isRenewed?: boolean;
  } = kind;

  // Guards against answers of an endpoint's new process that are broken off as
  // hosts learn of its start.
  test(`a call to an endpoint's new process on ${name} survives the news of its start`, async (t) => {
    const { address, responses, requests } = await serveHeads(t);
    const clock = new fakeClocks.FakeClock();
    const pools = createConnections(t, {}, { clock });
    if (isResting) pools.recordExtraAnswer(`http://${address}`);
    const successorSince = clock.now();
    const { text } = await begin(pools, address, { reset });
    if (isRenewed) pools.renew(`http://${address}`);
    clock.advance(SIGN_PERIOD_MS);
    await pools.abort(address, { successorSince });
    t.deepEqual(pools.addresses, []);
    responses[0].end("whole");
    t.is(await text, "whole");
    t.deepEqual(requests, ["/"], "it is not sent again");
  });

  // Guards against calls that wait for a former process, whose machine has lost its
  // power.
  test(`a call to an endpoint's former process on ${name} fails with the news of a start`, async (t) => {
    const { address, requests } = await serveHeads(t);
    const clock = new fakeClocks.FakeClock();
    const pools = createConnections(t, {}, { clock });
    if (isResting) pools.recordExtraAnswer(`http://${address}`);
    const { text } = await begin(pools, address, { reset });
    if (isRenewed) pools.renew(`http://${address}`);
    clock.advance(100);
    const successorSince = clock.now();
    clock.advance(SIGN_PERIOD_MS);
    await pools.abort(address, { successorSince });
    await t.throwsAsync(text, { message: /endpoint restarted/ });
    t.deepEqual(requests, ["/"], "it is not sent again");
  });
}

/** Waits for what has been sent over loopback. */
function settle(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 20));
}

// Guards against answers that are broken off although their bytes still come once the
// former process is gone.
test("an answer that goes on behind the start of an endpoint's process is its own", async (t) => {
  const { address, responses } = await serveHeads(t);
  const clock = new fakeClocks.FakeClock();
  const pools = createConnections(t, {}, { clock });
  const { text: silent } = await begin(pools, address);
  clock.advance(100);
  const { text: going } = await begin(pools, address);
  clock.advance(100);
  const successorSince = clock.now();
  responses[1].write("wh");
  await settle();
  clock.advance(SIGN_PERIOD_MS);
  t.deepEqual(await pools.abort(address, { successorSince }), {
    kept: 1,
    closed: 1,
  });
  await t.throwsAsync(silent, { message: /endpoint restarted/ });
  responses[1].end("ole");
  t.is(await going, "whole");
});

// Guards against answers that pause as hosts learn of their process at once, and
// against calls to a former process that wait for longer than hosts take to learn.
test("connections are given up if nothing comes shortly behind the start of an endpoint's process", async (t) => {
  const { address, responses } = await serveHeads(t);
  const clock = new fakeClocks.FakeClock();
  const pools = createConnections(t, {}, { clock });
  const { text: silent } = await begin(pools, address);
  clock.advance(100);
  const { text: going } = await begin(pools, address);
  clock.advance(100);
  const aborted = pools.abort(address, { successorSince: clock.now() });
  t.deepEqual(pools.addresses, [], "no other call uses them");
  clock.advance(SIGN_PERIOD_MS - 1);
  responses[1].write("wh");
  await settle();
  t.is(await Promise.race([silent, settle().then(() => "open")]), "open");
  clock.advance(1);
  await aborted;
  await t.throwsAsync(silent, { message: /endpoint restarted/ });
  responses[1].end("ole");
  t.is(await going, "whole");
});

// Guards against silent answers that are broken off although another connection
// shows that their process listened before.
test("what is opened behind a connection of an endpoint's process is its own", async (t) => {
  const { address, responses } = await serveHeads(t);
  const clock = new fakeClocks.FakeClock();
  const pools = createConnections(t, {}, { clock });
  const texts: Promise<string>[] = [];
  for (let count = 0; count < 3; count++) {
    texts.push((await begin(pools, address)).text);
    clock.advance(100);
  }
  const successorSince = clock.now();
  responses[1].write("wh");
  await settle();
  clock.advance(SIGN_PERIOD_MS);
  await pools.abort(address, { successorSince });
  await t.throwsAsync(texts[0], { message: /endpoint restarted/ });
  responses[1].end("ole");
  responses[2].end("whole");
  t.deepEqual(await Promise.all(texts.slice(1)), ["whole", "whole"]);
});

// Guards against calls that wait for a process that was replaced twice.
test("a call that has survived one restart fails with the next", async (t) => {
  const { address } = await serveHeads(t);
  const clock = new fakeClocks.FakeClock();
  const pools = createConnections(t, {}, { clock });
  const { text } = await begin(pools, address);
  const first = clock.now();
  clock.advance(SIGN_PERIOD_MS);
  await pools.abort(address, { successorSince: first });
  const second = clock.now();
  clock.advance(SIGN_PERIOD_MS);
  await pools.abort(address, { successorSince: second });
  await t.throwsAsync(text, { message: /endpoint restarted/ });
});

// Guards against calls that fail before they are sent to the new process.
test("a call whose connection is being opened to an endpoint's new process is sent", async (t) => {
  const { address, responses } = await serveHeads(t);
  const clock = new fakeClocks.FakeClock();
  const dial = undici.buildConnector({});
  let isDialing = false;
  const pools = createConnections(t, {}, {
    clock,
    connect: (options, callback) => {
      isDialing = true;
      setTimeout(() => dial(options, callback), 20);
    },
  });
  const successorSince = clock.now();
  const pending = begin(pools, address);
  t.true(isDialing);
  clock.advance(SIGN_PERIOD_MS);
  await pools.abort(address, { successorSince });
  const { text } = await pending;
  responses[0].end("whole");
  t.is(await text, "whole");
});

// Guards against a dead connection that counts as its successor's, as this host stood
// still while it opened.
test("a connection whose opening is noticed late counts from its beginning", async (t) => {
  const { address } = await serveHeads(t);
  const clock = new fakeClocks.FakeClock();
  const dial = undici.buildConnector({});
  const pools = createConnections(t, {}, {
    clock,
    connect: (options, callback) =>
      dial(options, (...results) => {
        clock.advance(100);
        callback(...results as Parameters<typeof callback>);
      }),
  });
  const silent = send(pools, address, { path: "/slow" });
  silent.catch(() => {});
  const successorSince = clock.now() + 50;
  while (clock.now() < successorSince) await settle();
  clock.advance(SIGN_PERIOD_MS);
  await pools.abort(address, { successorSince });
  await t.throwsAsync(silent, { message: /endpoint restarted/ });
});

// Guards against calls that wait on a dead connection whose last bytes were read late.
test("the system checks connections that are kept as an endpoint restarts", async (t) => {
  const { address, responses } = await serveHeads(t);
  const clock = new fakeClocks.FakeClock();
  const dial = undici.buildConnector({ keepAlive: false });
  const checks: unknown[][] = [];
  const pools = createConnections(t, {}, {
    clock,
    connect: (options, callback) =>
      dial(options, (...results) => {
        const [, socket] = results;
        const setKeepAlive = socket?.setKeepAlive.bind(socket);
        if (socket) {
          socket.setKeepAlive = (...values) => {
            checks.push(values);
            return setKeepAlive!(...values);
          };
        }
        callback(...results as Parameters<typeof callback>);
      }),
  });
  const successorSince = clock.now();
  const { text } = await begin(pools, address);
  clock.advance(SIGN_PERIOD_MS);
  await pools.abort(address, { successorSince });
  t.deepEqual(checks, [[true, 1000]]);
  responses[0].end("whole");
  t.is(await text, "whole");
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
