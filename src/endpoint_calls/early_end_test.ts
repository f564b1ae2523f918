/** Answers without a length whose connection ends while a part of the request is
 * unread, over loopback.
 * @module */

import * as net from "node:net";
import * as timers from "node:timers/promises";
import type * as ava from "ava";
import test from "ava";
import * as undici from "undici";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import type * as calls from "./call.ts";
import * as connector from "./connector.ts";
import * as endpointClients from "./endpoint_client.ts";
import type * as exchange from "./exchange.ts";
import * as exchangeFixture from "./exchange_fixture.ts";
import * as fixture from "./fixture.ts";
import * as uploadFixture from "./upload_fixture.ts";

const KILOBYTE = 1024;
/** Bytes of uploads: an endpoint's system receives the smallest ones whole, and Node
 * reads up to 128 KB before a pause takes effect. */
const UPLOADS = [5, 100, 256, 1024, 4096].map((size) => size * KILOBYTE);
const MAX_READ_BYTES = 128 * KILOBYTE;
/** Milliseconds of the shortest of some calls over loopback. */
const MAX_SHORT_MS = 40;
const ANSWER = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart";

/** Ends behind an answer to a request that is not read. */
const ENDS: Record<string, uploadFixture.End> = {
  "an end and a reset": (socket) => {
    socket.end(() => socket.resetAndDestroy());
  },
  "an end and a reset 5 ms later": async (socket) => {
    socket.end();
    await timers.setTimeout(5);
    socket.resetAndDestroy();
  },
  "an end and a reset 20 ms later": async (socket) => {
    socket.end();
    await timers.setTimeout(20);
    socket.resetAndDestroy();
  },
  "a reset": (socket) => socket.resetAndDestroy(),
  "a close": (socket) => socket.destroySoon(),
};

const ORDERLY_ENDS: Record<string, uploadFixture.End> = {
  "an end": (socket) => socket.end(),
  "a close": (socket) => socket.destroySoon(),
};

/** Starts an endpoint; resolves with its base URL. */
async function startEndpoint(
  t: ava.ExecutionContext,
  { answer = ANSWER, ...options }: Partial<uploadFixture.EndpointOptions> & {
    end: uploadFixture.End;
  },
): Promise<string> {
  return `http://${await uploadFixture.startEndpoint(t, {
    answer,
    ...options,
  })}`;
}

/** A dispatcher with one connection to each endpoint. */
function createDispatcher(t: ava.ExecutionContext): undici.Agent {
  const dispatcher = new undici.Agent({
    connect: connector.create({ timeout: 500 }),
    connections: 1,
  });
  t.teardown(() => dispatcher.destroy());
  return dispatcher;
}

/** Sends an upload; resolves with the whole answer, or why there is none. */
async function upload(
  t: ava.ExecutionContext,
  url: string,
  { size, dispatcher = createDispatcher(t) }: {
    size: number;
    dispatcher?: exchange.Dispatcher;
  },
): Promise<string> {
  const result = await exchangeFixture.send(dispatcher, { url, size });
  return "reason" in result
    ? `${result.reason}, ${result.outcome}`
    : `whole: ${result.body}`;
}

const ROUNDS = 5;

/** Milliseconds until another process listens at the address of an endpoint. */
const REPLACEMENT_MS = 40;

// Guards against the part of an answer that counts as the whole: while its end waits,
// another process may listen at the address of an endpoint that has stopped.
test.serial("an answer to an upload is not complete if its endpoint is replaced", async (t) => {
  const replace: uploadFixture.End = (socket, server) => {
    // Line breaks behind the end are no requests.
    if (!server.listening) return;
    const { port } = server.address() as net.AddressInfo;
    server.close();
    socket.end();
    const next = net.createServer((caller) => {
      caller.on("error", () => {});
      caller.on("end", () => caller.end()).resume();
    });
    t.teardown(() => next.close());
    setTimeout(() => next.listen(port, "127.0.0.1"), REPLACEMENT_MS);
  };
  for (const size of UPLOADS) {
    const url = await startEndpoint(t, { readsAll: true, end: replace });
    t.is(await upload(t, url, { size }), "broken-stream, unknown", `${size}`);
  }
});

for (const [name, end] of Object.entries(ENDS)) {
  // Guards against the part of an answer that counts as the whole: an endpoint that
  // closes a connection with unread input ends it, and resets it on what comes then.
  test(`an answer to an unread upload is not complete with ${name}`, async (t) => {
    const url = await startEndpoint(t, { end });
    for (const size of UPLOADS) {
      // Closed behind a request that was read, a connection is not reset.
      if (name === "a close" && size <= MAX_READ_BYTES) continue;
      for (let round = 0; round < ROUNDS; round++) {
        const answer = await upload(t, url, { size });
        t.true(
          ["broken-stream, unknown", "connection, unknown"].includes(answer),
          `${size} bytes: ${answer}`,
        );
      }
    }
  });
}

// Guards against the same behind heads that are no answer.
test("an answer behind an interim head is not complete before the upload is received", async (t) => {
  const answer = `HTTP/1.1 103 Early Hints\r\n\r\n${ANSWER}`;
  const end = ENDS["an end and a reset 5 ms later"];
  const url = await startEndpoint(t, { answer, end });
  for (const size of UPLOADS) {
    t.is(await upload(t, url, { size }), "broken-stream, unknown", `${size}`);
  }
});

/** Makes a call of the project's own protocol with an upload; resolves with the
 * answer's body, or why there is none. */
