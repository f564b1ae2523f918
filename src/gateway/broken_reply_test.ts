/** Replies that are broken off, as their callers see it.
 * @module */

import * as http from "node:http";
import type * as ava from "ava";
import test from "ava";
import type * as configurations from "../configuration/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as callerFixture from "./caller_fixture.ts";
import * as fixture from "./fixture.ts";
import * as replies from "./reply.ts";

const ROUNDS = 20;
const EVENT = "id: 1\ndata: 1\n\n";

/** What a caller gets of a stream that is broken off: a part of it without its end,
 * or a refusal. */
const BROKEN = {
  "1.0": { status: 502, framing: "length" },
  "1.1": { status: 200, body: EVENT, framing: "chunked", isComplete: false },
} as const;

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
    t.like(reply, BROKEN[version]);
  });
}

// Guards against an end that a caller takes for that of a whole stream: one on libuv
// takes a reset that comes with the last bytes for an orderly end.
test("a caller on Node sees that a stream is broken off", async (t) => {
  const address = await fixture.listen(t, (request, response) => {
    const reply = replies.Reply.create({
      request,
      response,
      unreadReplies: { update() {}, remove() {} },
      closesConnection: () => true,
      isLast: () => true,
      onEarlyRefusal() {},
      onCloseDelimited() {},
      onAbortUnread() {},
    });
    const head = { status: 200, isNotRun: false, isMisdirected: false };
    reply.startStream({ ...head, lacksInput: false, headers: {} });
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
      const caller = http.request({ host, port, path: "/a/x" });
      caller.on("response", (response) => {
        response.on("data", (part) => text += part);
        response.on("end", () => resolve("end"));
        response.on("error", () => resolve(`${text}error`));
      });
      caller.end();
    });
    t.is(seen, `${EVENT}${EVENT}error`);
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
    t.like(callerFixture.parse(second), { framing: "chunked", body: EVENT });
    t.false(callerFixture.parse(second, { connectionEnd }).isComplete);
  });
}

/** Memory of a host, of which unread bytes may take an eighth, and a reply that
 * takes more beside what the buffers of the system take. */
const MEMORY = 8_000_000;
/** Milliseconds in which an endpoint sees that its call has ended. */
const CALL_END_MS = 500;
const LARGE_REPLY = Array.from(
  { length: 1_000_000 },
  (_, id) => `id: ${id}\ndata: ${id}\n\n`,
).join("");

/** Asks for a large answer without a length, of which nothing is read until the host
 * has aborted or refused it. */
async function askUnread(
  t: ava.ExecutionContext,
  { kind, version }: {
    kind: configurations.Route["kind"];
    version: "1.0" | "1.1";
  },
): Promise<callerFixture.RawReply> {
  const host = await fixture.startHost(
    t,
    { kind, objective: 1000, timeout: 5000, stages: [] },
    (_, response) => {
      response.useChunkedEncodingByDefault = false;
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
  return await callerFixture.send(
    host.gatewayAddress,
    { version },
    { readAfter: aborted },
  );
}

// Guards against an orderly end of a reply that is aborted as its caller has not
// read it.
for (
  const { kind, version } of [
    { kind: "streaming", version: "1.1" },
    { kind: "unsafe", version: "1.0" },
    { kind: "unsafe", version: "1.1" },
  ] as const
) {
  test(`an unread ${kind} reply is reset in HTTP/${version}`, async (t) => {
    const { status, isComplete, connectionEnd } = await askUnread(t, {
      kind,
      version,
    });
    t.deepEqual(
      { status, isComplete, connectionEnd },
      { status: 200, isComplete: false, connectionEnd: "reset" },
    );
  });
}

// Guards against a connection that closes without any reply, as its host has no
// memory for a stream that it holds until its end.
test("a held stream that takes too much memory is refused", async (t) => {
  const { status, isComplete } = await askUnread(t, {
    kind: "streaming",
    version: "1.0",
  });
  t.deepEqual({ status, isComplete }, { status: 502, isComplete: true });
});

// Guards against a held stream without an end, at a host without a given memory.
test("a held stream takes no more memory than a plain answer may", async (t) => {
  let hasClosed = false;
  const event = (id: number) => `id: ${id}\ndata: ${"x".repeat(1_000_000)}\n\n`;
  const host = await fixture.startHost(
    t,
    { kind: "streaming", objective: 1000, timeout: 20_000, stages: [] },
    async (_, response) => {
      response.writeHead(200, { "test-signature": "s" });
      response.once("close", () => hasClosed = true);
      for (let id = 1; !hasClosed; id++) {
        await new Promise((resolve) => response.write(event(id), resolve));
      }
    },
  );
  const { status } = await callerFixture.send(host.gatewayAddress, {
    version: "1.0",
  });
  t.is(status, 502);
  // Its call ends too.
  await fixture.pause(CALL_END_MS);
  t.true(hasClosed);
});
