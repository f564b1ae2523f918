/** Tests of connections that end: a caller whose whole request was read gets an
 * answer or a refusal.
 * @module */

import type * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import type * as ava from "ava";
import test from "ava";
import type * as configurations from "../configuration/mod.ts";
import * as fixture from "./fixture.ts";

/** Time in which an endpoint of these tests answers: requests that follow in the
 * same packet or the next are read meanwhile. */
const WORK_MS = 150;
/** Time of the hosts' clock within which all replies are sent and the connection
 * is closed. */
const CLOSE_TIMEOUT_MS = 5000;

/** Time within which the call of a caller that has left ends. */
const GONE_MS = 500;

/** Timeouts of connections in tests that are not about them. They are Node's,
 * which a busy machine can let pass before a request is read. */
const TIMEOUTS = { headerTimeout: 60_000, idleTimeout: 15_000 };

/** A promise, and the function that resolves it. */
function deferred() {
  let resolve = () => {};
  const promise = new Promise<void>((settle) => resolve = settle);
  return { promise, resolve };
}

/** Answers after the time that an endpoint works. */
function answerLater(
  _request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  fixture.clock.after(WORK_MS, () => {
    response.writeHead(200, { "test-signature": "s" }).end("done");
  });
}

/** A server for callers, before an endpoint that counts its calls. */
async function startServer(
  t: ava.ExecutionContext,
  { kind = "unsafe", handle = answerLater, isDraining = false }: {
    kind?: configurations.Route["kind"];
    handle?: http.RequestListener;
    isDraining?: boolean;
  } = {},
) {
  const calls = { begun: 0, cut: 0 };
  const route = { kind, objective: 1000, timeout: 4000 };
  const host = await fixture.startHost(t, route, (request, response) => {
    calls.begun++;
    response.once("close", () => {
      if (!response.writableFinished) calls.cut++;
    });
    handle(request, response);
  });
  Object.assign(host.context, { isDraining: () => isDraining });
  const server = await fixture.startServer(t, host);
  server.setTimeouts(TIMEOUTS);
  return { host, server, calls };
}

/** Bytes of a request. */
function requestOf({ method = "POST", version = "1.1", headers = "" } = {}) {
  return `${method} /a/x HTTP/${version}\r\nHost: h\r\n${headers}` +
    "Content-Length: 1\r\n\r\nx";
}

/** A connection to a server; it reads what comes until it closes. */
function connect(t: ava.ExecutionContext, port: number) {
  const socket = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  t.teardown(() => void socket.destroy());
  let text = "";
  socket.on("data", (part) => text += part.toString("latin1"));
  const ended = new Promise<void>((resolve) => {
    socket.once("error", () => resolve());
    socket.once("end", () => resolve());
  });
  /** Statuses of the replies once the server has closed the connection, and
   * whether it has within the time. */
  const replies = async () => {
    const late = fixture.pause(CLOSE_TIMEOUT_MS).then(() => true);
    const isOpen = await Promise.race([ended, late]) === true;
    return { statuses: statusesOf(text), isOpen };
  };
  const textWith = async (part: string) => {
    const deadline = fixture.clock.now() + CLOSE_TIMEOUT_MS;
    while (!text.includes(part) && fixture.clock.now() < deadline) {
      await timers.setTimeout(5);
    }
    return text;
  };
  return { socket, replies, textWith };
}

function statusesOf(text: string): number[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status]) =>
    Number(status)
  );
}

/** A server with a request that is passed on and not answered until `answer`. */
async function startWithRequest(t: ava.ExecutionContext) {
  const sent = deferred();
  const { server, calls } = await startServer(t, {
    handle: (request, response) =>
      void sent.promise.then(() => answerLater(request, response)),
  });
  const { socket, replies } = connect(t, server.port);
  socket.write(requestOf());
  while (calls.begun === 0) await timers.setTimeout(1);
  return { server, calls, socket, replies, answer: sent.resolve };
}

/** A server with a stream whose caller has its first event, and which goes on once
 * `end` is called. */
