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
import * as framingFixture from "./framing_fixture.ts";

const PLAIN: Partial<configurations.Route> = { kind: "unsafe", stages: [] };
const STREAM: Partial<configurations.Route> = {
  kind: "streaming",
  resumable: true,
  objective: 1000,
  stages: [],
};
const EVENTS = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";

const FRAMINGS: Record<string, framingFixture.Framing> = {
  ...framingFixture.FRAMINGS,
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

for (const framing of ["connection", "identity"]) {
  for (
    const { name, route, body, version } of [
      { name: "plain", route: PLAIN, body: "the body", version: "1.1" },
      { name: "held stream", route: STREAM, body: EVENTS, version: "1.0" },
    ] as const
  ) {
    // Guards against a reply whose length is the host's own: it makes a whole reply
    // of an answer whose endpoint stopped in the middle.
    test(`a ${name} reply to an answer with framing ${framing} states no end`, async (t) => {
      const host = await startHost(t, route, FRAMINGS[framing](body));
      const reply = await callerFixture.send(host.gatewayAddress, { version });
      t.like(reply, {
        status: 200,
        framing: "connection",
        body,
        connectionEnd: "orderly",
      });
      t.is(reply.headers.connection, "close");
    });
  }

  // Guards against a stream that ends with its connection, which also closes in
  // order if its host is killed.
  test(`a stream to an answer with framing ${framing} has chunks`, async (t) => {
    const host = await startHost(t, STREAM, FRAMINGS[framing](EVENTS));
    const reply = await callerFixture.send(host.gatewayAddress, {});
    t.like(reply, { status: 200, framing: "chunked", body: EVENTS });
    t.true(reply.isComplete);
  });

  // Guards against a last chunk behind an answer whose connection was reset, the
  // one end that shows that such an answer is not whole.
  test(`a stream to an answer with framing ${framing} that is reset has no last chunk`, async (t) => {
    const [lines, body] = FRAMINGS[framing](EVENTS);
    const host = await startHost(t, { ...STREAM, attempts: 1 }, ["", ""], {
      handle({ socket }) {
        socket.write(
          `HTTP/1.1 200 OK\r\ntest-signature: s\r\n${lines}\r\n${body}`,
        );
        fixture.clock.after(50, () => socket.resetAndDestroy());
      },
    });
    const reply = await callerFixture.send(host.gatewayAddress, {});
    t.like(reply, { status: 200, framing: "chunked", body: EVENTS });
    t.false(reply.isComplete);
  });
}

// Guards against the parts of a stream that a caller of HTTP/1.0 takes for whole, as
// its host is killed in the middle.
test("a stream to a caller of HTTP/1.0 is sent once it is whole", async (t) => {
  let end = () => {};
  const host = await startHost(t, STREAM, ["", ""], {
    handle(_, response) {
      response.writeHead(200, { "test-signature": "s" });
      response.write(EVENTS);
      end = () => response.end();
    },
  });
  let hasBegun = false;
  const sent = callerFixture.send(host.gatewayAddress, { version: "1.0" }, {
    onBegin: () => hasBegun = true,
  });
  await new Promise<void>((resolve) => fixture.clock.after(200, resolve));
  t.false(hasBegun);
  end();
  t.like(await sent, { status: 200, framing: "length", body: EVENTS });
});

for (const [name, route] of Object.entries({ plain: PLAIN, stream: STREAM })) {
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

/** What a caller gets if its stream breaks off for good, by its version. */
const BROKEN_STATUS = { "1.0": 502, "1.1": 200 } as const;

// Guards against a stream whose end depends on the framing of its first answer, while
// another one gave its last events.
for (const version of ["1.0", "1.1"] as const) {
  for (
    const [name, first] of Object.entries({ CUT, open: `\r\n${FIRST}id: 2` })
  ) {
    for (const framing of Object.keys(FRAMINGS)) {
      test(`a stream in HTTP/${version} whose first answer is cut ends with a second one with framing ${framing}: ${name}`, async (t) => {
        const [lines, body] = FRAMINGS[framing](SECOND);
        const { host, resumedAfter } = await startHostOf(t, [
          first,
          `${lines}\r\n${body}`,
        ]);
        const reply = await callerFixture.send(host.gatewayAddress, {
          version,
        });
        t.deepEqual(resumedAfter, [undefined, "1"]);
        t.like(reply, { status: 200, body: EVENTS, isComplete: true });
      });
    }

    // Guards against an end of a stream that its endpoints have broken off: its
    // caller would take the events before for the whole stream.
    test(`a stream in HTTP/${version} does not look whole if its endpoints break off: ${name}`, async (t) => {
      const { host } = await startHostOf(t, [first, first, first]);
      const reply = await callerFixture.send(host.gatewayAddress, { version });
      const status = BROKEN_STATUS[version];
      t.is(reply.status, status);
      t.is(reply.isComplete, status !== 200);
    });
  }
}

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
