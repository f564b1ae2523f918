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
/** Time within which all replies are sent and the connection is closed, beside a
 * busy machine. */
const CLOSE_TIMEOUT_MS = 5000;

/** Time within which the call of a caller that has left ends. */
const GONE_MS = 500;

/** Answers after the time that an endpoint works. */
function answerLater(
  _request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  setTimeout(() => {
    response.writeHead(200, { "test-signature": "s" }).end("done");
  }, WORK_MS);
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
    const late = timers.setTimeout(CLOSE_TIMEOUT_MS, true, { ref: false });
    const isOpen = await Promise.race([ended, late]) === true;
    return { statuses: statusesOf(text), isOpen };
  };
  const textWith = async (part: string) => {
    const deadline = Date.now() + CLOSE_TIMEOUT_MS;
    while (!text.includes(part) && Date.now() < deadline) {
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

/** What a caller gets that sends some bytes and waits for the server to close. */
async function repliesTo(
  t: ava.ExecutionContext,
  parts: readonly string[],
  options: Parameters<typeof startServer>[1] = {},
) {
  const { server, calls } = await startServer(t, options);
  const { socket, replies } = connect(t, server.port);
  for (const part of parts) {
    socket.write(part);
    await timers.setTimeout(WORK_MS / 5);
  }
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

test("a stream goes on to its end although bytes that are no request follow", async (t) => {
  const { server } = await startServer(t, {
    kind: "streaming",
    handle(_, response) {
      response.writeHead(200, { "test-signature": "s" });
      response.write("id: 1\ndata: 1\n\n");
      setTimeout(() => response.end("id: 2\ndata: 2\n\n"), WORK_MS);
    },
  });
  const { socket, replies, textWith } = connect(t, server.port);
  socket.write(requestOf());
  await textWith("id: 1");
  socket.write(GARBAGE);
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
  await timers.setTimeout(GONE_MS);
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
  const { server, calls } = await startServer(t, {
    kind: "streaming",
    isDraining: true,
    handle(_, response) {
      response.writeHead(200, { "test-signature": "s" });
      response.write("id: 1\ndata: 1\n\n");
      setTimeout(() => response.end("id: 2\ndata: 2\n\n"), WORK_MS);
    },
  });
  const { socket, replies, textWith } = connect(t, server.port);
  socket.write(requestOf());
  await textWith("id: 1");
  socket.write(requestOf());
  t.deepEqual(await replies(), { statuses: [200], isOpen: false });
  t.is(calls.begun, 1);
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
  await timers.setTimeout(WORK_MS);
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
  const start = Date.now();
  await server.finish(300);
  const tookMs = Date.now() - start;
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