function callWith(
  t: ava.ExecutionContext,
  url: string,
  { size }: { size: number },
): Promise<string> {
  const clock = runtime.systemClock;
  const client = endpointClients.EndpointClient.create({
    clock,
    metrics: telemetry.noMetrics,
  });
  t.teardown(() => client.close());
  const body = Buffer.alloc(size, "x");
  const call = fixture.call(url, {
    deadline: clock.now() + 3000,
    input: { ...fixture.INPUTS.plain, body },
  });
  return new Promise((resolve) => {
    client.call(call, {
      token() {},
      answer: (result) =>
        resolve(`whole: ${Buffer.from((result as calls.PlainResult).body)}`),
      fail: ({ reason, outcome }) => resolve(`${reason}, ${outcome}`),
    });
  });
}

// Guards against the same in calls of the project's own protocol.
test("an answer in the project's own protocol is not complete before the upload is received", async (t) => {
  const ids = Object.entries(fixture.ECHO).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  const answer = `HTTP/1.1 200 OK\r\n${ids.join("")}\r\npart`;
  const early = ENDS["an end and a reset 5 ms later"];
  const earlyUrl = await startEndpoint(t, { answer, end: early });
  for (const size of UPLOADS) {
    const got = await callWith(t, earlyUrl, { size });
    t.is(got, "broken-stream, unknown", `${size} bytes`);
  }
  const end = ORDERLY_ENDS["a close"];
  const url = await startEndpoint(t, { answer, end, readsAll: true });
  t.is(await callWith(t, url, { size: 1024 * KILOBYTE }), "whole: part");
});

// Guards against the same where the endpoint ends only its side: no reset follows,
// and the rest of the upload stays in the buffers of the system.
test("an answer is not complete when its connection ends before the upload is received", async (t) => {
  const url = await startEndpoint(t, { end: (socket) => socket.end() });
  for (let round = 0; round < ROUNDS; round++) {
    for (const size of [1024 * KILOBYTE, 4096 * KILOBYTE]) {
      t.is(await upload(t, url, { size }), "broken-stream, unknown", `${size}`);
    }
  }
});

for (const [name, end] of Object.entries(ORDERLY_ENDS)) {
  // Guards against whole answers that are lost.
  test(`an answer to an upload that was read is complete with ${name}`, async (t) => {
    const url = await startEndpoint(t, { end, readsAll: true });
    for (const size of [0, 1, ...UPLOADS]) {
      for (let round = 0; round < ROUNDS; round++) {
        t.is(await upload(t, url, { size }), "whole: part", `${size} bytes`);
      }
    }
  });
}

// Guards against short calls that all take as long as a reset behind their answers
// might.
test("an answer to a short request does not wait for a reset", async (t) => {
  const url = await startEndpoint(t, { end: ORDERLY_ENDS["an end"] });
  let shortest = Infinity;
  for (let round = 0; round < 20; round++) {
    const startedAt = performance.now();
    t.is(await upload(t, url, { size: KILOBYTE }), "whole: part");
    shortest = Math.min(shortest, performance.now() - startedAt);
  }
  t.true(shortest < MAX_SHORT_MS, `${shortest} ms`);
});

// Guards against refusals that are lost: an answer that states its end is complete
// however much of its request was read.
test("an answer with an end of its own is complete before its request is read", async (t) => {
  const answer = "HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n" +
    "Content-Length: 4\r\n\r\npart";
  for (const name of ["an end and a reset 20 ms later", "an end"]) {
    const end = ENDS[name] ?? ORDERLY_ENDS[name];
    const url = await startEndpoint(t, { answer, end });
    for (const size of UPLOADS) {
      t.is(await upload(t, url, { size }), "whole: part", `${name}, ${size}`);
    }
  }
});

/** Bytes of bodies in the order in which an endpoint receives them, with the heads
 * that come between. */
function bodiesOf(text: string): { length: number; isPure: boolean }[] {
  const bodies = [];
  for (let pos = 0; pos < text.length;) {
    const start = text.indexOf("\r\n\r\n", pos) + 4;
    const [, count = 0] = /content-length: (\d+)/i.exec(
      text.slice(pos, start),
    ) ?? [];
    const body = text.slice(start, start + Number(count));
    bodies.push({ length: body.length, isPure: /^x*$/.test(body) });
    pos = start + Number(count);
  }
  return bodies;
}

// Guards against requests whose bytes come where the rest of an earlier body is due:
// an endpoint may answer before it has read a body, keep the connection and read on.
test("the rest of an upload comes before the next request on its connection", async (t) => {
  const size = 8 * 1024 * KILOBYTE;
  const received: string[] = [];
  const server = net.createServer((socket) => {
    const index = received.push("") - 1;
    let isAnswered = false;
    socket.on("error", () => {});
    socket.on("data", async (part) => {
      received[index] += part.toString("latin1");
      if (isAnswered) return;
      isAnswered = true;
      socket.pause();
      const answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart";
      socket.write(answer);
      await timers.setTimeout(100);
      socket.resume();
      socket.on("data", () => {
        const [first, second] = bodiesOf(received[index]);
        if (first.length === size && second?.length === 10) {
          socket.write(answer);
        }
      });
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const url = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const dispatcher = createDispatcher(t);
  t.is(await upload(t, url, { size, dispatcher }), "whole: part");
  t.is(await upload(t, url, { size: 10, dispatcher }), "whole: part");
  for (const text of received) {
    t.true(bodiesOf(text).every(({ isPure }) => isPure));
  }
});
