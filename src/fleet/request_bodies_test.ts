import type * as http from "node:http";
import * as stream from "node:stream";
import test from "ava";
import * as telemetry from "../telemetry/mod.ts";
import * as requestBodies from "./request_bodies.ts";

/** A request whose body the test writes. */
function requestOf(headers: http.IncomingHttpHeaders = {}) {
  const body = new stream.PassThrough();
  const socket = { pause() {}, resume() {} };
  const request = Object.assign(body, { headers, socket });
  return { body, request: request as unknown as http.IncomingMessage };
}

function bodiesOf(options: { maxBytes: number; otherBytes?: number }) {
  const { maxBytes, otherBytes = 0 } = options;
  return requestBodies.RequestBodies.create({
    metrics: telemetry.noMetrics,
    maxBytes,
    otherBytes: () => otherBytes,
    afterTurn: setImmediate,
  });
}

// Guards against callers that read slowly and so keep out all others.
test("bodies have a part of the bytes whatever else is held", async (t) => {
  const bodies = bodiesOf({ maxBytes: 200_000, otherBytes: 1_000_000 });
  const results = ["a", "b", "c"].map((text) => {
    const { body, request } = requestOf();
    const read = bodies.read(request, { maxBytes: 1000 });
    body.end(text);
    return read.result;
  });
  t.deepEqual((await Promise.all(results)).map(String), ["a", "b", "c"]);
});

test("what is held elsewhere is taken off the bytes of bodies", async (t) => {
  const bodies = bodiesOf({ maxBytes: 200_000, otherBytes: 100_000 });
  const [first, second] = [requestOf(), requestOf()];
  const stalled = bodies.read(first.request, { maxBytes: 90_000 });
  first.body.write("x".repeat(70_000));
  await new Promise(setImmediate);
  const read = bodies.read(second.request, { maxBytes: 90_000 });
  second.body.end("y");
  t.is(String(await read.result), "y");
  t.is(await stalled.result, "no-memory");
  t.true(stalled.evictedBytes! > 70_000);
});

test("a body is held until its request ends, and nothing afterwards", async (t) => {
  const bodies = bodiesOf({ maxBytes: 1_000_000 });
  const { body, request } = requestOf();
  const read = bodies.read(request, { maxBytes: 1000 });
  body.end("x".repeat(500));
  await read.result;
  t.true(bodies.sum >= 1000);
  read.discard();
  t.is(bodies.sum, 0);
  const late = requestOf();
  const discarded = bodies.read(late.request, { maxBytes: 1000 });
  discarded.discard();
  late.body.end("x");
  await new Promise(setImmediate);
  t.is(bodies.sum, 0);
});
