/** Tests of requests whose bodies are refused while they arrive.
 * @module */

import * as net from "node:net";
import type * as ava from "ava";
import test from "ava";
import * as fixture from "./fixture.ts";

/** Milliseconds of the hosts' clock in which a refusal comes. */
const REFUSAL_MS = 5000;
const LIMIT = 4096;

/** Starts a host whose endpoint counts its calls. */
async function startHost(t: ava.ExecutionContext) {
  const calls: string[] = [];
  const host = await fixture.startHost(t, {}, (request, response) => {
    calls.push(`${request.method}`);
    request.resume().once("end", () => {
      response.writeHead(200, { "test-signature": "s" }).end("done");
    });
  });
  const server = await fixture.startServer(t, host);
  return { calls, port: server.port, host };
}

/** Sends bytes on a connection of its own; resolves with what is answered until
 * the host closes its side. */
function send(
  t: ava.ExecutionContext,
  port: number,
  bytes: string,
): Promise<string> {
  const socket = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  t.teardown(() => void socket.destroy());
  socket.write(bytes);
  return new Promise((resolve) => {
    let text = "";
    socket.on("data", (part) => text += part);
    socket.once("end", () => resolve(text));
    socket.on("error", (error) => resolve(`${text}${error}`));
    fixture.clock.after(REFUSAL_MS, () => resolve(`${text} late`));
  });
}

function headOf(headers: string): string {
  return `POST /a/x HTTP/1.1\r\nhost: host.example\r\n${headers}\r\n\r\n`;
}

// Guards against hosts that read a body up to the limit which is announced to be
// above it.
test("a body that is announced above the limit is refused unread", async (t) => {
  const { calls, port } = await startHost(t);
  const text = await send(t, port, headOf("content-length: 1000000000"));
  t.regex(text, /^HTTP\/1\.1 413 .*connection: close/s);
  t.deepEqual(calls, []);
});

// Guards against a reset that discards the refusal of a caller that still sends.
test("a caller that sends on gets its refusal and an orderly end", async (t) => {
  const { calls, port } = await startHost(t);
  const chunk = `${LIMIT.toString(16)}\r\n${"x".repeat(LIMIT)}\r\n`;
  const head = headOf("transfer-encoding: chunked");
  const text = await send(t, port, head + chunk.repeat(500));
  t.regex(text, /^HTTP\/1\.1 413 .*"reason":"too-large"\}$/s);
  t.deepEqual(calls, []);
});

test("a body that arrives in pieces is served whole", async (t) => {
  const bodies: number[] = [];
  const host = await fixture.startHost(t, {}, (request, response) => {
    let length = 0;
    request.on("data", (part) => length += part.length).once("end", () => {
      bodies.push(length);
      response.writeHead(200, { "test-signature": "s" }).end("done");
    });
  });
  const body = "x".repeat(900_000);
  const { status } = await host.ask({ method: "POST", body });
  t.deepEqual([status, bodies], [200, [900_000]]);
});

// Guards against callers that are answered nothing, or a promise that is not kept,
// when a host has no memory left for their bodies.
test("a body that finds no memory is refused as not run, and a later one served", async (t) => {
  const calls: number[] = [];
  const host = await fixture.startHost(t, {}, (request, response) => {
    calls.push(1);
    request.resume().once("end", () => {
      response.writeHead(200, { "test-signature": "s" }).end("done");
    });
  });
  host.limitBodies(40_000);
  const [address, port] = host.gatewayAddress.split(":");
  const sockets = [1, 2].map(() => net.connect(Number(port), address));
  t.teardown(() => sockets.forEach((socket) => socket.destroy()));
  const stalled = new Promise<string>((resolve) => {
    sockets[0].once("data", (part) => resolve(`${part}`));
  });
  sockets[0].write(headOf("content-length: 100") + "x");
  await new Promise((resolve) =>
    sockets[0].once("drain", resolve).write("x", resolve)
  );
  await fixture.pause(50);
  sockets[1].write(headOf("content-length: 100") + "x");
  await fixture.pause(50);
  const answer = await host.ask({ method: "POST", body: "y" });
  t.is(answer.status, 200);
  const refusal = await stalled;
  t.regex(refusal, /^HTTP\/1\.1 503 .*retry-after: 1\r\n.*"no-memory"/s);
  t.deepEqual(calls, [1]);
});