async function startStream(
  t: ava.ExecutionContext,
  options: { isDraining?: boolean } = {},
) {
  const sent = deferred();
  const { server, calls } = await startServer(t, {
    ...options,
    kind: "streaming",
    handle(_, response) {
      response.writeHead(200, { "test-signature": "s" });
      response.write("id: 1\ndata: 1\n\n");
      void sent.promise.then(() =>
        fixture.clock.after(
          WORK_MS,
          () => response.end("id: 2\ndata: 2\n\n"),
        )
      );
    },
  });
  const { socket, replies, textWith } = connect(t, server.port);
  socket.write(requestOf());
  await textWith("id: 1");
  return { calls, socket, replies, textWith, end: sent.resolve };
}

/** What a caller gets that sends some bytes and waits for the server to close. */
async function repliesTo(
  t: ava.ExecutionContext,
  parts: readonly string[],
  options: Parameters<typeof startServer>[1] = {},
) {
  const sent = deferred();
  const { server, calls } = await startServer(t, {
    // Answers once all parts are sent, however long that takes beside load.
    handle: (request, response) =>
      void sent.promise.then(() => answerLater(request, response)),
    ...options,
  });
  const { socket, replies } = connect(t, server.port);
  for (const part of parts) {
    socket.write(part);
    await fixture.pause(WORK_MS / 5);
  }
  sent.resolve();
  return { ...await replies(), calls: calls.begun };
}

const GARBAGE = "what is no request\r\n\r\n";

// The next tests guard against a request in flight that is cut by what follows it
// on its connection.
test("a request is answered although bytes that are no request follow", async (t) => {
  const one = { statuses: [200], isOpen: false, calls: 1 };
  t.deepEqual(await repliesTo(t, [requestOf() + GARBAGE]), one);
  t.deepEqual(await repliesTo(t, [requestOf(), GARBAGE]), one);
  t.deepEqual(await repliesTo(t, [requestOf(), GARBAGE, GARBAGE]), one);
  const two = { statuses: [200, 200], isOpen: false, calls: 2 };
  t.deepEqual(await repliesTo(t, [requestOf().repeat(2) + GARBAGE]), two);
});

// Guards against a request in flight that is cut since the bytes behind it, which
// are no request, count as a head that does not arrive in time.
test("a request that takes longer than the header timeout is answered although bytes that are no request follow", async (t) => {
  const { server, socket, replies, answer } = await startWithRequest(t);
  server.setTimeouts({ ...TIMEOUTS, headerTimeout: 50 });
  socket.write(GARBAGE);
  // Node looks for late heads every half a second.
  await timers.setTimeout(1500);
  answer();
  t.deepEqual(await replies(), { statuses: [200], isOpen: false });
});

test("a stream goes on to its end although bytes that are no request follow", async (t) => {
  const { socket, replies, textWith, end } = await startStream(t);
  socket.write(GARBAGE);
  end();
  t.deepEqual(await replies(), { statuses: [200], isOpen: false });
  const text = await textWith("id: 2");
  t.true(text.endsWith("\r\n0\r\n\r\n"), text);
});

test("a request that asks for the connection to close is answered although others follow", async (t) => {
  const last = requestOf({ headers: "Connection: close\r\n" });
  const replies = await repliesTo(t, [last + requestOf()]);
  t.deepEqual(replies, { statuses: [200], isOpen: false, calls: 1 });
});

test("bytes that are no request are refused", async (t) => {
  const replies = await repliesTo(t, [GARBAGE]);
  t.deepEqual(replies, { statuses: [400], isOpen: false, calls: 0 });
});

const TUNNEL_REQUEST = "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n";

// Guards against a request whose connection closes without a reply, with those
// before it, as Node does with requests for tunnels.
test("a request for a tunnel is refused, and those before it are answered", async (t) => {
  const alone = await repliesTo(t, [TUNNEL_REQUEST]);
  t.deepEqual(alone, { statuses: [400], isOpen: false, calls: 0 });
  const last = await repliesTo(t, [requestOf() + TUNNEL_REQUEST]);
  t.deepEqual(last, { statuses: [200], isOpen: false, calls: 1 });
});

// Guards against a reply that is cut as its caller ends its side behind a request
// for a tunnel: Node leaves the connection to the host then.
test("a request is answered although its caller asks for a tunnel and ends its side", async (t) => {
  const { calls, socket, replies, answer } = await startWithRequest(t);
  socket.end(TUNNEL_REQUEST);
  await fixture.pause(WORK_MS);
  answer();
  t.deepEqual(await replies(), { statuses: [200], isOpen: false });
  t.is(calls.begun, 1);
});

