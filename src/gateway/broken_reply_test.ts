/** Replies that are broken off, as their callers see it.
 * @module */

import * as net from "node:net";
import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as callerFixture from "./caller_fixture.ts";
import * as fixture from "./fixture.ts";
import * as replies from "./reply.ts";

const ROUNDS = 20;
const EVENT = "id: 1\ndata: 1\n\n";

// Guards against streams that end in order when they are broken off: in HTTP/1.0
// that is the end of a whole one.
for (const version of ["1.0", "1.1"] as const) {
  test(`a stream that is broken off does not look complete in HTTP/${version}`, async (t) => {
    const host = await fixture.startHost(
      t,
      { kind: "streaming", objective: 1000, stages: [] },
      (_, response) => {
        response.writeHead(200, { "test-signature": "s" });
        response.write(EVENT);
        fixture.clock.after(50, () => response.destroy());
      },
    );
    const reply = await callerFixture.send(host.gatewayAddress, { version });
    t.like(reply, { status: 200, body: EVENT, isComplete: false });
  });
}

// Guards against a reset that comes with the last bytes: a caller on libuv takes
// both for the rest of the reply and its orderly end.
test("a caller on Node sees the reset of a stream that is broken off", async (t) => {
  const address = await fixture.listen(t, (request, response) => {
    const reply = replies.Reply.create({
      request,
      response,
      clock: runtime.systemClock,
      unreadReplies: { update() {}, remove() {} },
      closesConnection: () => true,
      isLast: () => true,
      onCloseDelimited() {},
      onAbortUnread() {},
    });
    const head = { status: 200, isNotRun: false, isMisdirected: false };
    reply.startStream({ ...head, lacksInput: false, headers: {} }, {
      framing: "connection",
    });
    reply.write(Buffer.from(EVENT));
    setImmediate(() => {
      reply.write(Buffer.from(EVENT));
      reply.abort();
    });
  });
  const [host, port] = address.split(":");
  for (let round = 0; round < ROUNDS; round++) {
    const seen = await new Promise<string>((resolve) => {
      let text = "";
      const socket = net.connect({ host, port: Number(port) });
      socket.on("data", (part) => text += part);
      socket.on("end", () => resolve("end"));
      socket.on("error", ({ code }: NodeJS.ErrnoException) => {
        resolve(`${text.split("\r\n\r\n")[1]}${code}`);
      });
      socket.write(callerFixture.textOf({}));
    });
    t.is(seen, `${EVENT}${EVENT}ECONNRESET`);
  }
});

// Guards against a request that was passed on and gets no part of a reply, since
// its stream was broken off before that of the request before it had ended.
for (const framing of ["chunked", "connection"]) {
  test(`a stream that is broken off behind another reply is sent as far as it came: ${framing}`, async (t) => {
    const host = await fixture.startHost(
      t,
      { kind: "streaming", objective: 1000, stages: [], attempts: 1 },
      ({ url }, response) => {
        const isFirst = url === "/a/first";
        response.useChunkedEncodingByDefault = isFirst || framing === "chunked";
        response.writeHead(200, { "test-signature": "s" });
        response.write(EVENT);
        if (isFirst) fixture.clock.after(200, () => response.end());
        else fixture.clock.after(50, () => response.socket?.resetAndDestroy());
      },
    );
    const server = await fixture.startServer(t, host);
    const { text, connectionEnd } = await callerFixture.exchange(
      `127.0.0.1:${server.port}`,
      callerFixture.textOf({ path: "/a/first" }) +
        callerFixture.textOf({ path: "/a/second" }),
    );
    const [first, second] = text.split(/(?=HTTP\/1\.1 )/);
    t.like(callerFixture.parse(first), { body: EVENT, isComplete: true });
    t.like(callerFixture.parse(second), { framing, body: EVENT });
    t.false(callerFixture.parse(second, { connectionEnd }).isComplete);
  });
}

/** Memory of a host, of which unread bytes may take an eighth, and a reply that
 * takes more beside what the buffers of the system take. */
const MEMORY = 8_000_000;
const LARGE_REPLY = Array.from(
  { length: 1_000_000 },
  (_, id) => `id: ${id}\ndata: ${id}\n\n`,
).join("");

// Guards against an orderly end of a reply that is aborted as its caller has not
// read it.
for (
  const { kind, version, isChunked } of [
    { kind: "streaming", version: "1.0", isChunked: true },
    { kind: "streaming", version: "1.1", isChunked: false },
    { kind: "unsafe", version: "1.0", isChunked: false },
    { kind: "unsafe", version: "1.1", isChunked: false },
  ] as const
) {
  test(`an unread ${kind} reply without an end of its own is reset in HTTP/${version}`, async (t) => {
    const host = await fixture.startHost(
      t,
      { kind, objective: 1000, timeout: 5000, stages: [] },
      (_, response) => {
        response.useChunkedEncodingByDefault = isChunked;
        response.writeHead(200, { "test-signature": "s" });
        response.end(LARGE_REPLY);
      },
    );
    fixture.distinguishResets(t, host);
    let markAborted = () => {};
    const aborted = new Promise<void>((resolve) => markAborted = resolve);
    const logger = { ...telemetry.noLogger, warn: () => markAborted() };
    Object.assign(host.context, { logger });
    host.limitMemory(MEMORY);
    const { status, isComplete, connectionEnd } = await callerFixture.send(
      host.gatewayAddress,
      { version },
      { readAfter: aborted },
    );
    t.deepEqual(
      { status, isComplete, connectionEnd },
      { status: 200, isComplete: false, connectionEnd: "reset" },
    );
  });
}
