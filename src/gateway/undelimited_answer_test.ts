/** Answers of endpoints that state no end of their own: neither a length nor
 * chunks.
 * @module */

import type * as http from "node:http";
import type * as ava from "ava";
import test from "ava";
import * as undici from "undici";
import type * as configurations from "../configuration/mod.ts";
import * as connector from "../endpoint_calls/connector.ts";
import * as callerFixture from "./caller_fixture.ts";
import * as fixture from "./fixture.ts";

const PLAIN: Partial<configurations.Route> = { kind: "unsafe", stages: [] };
const STREAM: Partial<configurations.Route> = {
  kind: "streaming",
  resumable: true,
  objective: 1000,
  stages: [],
};
const EVENTS = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";

/** An answer's framing: its header lines, and its body as it is sent. */
const FRAMINGS: Record<string, (body: string) => [string, string]> = {
  length: (body) => [`Content-Length: ${body.length}\r\n`, body],
  chunked: (body) => [
    "Transfer-Encoding: chunked\r\n",
    `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  ],
  connection: (body) => ["", body],
  identity: (body) => ["Transfer-Encoding: identity\r\n", body],
};

/** Starts a host whose endpoint sends an answer and ends its connection, or
 * handles calls with `handle`. */
async function startHost(
  t: ava.ExecutionContext,
  route: Partial<configurations.Route>,
  [lines, body]: [string, string],
  { handle }: { handle?: http.RequestListener } = {},
): Promise<fixture.Host> {
  const answer: http.RequestListener = ({ socket }) =>
    void socket.end(
      `HTTP/1.1 200 OK\r\ntest-signature: s\r\n${lines}\r\n${body}`,
    );
  const host = await fixture.startHost(t, route, handle ?? answer);
  const dispatcher = new undici.Agent({
    connect: connector.create({ timeout: 10_000 }),
    pipelining: 1,
  });
  t.teardown(() => dispatcher.destroy());
  Object.assign(host.context, { dispatcher });
  return host;
}

for (const [name, route] of Object.entries({ plain: PLAIN, stream: STREAM })) {
  for (const framing of ["connection", "identity"]) {
    // Guards against a reply whose length or last chunk is the host's own: it
    // makes a whole reply of an answer whose endpoint stopped in the middle.
    test(`a ${name} reply to an answer with framing ${framing} states no end`, async (t) => {
      const body = name === "stream" ? EVENTS : "the body";
      const host = await startHost(t, route, FRAMINGS[framing](body));
      const reply = await callerFixture.send(host.gatewayAddress, {});
      t.like(reply, {
        status: 200,
        framing: "connection",
        body,
        connectionEnd: "orderly",
      });
      t.is(reply.headers.connection, "close");
    });
  }

  for (const framing of Object.keys(FRAMINGS)) {
    test(`a whole ${name} answer with framing ${framing} reaches callers of both versions`, async (t) => {
      const body = name === "stream" ? EVENTS : "the body";
      const host = await startHost(t, route, FRAMINGS[framing](body));
      for (const version of ["1.0", "1.1"] as const) {
        const reply = await callerFixture.send(host.gatewayAddress, {
          version,
        });
        t.like(reply, { status: 200, body, isComplete: true });
      }
    });
  }
}

// Guards against a reply that closes the connection on which another one is due,
// and against one with a length of the host's own.
test("an answer without an end is refused if another request is behind it", async (t) => {
  const host = await startHost(t, PLAIN, FRAMINGS.connection("the body"));
  const server = await fixture.startServer(t, host);
  const request = callerFixture.textOf({});
  const { text } = await callerFixture.exchange(
    `127.0.0.1:${server.port}`,
    request + request,
  );
  const [first, second] = text.split(/(?=HTTP\/1\.1 )/);
  t.regex(first, /^HTTP\/1\.1 502 /);
  t.regex(second, /^HTTP\/1\.1 200 [^]*\r\n\r\nthe body$/);
});

/** Starts a host whose endpoint answers one call after the other. */
async function startHostOf(
  t: ava.ExecutionContext,
  answers: readonly string[],
): Promise<{ host: fixture.Host; resumedAfter: unknown[] }> {
  const resumedAfter: unknown[] = [];
  const host = await startHost(t, { ...STREAM, attempts: 3 }, ["", ""], {
    handle({ headers, socket }) {
      const answer = answers[resumedAfter.length];
      resumedAfter.push(headers["test-resume-after"]);
      socket.end(`HTTP/1.1 200 OK\r\ntest-signature: s\r\n${answer}`);
    },
  });
  return { host, resumedAfter };
}

const [FIRST, SECOND] = EVENTS.split(/(?<=\n\n)/);
const CUT = `Transfer-Encoding: chunked\r\n\r\n${
  FIRST.length.toString(16)
}\r\n${FIRST}\r\n`;

// Guards against a last chunk behind an answer that stated no end: the head of the
// stream is that of an earlier answer.
test("a stream in chunks goes on behind an answer without an end", async (t) => {
  const { host, resumedAfter } = await startHostOf(t, [
    CUT,
    `\r\n${SECOND}`,
    "Content-Length: 0\r\n\r\n",
  ]);
  const reply = await callerFixture.send(host.gatewayAddress, {});
  t.deepEqual(resumedAfter, [undefined, "1", "2"]);
  t.like(reply, { framing: "chunked", body: EVENTS, isComplete: true });
});

test("a stream in chunks does not end with an answer without an end", async (t) => {
  const { host } = await startHostOf(t, [
    CUT,
    `\r\n${SECOND}`,
    "\r\n",
  ]);
  const reply = await callerFixture.send(host.gatewayAddress, {});
  t.like(reply, { framing: "chunked", body: EVENTS, isComplete: false });
});

test("a stream without an end of its own ends with an answer that has one", async (t) => {
  const { host, resumedAfter } = await startHostOf(t, [
    `\r\n${FIRST}id: 2\nda`,
    `Content-Length: ${SECOND.length}\r\n\r\n${SECOND}`,
  ]);
  const reply = await callerFixture.send(host.gatewayAddress, {});
  t.deepEqual(resumedAfter, [undefined, "1"]);
  t.like(reply, {
    framing: "connection",
    body: EVENTS,
    connectionEnd: "orderly",
  });
});

// Guards against an orderly end of a reply that has no other one: its caller would
// take the events before for the whole stream.
test("a stream without an end of its own is reset if its endpoints break off", async (t) => {
  for (const version of ["1.0", "1.1"] as const) {
    for (const answer of [`\r\n${FIRST}id: 2\nda`, CUT]) {
      const { host } = await startHostOf(t, [answer, answer, answer]);
      const { isComplete, status } = await callerFixture.send(
        host.gatewayAddress,
        { version },
      );
      t.deepEqual({ isComplete, status }, { isComplete: false, status: 200 });
    }
  }
});

// Guards against events that come twice: behind the open body of a stream, a second
// answer is a part of it.
test("a stream that begins anew behind its events is broken off", async (t) => {
  const copy = `HTTP/1.1 200 OK\r\ntest-signature: s\r\n\r\n${EVENTS}`;
  const { host, resumedAfter } = await startHostOf(t, [
    `\r\n${EVENTS}${copy}`,
    `Content-Length: ${EVENTS.length}\r\n\r\n${EVENTS}`,
  ]);
  const reply = await callerFixture.send(host.gatewayAddress, {});
  t.deepEqual(resumedAfter, [undefined, undefined]);
  t.like(reply, { status: 200, body: EVENTS, isComplete: true });
});

test("events before the last one that was received are not sent again", async (t) => {
  const { host, resumedAfter } = await startHostOf(t, [
    CUT,
    `Content-Length: ${EVENTS.length}\r\n\r\n${EVENTS}`,
    `Content-Length: ${SECOND.length}\r\n\r\n${SECOND}`,
  ]);
  const reply = await callerFixture.send(host.gatewayAddress, {});
  t.deepEqual(resumedAfter, [undefined, "1", "1"]);
  t.like(reply, { status: 200, body: EVENTS, isComplete: true });
});

// Guards against events that come twice, in a stream that ends as complete: those
// of the second answer have no ids that show it.
test("a stream does not go on with the head of another answer", async (t) => {
  const events = "data: 1\n\ndata: 2\n\n";
  const head = "HTTP/1.1 200 OK\r\ntest-signature: s\r\n\r\n";
  const { host } = await startHostOf(t, [`\r\n${events}${head}${events}`]);
  const reply = await callerFixture.send(host.gatewayAddress, {});
  t.false(reply.isComplete && reply.status === 200, reply.body);
  t.false(reply.body.includes("HTTP/1.1"), reply.body);
});

test("a stream goes on elsewhere behind the head of another answer", async (t) => {
  const head = "HTTP/1.1 200 OK\r\ntest-signature: s\r\n\r\n";
  const { host } = await startHostOf(t, [
    CUT,
    `\r\n${head}`,
    `Content-Length: ${SECOND.length}\r\n\r\n${SECOND}`,
  ]);
  const reply = await callerFixture.send(host.gatewayAddress, {});
  t.like(reply, { status: 200, body: EVENTS, isComplete: true });
});

test("an event of a whole stream may have a line like that of a head", async (t) => {
  const body = "data: HTTP/1.1 200 OK\n\n: HTTP/1.1 200 OK\n\n";
  for (const framing of ["connection", "chunked"]) {
    const host = await startHost(t, STREAM, FRAMINGS[framing](body));
    const reply = await callerFixture.send(host.gatewayAddress, {});
    t.like(reply, { status: 200, body, isComplete: true });
  }
});
