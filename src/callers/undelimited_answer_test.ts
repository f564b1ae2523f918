/** Answers of plain services that state no end of their own: neither a length nor
 * chunks.
 * @module */

import type * as http from "node:http";
import * as net from "node:net";
import type * as ava from "ava";
import test from "ava";
import * as connector from "../endpoint_calls/connector.ts";
import * as callerFixture from "../gateway/caller_fixture.ts";
import * as fakePath from "../request/fake_path.ts";

/** Sends a body with a framing. */
const FRAMINGS: Record<
  string,
  (response: http.ServerResponse, body: string) => void
> = {
  length(response, body) {
    response.setHeader("content-length", body.length);
    response.end(body);
  },
  chunked(response, body) {
    response.write(body);
    response.end();
  },
  connection(response, body) {
    response.useChunkedEncodingByDefault = false;
    response.setHeader("connection", "close");
    response.write(body);
    response.end();
  },
  identity(response, body) {
    response.setHeader("transfer-encoding", "identity");
    response.setHeader("connection", "close");
    response.write(body);
    response.end();
  },
};

/** A call to the plain service. */
const CALL: callerFixture.RawRequest = {
  path: "/v1/services/billing/a",
  headers: { authorization: `Bearer ${fakePath.TOKEN}` },
};

async function start(t: ava.ExecutionContext, serve: fakePath.Serve) {
  const started = await fakePath.start({ billing: serve });
  t.teardown(() => started.stop());
  return { ...started, address: new URL(started.url).host };
}

for (const [framing, send] of Object.entries(FRAMINGS)) {
  for (const version of ["1.0", "1.1"] as const) {
    const statesEnd = framing === "length" || framing === "chunked";
    // Guards against a reply whose length is the host's own: it makes a whole reply
    // of an answer whose endpoint stopped in the middle.
    test(`a reply of HTTP/${version} to an answer with framing ${framing} states ${statesEnd ? "its" : "no"} end`, async (t) => {
      const { address } = await start(t, (_incoming, response) => {
        send(response, "the body");
      });
      const reply = await callerFixture.send(address, { ...CALL, version });
      t.like(reply, {
        status: 200,
        body: "the body",
        framing: statesEnd ? "length" : "connection",
        isComplete: true,
      });
      if (!statesEnd) t.is(reply.headers.connection, "close");
    });
  }
}

for (const [method, status] of [["HEAD", 200], ["GET", 204], ["GET", 304]]) {
  // Guards against a length of the host's own: the answer has no body that it
  // could be the length of.
  test(`a reply to ${method} with status ${status} has no length`, async (t) => {
    const { address } = await start(t, (_incoming, response) => {
      response.writeHead(status as number).end();
    });
    const { headers, isComplete, status: seen } = await callerFixture.send(
      address,
      { ...CALL, method: method as string },
    );
    t.deepEqual([seen, isComplete], [status, true]);
    t.false("content-length" in headers);
    t.false("transfer-encoding" in headers);
  });
}

// Guards against an answer that is refused for a length that is not its own.
test("an answer without a body that states a length is passed on", async (t) => {
  for (const status of [204, 304]) {
    const { address } = await start(t, ({ headers }, response) => {
      const ids = ["x-request-id", "x-stage", "x-attempt"].map((name) =>
        `${name}: ${headers[name]}\r\n`
      );
      response.socket!.write(
        `HTTP/1.1 ${status} Odd\r\n${ids.join("")}Content-Length: 8\r\n\r\n`,
      );
    });
    const reply = await callerFixture.send(address, { ...CALL, method: "GET" });
    t.like(reply, { status, body: "", isComplete: true });
    t.false("content-length" in reply.headers);
  }
});

