/** @module */

import type * as http from "node:http";
import type * as ava from "ava";
import test from "ava";
import * as undici from "undici";
import * as gatewayFixture from "../gateway/fixture.ts";
import type * as protocols from "../gateway/protocol.ts";
import * as partialAnswers from "../endpoint_calls/partial_answers.ts";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as batchCalls from "./batch_call.ts";
import * as fixture from "./fixture.ts";

const PROTOCOL = {
  batchCall: () => ({ method: "POST", path: "/", headers: {}, body: "" }),
  decodeReply: (status: number) => ({ status }),
  decodeItemResults: (body: Buffer) =>
    body.length === 0 ? undefined : [{ type: "made", handle: `${body}` }],
} as unknown as protocols.GatewayProtocol;

/** Calls an endpoint that handles the call with `handle`. */
async function callEndpoint(
  t: ava.ExecutionContext,
  { handle, memory }: { handle: http.RequestListener; memory?: number },
) {
  const dispatcher = new undici.Agent({ pipelining: 1 });
  t.teardown(() => dispatcher.destroy());
  const partial = partialAnswers.PartialAnswers.create({
    metrics: telemetry.noMetrics,
    memory,
    afterTurn: setImmediate,
  });
  const lines: object[] = [];
  const [worker] = fixture.workersAt({ hall: 1 });
  const address = await gatewayFixture.listen(t, handle);
  const assignment = {
    worker: { ...worker, address },
    tasks: fixture.tasks("a", 1),
  };
  const outcome = await batchCalls.call(assignment, {
    dispatcher,
    clock: runtime.systemClock,
    protocol: PROTOCOL,
    logger: {
      ...telemetry.noLogger,
      warn: (details) => void lines.push(details),
    },
    metrics: telemetry.noMetrics,
    partialAnswers: partial,
    service: "maps",
    timeout: 10_000,
  });
  return { outcome, lines, sum: partial.sum };
}

/** Answers with chunks of one size until the caller closes. */
function answerWithoutEnd(
  response: http.ServerResponse,
  chunkBytes: number,
): void {
  const socket = response.socket!;
  const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
  const part = chunk.repeat(Math.ceil(64 * 1024 / chunk.length));
  const write = () => {
    let hasRoom = true;
    while (hasRoom && !socket.destroyed) hasRoom = socket.write(part);
  };
  socket.on("drain", write).on("error", () => {});
  socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  write();
}

test("the results of a whole answer are returned", async (t) => {
  const { outcome, sum } = await callEndpoint(t, {
    handle(_, response) {
      response.write("a");
      setTimeout(() => response.end("b"), 10);
    },
  });
  const results = [{ type: "made", handle: "ab" }];
  t.deepEqual(outcome, { type: "results", results } as never);
  t.is(sum, 0);
});

// Guards against an endpoint without an end that fills the memory of the host
// that computes items for others: chunks of one byte take some hundred times as
// much.
for (
  const { chunkBytes, scope, memory } of [
    { chunkBytes: 8000, scope: "answer" },
    { chunkBytes: 1, scope: "answer" },
    { chunkBytes: 1, scope: "host", memory: 4_000_000 },
  ]
) {
  test(`an answer without an end is ended by the bound of its ${scope}, chunks of ${chunkBytes}`, async (t) => {
    const { outcome, lines, sum } = await callEndpoint(t, {
      handle: (_, response) => answerWithoutEnd(response, chunkBytes),
      memory,
    });
    t.deepEqual(outcome, { type: "failed", cause: "broken" });
    const [line] = lines as { heldBytes: number; bound: number }[];
    t.like(line, { service: "maps", scope });
    t.true(line.heldBytes <= 3 * line.bound, "ended soon");
    t.is(sum, 0);
  });
}