// The next tests state which requests of other forms are answered as usual.
for (
  const [name, bytes] of Object.entries({
    "with an upgrade": requestOf({
      headers: "Connection: Upgrade\r\nUpgrade: websocket\r\n",
    }),
    "with an upgrade to HTTP/2": requestOf({
      headers: "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n" +
        "HTTP2-Settings: AAMAAABkAAQAAP__\r\n",
    }),
    "of HTTP/1.0": requestOf({ version: "1.0" }),
    "with the method HEAD": requestOf({ method: "HEAD" }),
    "with a line break behind": requestOf() + "\r\n",
  })
) {
  test(`a request ${name} is answered`, async (t) => {
    const { server } = await startServer(t);
    const { socket, textWith } = connect(t, server.port);
    socket.write(bytes);
    t.deepEqual(statusesOf(await textWith("\r\n\r\n")), [200]);
  });
}

test("a request whose caller waits for the host before its body is answered", async (t) => {
  const { server } = await startServer(t);
  const { socket, textWith } = connect(t, server.port);
  const request = requestOf({ headers: "Expect: 100-continue\r\n" });
  socket.write(request.slice(0, -1));
  await textWith("HTTP/1.1 100 Continue\r\n\r\n");
  socket.write(request.slice(-1));
  t.deepEqual(statusesOf(await textWith("done")), [100, 200]);
});

/** Bytes that the bodies of the fixture's configuration may have. */
const MAX_BODY_BYTES = 1_000_000;

test("a body of exactly the most bytes is served, a larger one refused", async (t) => {
  const { server, calls } = await startServer(t);
  const send = async (bytes: number) => {
    const { socket, textWith } = connect(t, server.port);
    socket.write("POST /a/x HTTP/1.1\r\nHost: h\r\n");
    socket.write(`Content-Length: ${bytes}\r\n\r\n${"x".repeat(bytes)}`);
    return statusesOf(await textWith("\r\n\r\n"));
  };
  t.deepEqual(await send(MAX_BODY_BYTES), [200]);
  t.deepEqual(await send(MAX_BODY_BYTES + 1), [413]);
  t.is(calls.begun, 1);
});

// Guards against a timeout for idle connections that ends one with a request in
// flight, as a configuration changes it meanwhile.
test("a request outlives timeouts that are changed while it is in flight", async (t) => {
  const { server, calls } = await startServer(t, {
    handle: (request, response) =>
      void fixture.clock.after(600, () => answerLater(request, response)),
  });
  const { socket, textWith } = connect(t, server.port);
  socket.write(requestOf());
  while (calls.begun === 0) await timers.setTimeout(1);
  const changes = setInterval(() => {
    server.setTimeouts({ headerTimeout: 50, idleTimeout: 1 });
  }, 20);
  const text = await textWith("done");
  clearInterval(changes);
  t.deepEqual(statusesOf(text), [200]);
});

// Guards against a request of a caller that has left that runs on, since bytes
// that are no request keep the end of the connection from being seen.
test("a caller that leaves after bytes that are no request ends its call", async (t) => {
  const { server, calls } = await startServer(t, {
    kind: "safe",
    handle: () => {},
  });
  const { socket } = connect(t, server.port);
  socket.write(requestOf() + GARBAGE);
  while (calls.begun === 0) await timers.setTimeout(5);
  socket.destroy();
  await fixture.pause(GONE_MS);
  t.is(calls.cut, 1);
});

// Guards against requests that are passed on and then lost, as the reply to one
// before them on their connection closes it.
test("a host that drains answers all requests of a connection", async (t) => {
  const replies = await repliesTo(t, [requestOf().repeat(3)], {
    isDraining: true,
  });
  t.deepEqual(replies, {
    statuses: [200, 200, 200],
    isOpen: false,
    calls: 3,
  });
});

test("a request that crosses the announced close of its connection is not passed on", async (t) => {
  const { calls, socket, replies, end } = await startStream(t, {
    isDraining: true,
  });
  socket.write(requestOf());
  end();
  t.deepEqual(await replies(), { statuses: [200], isOpen: false });
  t.is(calls.begun, 1);
});

/** Blocks the event loop, as work or a busy machine does. */
function blockLoop(span: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, span);
}

/** Time after a reply for which Node keeps a connection beyond the timeout that is
 * set. */
