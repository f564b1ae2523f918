/** Callers of HTTP/1.0, which has no chunks, so that their streams are held until
 * they are whole.
 * @module */

import type * as http from "node:http";
import type * as ava from "ava";
import test from "ava";
import type * as configurations from "../configuration/mod.ts";
import * as callerFixture from "./caller_fixture.ts";
import * as fixture from "./fixture.ts";

const STREAM: Partial<configurations.Route> = {
  kind: "streaming",
  objective: 1000,
  stages: [],
};
const PLAIN: Partial<configurations.Route> = { kind: "unsafe", stages: [] };
const EVENT = "id: 1\ndata: 1\n\n";
const NEXT_EVENT = "id: 2\ndata: 2\n\n";
const WORK_MS = 100;
const KEEP_ALIVE = { connection: "keep-alive" };

/** Starts a server before an endpoint that answers each call after some time with
 * one event; counts its calls. */
async function startServer(
  t: ava.ExecutionContext,
  route: Partial<configurations.Route>,
  handle: http.RequestListener = answerLater,
) {
  const calls = { begun: 0 };
  const host = await fixture.startHost(t, route, (request, response) => {
    calls.begun++;
    handle(request, response);
  });
  fixture.distinguishResets(t, host);
  const server = await fixture.startServer(t, host);
  return { calls, address: `127.0.0.1:${server.port}` };
}

function answerLater(_: http.IncomingMessage, response: http.ServerResponse) {
  response.writeHead(200, { "test-signature": "s" });
  response.write(EVENT.slice(0, 5));
  fixture.clock.after(WORK_MS, () => response.end(EVENT.slice(5)));
}

/** Replies in what came on a connection. */
function repliesIn(text: string): callerFixture.RawReply[] {
  return text.split(/(?=HTTP\/1\.1 )/).filter((each) => each !== "")
    .map((each) => callerFixture.parse(each, { connectionEnd: "orderly" }));
}

// Guards against a request that is passed on and never answered: the connection of
// a caller of HTTP/1.0 closes after a reply without a length.
for (const [kind, route] of Object.entries({ stream: STREAM, plain: PLAIN })) {
  for (const headers of [{}, KEEP_ALIVE]) {
    const isKept = "connection" in headers;
    const name = `${kind}, ${isKept ? "kept open" : "closed"}`;
    test(`a request behind one of HTTP/1.0 is answered or not passed on: ${name}`, async (t) => {
      const { calls, address } = await startServer(t, route);
      const request = callerFixture.textOf({ version: "1.0", headers });
      let text = "";
      await callerFixture.exchange(
        address,
        request + request,
        {
          onData(socket, received) {
            text = received;
            if (repliesIn(text).length > 1) socket.end();
          },
        },
      );
      const replies = repliesIn(text);
      t.is(replies.length, isKept ? 2 : 1, text);
      t.is(calls.begun, replies.length);
      for (const reply of replies) {
        t.like(reply, { status: 200, body: EVENT, isComplete: true });
      }
    });
  }
}

// Guards against a request that crosses the reply after which its connection
// closes, and against replies that are lost or mixed as a stream is held.
for (const framing of ["chunked", "connection"]) {
  for (const count of [1, 2]) {
    test(`each request that is passed on behind a stream of HTTP/1.0 is answered: ${count}, ${framing}`, async (t) => {
      const { calls, address } = await startServer(t, STREAM, (_, response) => {
        response.useChunkedEncodingByDefault = framing === "chunked";
        response.writeHead(200, { "test-signature": "s" });
        response.write(EVENT);
        fixture.clock.after(WORK_MS, () => response.end(NEXT_EVENT));
      });
      const request = callerFixture.textOf({
        version: "1.0",
        headers: KEEP_ALIVE,
      });
      const { text } = await callerFixture.exchange(
        address,
        request.repeat(count),
        {
          onData: (socket, received) => {
            if (repliesIn(received).length === count) socket.end();
          },
        },
      );
      const replies = repliesIn(text);
      t.is(replies.length, calls.begun, text);
      t.is(replies.length, count, text);
      const last = replies.at(-1)!;
      t.like(last, { status: 200, body: EVENT + NEXT_EVENT, isComplete: true });
      // The end of the connection can't be that of a reply before the last.
      const [first] = replies;
      const isRefused = framing === "connection" && count > 1;
      t.is(first.status, isRefused ? 502 : 200, text);
    });
  }
}

test("a caller of HTTP/1.0 may send a request after each answer with a length", async (t) => {
  const { calls, address } = await startServer(t, PLAIN);
  const request = callerFixture.textOf({
    version: "1.0",
    headers: KEEP_ALIVE,
  });
  let sent = 1;
  const { text } = await callerFixture.exchange(address, request, {
    onData: (socket, received) => {
      if (received.split("HTTP/1.1").length - 1 < sent) return;
      if (++sent <= 3) socket.write(request);
      else socket.end();
    },
  });
  t.deepEqual(repliesIn(text).map(({ body }) => body), [EVENT, EVENT, EVENT]);
  t.is(calls.begun, 3);
});

// Guards against a request that is passed on and never answered: Node closes the
// connection of a caller of HTTP/1.0 behind a reply that states no length, also
// where that has no body.
for (
  const [name, { method, status }] of Object.entries({
    "to HEAD": { method: "HEAD", status: 200 },
    "with status 204": { method: "POST", status: 204 },
    "with status 304": { method: "GET", status: 304 },
  })
) {
  test(`a request of HTTP/1.0 behind a reply ${name} is answered`, async (t) => {
    const { calls, address } = await startServer(t, PLAIN, (_, response) => {
      response.writeHead(status, { "test-signature": "s" }).end();
    });
    const request = callerFixture.textOf({
      method,
      version: "1.0",
      headers: KEEP_ALIVE,
    });
    const { text } = await callerFixture.exchange(address, request + request, {
      onData(socket, received) {
        if (repliesIn(received).length > 1) socket.end();
      },
    });
    const replies = repliesIn(text);
    t.deepEqual(replies.map((reply) => reply.status), [status, status]);
    t.is(replies[0].headers.connection, "keep-alive");
    t.false("content-length" in replies[0].headers);
    t.is(calls.begun, 2);
  });
}

// Guards against the orderly end of a stream that is not whole, as its caller ends
// its side behind a request for a tunnel.
test("a stream of HTTP/1.1 does not look whole behind a request for a tunnel", async (t) => {
  const { address } = await startServer(t, STREAM, (_, response) => {
    response.writeHead(200, { "test-signature": "s" });
    response.write(EVENT);
  });
  const { text, connectionEnd } = await callerFixture.exchange(
    address,
    callerFixture.textOf({}),
    {
      onData: (socket) =>
        void socket.end("CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n"),
      probesEnd: false,
    },
  );
  t.regex(text, /id: 1\n/);
  t.false(callerFixture.parse(text, { connectionEnd }).isComplete);
});
