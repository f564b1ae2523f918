/** @module */

import type * as http from "node:http";
import * as timers from "node:timers/promises";
import type * as ava from "ava";
import test from "ava";
import * as undici from "undici";
import * as gatewayFixture from "../gateway/fixture.ts";
import type * as protocols from "../gateway/protocol.ts";
import * as connections from "../endpoint_calls/connections.ts";
import * as partialAnswers from "../endpoint_calls/partial_answers.ts";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as batchCalls from "./batch_call.ts";
import * as fixture from "./fixture.ts";
import * as receivedHandles from "./received_handles.ts";

const PROTOCOL = {
  batchCall: () => ({ method: "POST", path: "/", headers: {}, body: "" }),
  decodeReply: (status: number, headers: Record<string, string>) => ({
    status,
    isNotRun: headers["not-run"] !== undefined,
  }),
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
    receivedHandles: receivedHandles.ReceivedHandles.create(),
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

// Guards against items that are requested again, or elsewhere, at once, since an
// answer with a status that HTTP does not define promises that they did not run.
test("an answer with an invalid status promises nothing", async (t) => {
  for (const status of ["000", "099", "600", "999"]) {
    const { outcome } = await callEndpoint(t, {
      handle: ({ socket }) =>
        void socket.write(
          `HTTP/1.1 ${status} Odd\r\nNot-Run: 1\r\nContent-Length: 1\r\n\r\na`,
        ),
    });
    t.deepEqual(outcome, { type: "failed", cause: "broken" }, status);
  }
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

/** Protocol whose calls and results are JSON. */
const JSON_PROTOCOL = {
  ...PROTOCOL,
  batchCall: (_: string, items: readonly protocols.ItemRequest[]) => ({
    method: "POST",
    path: "/",
    headers: {},
    body: JSON.stringify(items),
  }),
  decodeReply: (status: number) => ({ status, isNotRun: status === 503 }),
  decodeItemResults: (body: Buffer) =>
    body.length === 0 ? undefined : JSON.parse(`${body}`),
} as unknown as protocols.GatewayProtocol;

interface Answer {
  readonly status: number;
  readonly text: string;
}

/** An endpoint that gives each item a handle with the name of its request. It
 * answers the first call with `first`, if given, and sends that answer once
 * more as the second call arrives on the connection. */
function createFaultyEndpoint(first?: Answer): http.RequestListener {
  let callCount = 0;
  return async (request, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk);
    const items = JSON.parse(`${Buffer.concat(chunks)}`) as {
      request: string;
    }[];
    const results = items.map((item) => ({
      type: "made",
      handle: `of ${item.request}`,
    }));
    const made = { status: 200, text: JSON.stringify(results) };
    const answer = callCount++ === 0 ? first ?? made : made;
    const { status, text } = answer;
    const { length } = text;
    response.writeHead(status, { "content-length": length }).end(text);
    if (callCount > 1) return;
    const { socket } = request;
    socket.once("data", () =>
      socket.write(
        `HTTP/1.1 ${status} X\r\nContent-Length: ${length}\r\n\r\n${text}`,
      ));
  };
}

/** Handles, or failures, of calls for the requests `a`, `b` and `c`, one after
 * the other. */
async function callInTurn(
  t: ava.ExecutionContext,
  handle: http.RequestListener,
) {
  const dispatcher = connections.Connections.create({
    pool: { pipelining: 1 },
    clock: runtime.systemClock,
    reuse: {
      epochOf: () => "",
      isSilent: () => false,
      suspect() {},
      forget() {},
    },
  });
  t.teardown(() => dispatcher.destroy());
  const [worker] = fixture.workersAt({ hall: 1 });
  const address = await gatewayFixture.listen(t, handle);
  const received = receivedHandles.ReceivedHandles.create();
  const outcomes: string[] = [];
  for (const request of ["a", "b", "c"]) {
    const tasks = fixture.tasks(request, 1);
    const outcome = await batchCalls.call(
      { worker: { ...worker, address }, tasks },
      {
        dispatcher,
        clock: runtime.systemClock,
        protocol: JSON_PROTOCOL,
        logger: telemetry.noLogger,
        metrics: telemetry.noMetrics,
        partialAnswers: { update() {}, remove() {} },
        service: "maps",
        receivedHandles: received,
        timeout: 10_000,
      },
    );
    const [result] = outcome.type === "results" ? outcome.results : [];
    outcomes.push(
      outcome.type === "failed"
        ? outcome.cause
        : result.type === "made"
        ? result.handle
        : result.failure,
    );
    // Lets the connection become idle, so that the next call uses it.
    await timers.setTimeout(10);
  }
  return outcomes;
}

const LATE_COPIES: [string, Answer | undefined, string[]][] = [
  ["an answer with results", undefined, ["of a", "broken", "of c"]],
  ["a rejection", { status: 503, text: "" }, ["full", "of b", "of c"]],
  [
    "an answer without results",
    { status: 200, text: '[{"type":"failed","failure":"late"}]' },
    ["late", "of b", "of c"],
  ],
  [
    "an answer that is not understood",
    { status: 200, text: "" },
    ["broken", "of b", "of c"],
  ],
];

// Guards against results of another request: a copy of an earlier answer that a
// faulty endpoint sends where the next one is due.
for (const [name, first, expected] of LATE_COPIES) {
  test(`a late copy of ${name} is not the answer to another call`, async (t) => {
    t.deepEqual(await callInTurn(t, createFaultyEndpoint(first)), expected);
  });
}