const KEEP_ALIVE_BUFFER_MS = 1000;

// Guards against a request that has arrived while the host was busy, and whose
// connection is closed as idle before the host reads it.
test("a request that arrives before its connection's idle timeout is answered", async (t) => {
  const { server } = await startServer(t);
  server.setTimeouts({ ...TIMEOUTS, idleTimeout: 1 });
  const { socket, replies, textWith } = connect(t, server.port);
  socket.write(requestOf());
  await textWith("done");
  socket.write(requestOf());
  // The timeout is over before the request can be read, however long a busy
  // machine took until here.
  blockLoop(1.5 * KEEP_ALIVE_BUFFER_MS);
  t.deepEqual((await replies()).statuses, [200, 200]);
});

test("an idle connection is closed after its timeout", async (t) => {
  const { server } = await startServer(t);
  server.setTimeouts({ ...TIMEOUTS, idleTimeout: 1 });
  const { socket, replies } = connect(t, server.port);
  socket.write(requestOf());
  t.deepEqual(await replies(), { statuses: [200], isOpen: false });
});

// Guards against a request that has arrived while the host was busy, and whose
// connection is closed by the stop before the host reads it.
test("a request that arrives as the host stops is answered", async (t) => {
  const { server } = await startServer(t);
  const { socket, replies, textWith } = connect(t, server.port);
  socket.write(requestOf());
  await textWith("done");
  socket.write(requestOf());
  await server.finish(CLOSE_TIMEOUT_MS);
  await server.stop();
  t.deepEqual((await replies()).statuses, [200, 200]);
});

/** Bytes of an answer that no buffers of the system take. */
const LARGE_ANSWER_BYTES = 30_000_000;

// Guards against an answer that is cut since the host stops before its caller
// has read it: only requests in flight counted, and an answer that was written
// was not one.
test("a host that stops sends its answers to the end", async (t) => {
  const { server } = await startServer(t, {
    handle(_, response) {
      response.writeHead(200, { "test-signature": "s" });
      response.end("x".repeat(LARGE_ANSWER_BYTES));
    },
  });
  const { socket, replies } = connect(t, server.port);
  socket.write(requestOf());
  while (server.inFlight === 0) await timers.setTimeout(1);
  socket.pause();
  while (server.inFlight > 0) await timers.setTimeout(1);
  const stopped = server.finish(CLOSE_TIMEOUT_MS).then(() => server.stop());
  await fixture.pause(WORK_MS);
  let received = 0;
  socket.on("data", (part) => received += part.length).resume();
  await stopped;
  await replies();
  t.true(received > LARGE_ANSWER_BYTES, `${received} bytes received`);
});

test("a host that stops does not wait for a caller that reads nothing for good", async (t) => {
  const { server } = await startServer(t, {
    handle(_, response) {
      response.writeHead(200, { "test-signature": "s" });
      response.end("x".repeat(LARGE_ANSWER_BYTES));
    },
  });
  const { socket } = connect(t, server.port);
  socket.write(requestOf());
  while (server.inFlight === 0) await timers.setTimeout(1);
  socket.pause();
  while (server.inFlight > 0) await timers.setTimeout(1);
  const start = fixture.clock.now();
  await server.finish(300);
  const tookMs = fixture.clock.now() - start;
  t.true(tookMs >= 290 && tookMs < CLOSE_TIMEOUT_MS, `${tookMs} ms`);
});

// Guards against refusals behind another one on their connection that are
// written and never sent.
test("a host that stops refuses all requests of a connection", async (t) => {
  const { server, calls } = await startServer(t, { handle: () => {} });
  const { socket, replies } = connect(t, server.port);
  socket.write(requestOf().repeat(3));
  while (calls.begun < 3) await timers.setTimeout(1);
  await server.finish(10);
  await server.stop();
  t.deepEqual((await replies()).statuses, [502, 502, 502]);
});

/** Callers of each kind in the tests of connections that end. */
const CALLERS = 10;

/** Sends a request of a kind for each caller, ends all connections while the
 * calls run, and returns the callers, the calls, and how many of these still run
 * after `GONE_MS`. */