// Guards against a reply that closes the connection on which another one is due,
// and against one with a length of the host's own.
test("an answer without an end is refused if another request is behind it", async (t) => {
  const { address, tally } = await start(t, (_incoming, response) => {
    FRAMINGS.connection(response, "the body");
  });
  const sent = callerFixture.textOf(CALL);
  const { text } = await callerFixture.exchange(address, sent + sent);
  const [first, second] = text.split(/(?=HTTP\/1\.1 )/);
  t.regex(first, /^HTTP\/1\.1 502 [^]*"outcome":"ran"/);
  t.regex(second, /^HTTP\/1\.1 200 [^]*\r\n\r\nthe body$/);
  t.is(tally.total("request.undelivered"), 1);
});

// Guards against a request that runs although its reply can't be sent.
test("a request behind a reply without an end does not run", async (t) => {
  const length = 8 * 1024 * 1024;
  const { address, tally, fleet } = await start(t, (_incoming, response) => {
    FRAMINGS.connection(response, "x".repeat(length));
  });
  const [host, port] = address.split(":");
  const socket = net.connect({ host, port: Number(port) });
  t.teardown(() => socket.destroy());
  socket.write(callerFixture.textOf(CALL));
  await new Promise((resolve) => socket.once("readable", resolve));
  socket.write(callerFixture.textOf(CALL));
  while (tally.total("request.dropped") + fleet.billing.calls() < 2) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  t.is(fleet.billing.calls(), 1);
  let text = "";
  for await (const part of socket) text += part;
  t.is(text.length - text.indexOf("\r\n\r\n") - 4, length);
});

// Guards against an answer that is broken off and looks whole to its caller.
test("an answer without an end that is reset is refused", async (t) => {
  const { address } = await start(t, (_incoming, response) => {
    response.useChunkedEncodingByDefault = false;
    response.setHeader("connection", "close");
    response.write("the bo", () => response.socket!.resetAndDestroy());
  });
  t.like(await callerFixture.send(address, CALL), { status: 502 });
});

for (const version of ["1.0", "1.1"] as const) {
  // Guards against an orderly end of a reply that has no other one: its caller
  // would take what it has read for the whole.
  test(`a reply of HTTP/${version} without an end is reset when its host stops`, async (t) => {
    const length = 8 * 1024 * 1024;
    const started = await fakePath.start({
      billing: (_incoming, response) => {
        FRAMINGS.connection(response, "x".repeat(length));
      },
    }, { clock: fakePath.HASTY_CLOCK });
    const [host, port] = new URL(started.url).host.split(":");
    const socket = net.connect({
      host,
      port: Number(port),
      allowHalfOpen: true,
    });
    t.teardown(() => socket.destroy());
    socket.write(callerFixture.textOf({ ...CALL, version }));
    await new Promise((resolve) => socket.once("readable", resolve));
    await started.stop();
    let read = 0;
    const isWhole = new Promise<boolean>((resolve) => {
      socket.once("error", () => resolve(false));
      socket.once(
        "end",
        () => void connector.endsInOrder(socket).then(resolve),
      );
    });
    socket.on("data", (part) => read += part.length);
    t.false(await isWhole);
    t.true(read < length);
  });
}

// Guards against an orderly end of a stream that is broken off: in HTTP/1.0 that is
// the end of a whole one.
test("a stream of HTTP/1.0 is reset when its host stops in the middle", async (t) => {
  const started = await fakePath.start({
    "lm-pool@1": fakePath.generate({ stopAt: 1 }),
  }, { clock: fakePath.HASTY_CLOCK });
  const reply = callerFixture.send(new URL(started.url).host, {
    ...CALL,
    version: "1.0",
    path: "/v1/pipelines/short",
    body: JSON.stringify({ input: { text: "one two" }, stream: true }),
  });
  while (started.fleet["lm-pool@1"].calls() === 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  await new Promise((resolve) => setTimeout(resolve, 50));
  await started.stop();
  const { body, isComplete } = await reply;
  t.regex(body, /^event: token\ndata: [^\n]*\n\n$/);
  t.false(isComplete);
});