async function endWhileCalled(
  t: ava.ExecutionContext,
  kind: configurations.Route["kind"],
  end: (socket: net.Socket) => void,
) {
  const { server, calls } = await startServer(t, {
    kind,
    handle: (_, response) => {
      if (kind === "streaming") {
        response.writeHead(200, { "test-signature": "s" });
        response.write("id: 1\ndata: 1\n\n");
      }
      const answer = () => {
        if (kind !== "streaming") {
          response.writeHead(200, { "test-signature": "s" });
        }
        response.end();
      };
      fixture.clock.after(2 * GONE_MS, answer);
    },
  });
  const callers = Array.from(
    { length: CALLERS },
    () => connect(t, server.port),
  );
  callers.forEach(({ socket }) => socket.write(requestOf()));
  const deadline = fixture.clock.now() + CLOSE_TIMEOUT_MS;
  while (calls.begun < CALLERS && fixture.clock.now() < deadline) {
    await timers.setTimeout(5);
  }
  callers.forEach(({ socket }) => end(socket));
  await fixture.pause(GONE_MS);
  return { callers, running: CALLERS - calls.cut };
}

// Guards against whole requests that end without a reply: callers that end their
// side and read on got neither an answer nor a refusal.
test("a caller that ends its side gets the answer of a call that can't be cancelled", async (t) => {
  const { callers } = await endWhileCalled(t, "unsafe", (each) => each.end());
  for (const { replies } of callers) {
    t.deepEqual(await replies(), { statuses: [200], isOpen: false });
  }
});

test("a caller that ends its side is refused where its call is cancelled", async (t) => {
  const { callers, running } = await endWhileCalled(
    t,
    "safe",
    (each) => each.end(),
  );
  t.is(running, 0);
  for (const { replies } of callers) {
    t.deepEqual(await replies(), { statuses: [502], isOpen: false });
  }
});

test("a caller that ends its side before anything ran is refused as not run", async (t) => {
  const { host, server, calls } = await startServer(t);
  Object.assign(host.context.quotas, {
    isLimited: () => true,
    acquire: () => new Promise(() => {}),
  });
  const { socket, replies } = connect(t, server.port);
  socket.end(requestOf().repeat(2));
  t.deepEqual(await replies(), { statuses: [503, 503], isOpen: false });
  t.is(calls.begun, 0);
});

test("a stream is cut for a caller that ends its side", async (t) => {
  const { callers, running } = await endWhileCalled(
    t,
    "streaming",
    (each) => each.end(),
  );
  t.is(running, 0);
  for (const { replies, textWith } of callers) {
    t.like(await replies(), { isOpen: false });
    t.false((await textWith("")).endsWith("\r\n0\r\n\r\n"));
  }
});

// Guards against endpoints that work on for callers that have left.
for (const kind of ["safe", "streaming"] as const) {
  test(`calls of callers that have left end: ${kind}`, async (t) => {
    const ends = {
      closed: (each: net.Socket) => void each.destroy(),
      reset: (each: net.Socket) => void each.resetAndDestroy(),
    };
    for (const [name, end] of Object.entries(ends)) {
      t.is((await endWhileCalled(t, kind, end)).running, 0, name);
    }
  });
}

/** What follows a whole request and never becomes one. */
const FRAGMENTS: Readonly<
  Record<string, { bytes: string; endsSide: boolean; statuses?: number[] }>
> = {
  "a part of the next head, and then the end": {
    bytes: "POST /a/x HT",
    endsSide: true,
  },
  "a part of the next body, and then the end": {
    bytes: "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nxx",
    endsSide: true,
    // A request that is not whole is refused too.
    statuses: [200, 503],
  },
  "a head and an invalid chunk": {
    bytes: "POST /a/x HTTP/1.1\r\nHost: h\r\n" +
      "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    endsSide: false,
  },
};

// Guards against a whole request that was passed on and gets neither an answer nor
// a refusal, since what follows it on its connection never becomes a request.
for (const [name, fragment] of Object.entries(FRAGMENTS)) {
  const { bytes, endsSide, statuses = [200] } = fragment;
  test(`a request is answered although its caller sends ${name}`, async (t) => {
    const { calls, socket, replies, answer } = await startWithRequest(t);
    if (endsSide) socket.end(bytes);
    else socket.write(bytes);
    await fixture.pause(WORK_MS);
    answer();
    t.deepEqual(await replies(), { statuses, isOpen: false });
    t.is(calls.begun, 1);
  });
}
