/** Tests of answers that are incomplete for long, or have no end.
 * @module */

import type * as http from "node:http";
import type * as ava from "ava";
import test from "ava";
import type * as configurations from "../configuration/mod.ts";
import * as quarantineFixture from "../quarantine/fixture.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as fixture from "./fixture.ts";

const MEGABYTE = 1_000_000;
const FILL = Buffer.alloc(64 * 1024, "x");
const SIGNED = { "test-signature": "s" };

/** Writes without an end until the caller closes. */
function writeWithoutEnd(
  stream: NodeJS.WritableStream & { readonly destroyed?: boolean },
  part: Buffer | string = FILL,
): void {
  const write = () => {
    let hasRoom = true;
    while (hasRoom && !stream.destroyed) hasRoom = stream.write(part);
  };
  stream.on("drain", write);
  stream.on("error", () => {});
  write();
}

type Scope = "head" | "event" | "answer" | "host";

interface Scenario {
  readonly scope: Scope;
  readonly kind: configurations.Route["kind"];
  /** Memory of the host; none is given when absent. */
  readonly memory?: number;
  answer(response: http.ServerResponse): void;
}

const SCENARIOS: readonly Scenario[] = [
  {
    scope: "event",
    kind: "streaming",
    answer(response) {
      response.writeHead(200, SIGNED).write("data: ");
      writeWithoutEnd(response);
    },
  },
  {
    scope: "answer",
    kind: "safe",
    answer(response) {
      writeWithoutEnd(response.writeHead(200, SIGNED));
    },
  },
  {
    scope: "host",
    kind: "safe",
    memory: 80 * MEGABYTE,
    answer(response) {
      writeWithoutEnd(response.writeHead(200, SIGNED));
    },
  },
  {
    scope: "host",
    kind: "unsafe",
    memory: 80 * MEGABYTE,
    answer(response) {
      writeWithoutEnd(response.writeHead(200, SIGNED));
    },
  },
  {
    scope: "head",
    kind: "safe",
    answer({ socket }) {
      socket!.write("HTTP/1.1 200 OK\r\n");
      writeWithoutEnd(socket!, "x-fill: fill\r\n".repeat(100));
    },
  },
];

/** A host that records its warnings, crashes and counts of ended calls. */
async function startRecordingHost(
  t: ava.ExecutionContext,
  kind: Scenario["kind"],
  answer: http.RequestListener,
) {
  const route = { kind, objective: 1000, timeout: 20_000 };
  const host = await fixture.startHost(t, route, answer);
  const lines: object[] = [];
  const counts: unknown[] = [];
  const crashes: unknown[] = [];
  Object.assign(host.context, {
    logger: {
      ...telemetry.noLogger,
      warn: (details: object) => void lines.push(details),
    },
    metrics: {
      ...telemetry.noMetrics,
      count: (name: string, _: number, labels: object) => {
        if (name === "gateway.oversized") counts.push(labels);
      },
    },
    guard: {
      ...quarantineFixture.permissiveGuard(),
      recordCrash: (crash: unknown) => void crashes.push(crash),
    },
  });
  return { ...host, lines, counts, crashes };
}

// Guards against hosts that end for want of memory, against endpoints that get
// further requests although they answer nothing, and against sound requests that
// are quarantined because their endpoint answers without an end.
for (const { scope, kind, memory, answer } of SCENARIOS) {
  test(`an answer without an end is ended by the bound of its ${scope}: ${kind}`, async (t) => {
    const host = await startRecordingHost(
      t,
      kind,
      (_, response) => answer(response),
    );
    const partial = host.limitPartialAnswers(memory);
    const [endpoint] = host.pool.endpointsOf("desk");
    const before = endpoint.successRate;
    const { status } = await host.ask();
    t.is(status, 502);
    const [line] = host.lines as { heldBytes: number; bound: number }[];
    t.like(line, { request: "a-1", endpoint: "e-1", scope });
    t.true(line.heldBytes >= line.bound);
    t.true(line.heldBytes <= line.bound + 2 * MEGABYTE, "ended soon");
    t.deepEqual(host.counts[0], { service: "desk", scope });
    t.deepEqual(host.crashes, []);
    t.true(endpoint.successRate < before, "counts against the endpoint");
    t.is(partial.sum, 0);
  });
}

const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\ntest-signature: s\r\n" +
  "transfer-encoding: chunked\r\n";

/** Answers that are cut off or that no HTTP client can read, and whether their
 * endpoint may have crashed. */
const BROKEN_ANSWERS = [
  { name: "bytes that are no HTTP", text: "x".repeat(100), isCrash: false },
  {
    name: "a long series of interim heads",
    text: "HTTP/1.1 102 Processing\r\n\r\n".repeat(100),
    isCrash: false,
  },
  {
    name: "a chunk without a size",
    text: `${CHUNKED_HEAD}\r\nno size\r\n`,
    isCrash: false,
  },
  {
    name: "a head that is cut off",
    text: CHUNKED_HEAD,
    isCut: true,
    isCrash: true,
  },
  {
    name: "a chunk that is cut off",
    text: `${CHUNKED_HEAD}\r\n5\r\nab`,
    isCut: true,
    isCrash: true,
  },
  {
    name: "the last chunk of a connection that is cut off",
    text: `${CHUNKED_HEAD}connection: close\r\n\r\n5\r\nab`,
    isCut: true,
    isCrash: true,
  },
];

// Guards against sound requests that are quarantined because their endpoint sends
// bytes that are no answer, which one that has crashed does not, and against
// crashes that are not counted.
for (const { name, text, isCut, isCrash } of BROKEN_ANSWERS) {
  test(`${name} is ${isCrash ? "a" : "no"} sign of a crash`, async (t) => {
    const host = await startRecordingHost(t, "safe", ({ socket }) => {
      socket.write(text);
      if (isCut) socket.end();
    });
    const [endpoint] = host.pool.endpointsOf("desk");
    const before = endpoint.successRate;
    const { status } = await host.ask();
    t.is(status, 502);
    t.is(host.crashes.length > 0, isCrash);
    t.true(endpoint.successRate < before, "counts against the endpoint");
    t.deepEqual(host.counts, []);
  });
}

const SOUND_COUNT = 10;
const SOUND_ANSWER = Buffer.alloc(4 * MEGABYTE, "y");

/** Sends a large answer in parts, as a network does. */
function sendSoundAnswer(response: http.ServerResponse): void {
  response.writeHead(200, SIGNED);
  response.write(SOUND_ANSWER.subarray(0, 3 * MEGABYTE));
  const rest = SOUND_ANSWER.subarray(3 * MEGABYTE);
  fixture.clock.after(300, () => response.end(rest));
}

async function askForSoundAnswers(
  ask: fixture.Host["ask"],
): Promise<[status: number, length: number][]> {
  const asked = Array.from({ length: SOUND_COUNT }, () => ask());
  const answers = await Promise.all(asked);
  return answers.map(({ status, text }) => [status, text.length]);
}

const ALL_WHOLE = Array(SOUND_COUNT).fill([200, SOUND_ANSWER.length]);

// Guards against a bound that ends sound answers although the host has the
// memory for them.
test("many large answers at once are whole where memory suffices", async (t) => {
  const host = await startRecordingHost(
    t,
    "safe",
    (_, response) => sendSoundAnswer(response),
  );
  const partial = host.limitPartialAnswers(
    8 * (SOUND_COUNT + 1) * SOUND_ANSWER.length,
  );
  t.deepEqual(await askForSoundAnswers(host.ask), ALL_WHOLE);
  t.deepEqual([host.lines, partial.sum], [[], 0]);
});

// Guards against an endless answer that takes the sound ones with it: only the
// call that holds the most bytes is ended.
test("an answer without an end is ended before smaller ones", async (t) => {
  const host = await startRecordingHost(t, "unsafe", (request, response) => {
    if (request.method !== "PUT") return sendSoundAnswer(response);
    writeWithoutEnd(response.writeHead(200, SIGNED));
  });
  host.limitPartialAnswers(8 * (SOUND_COUNT + 4) * SOUND_ANSWER.length);
  const sound = askForSoundAnswers(host.ask);
  const endless = await host.ask({ method: "PUT" });
  t.is(endless.status, 502);
  t.deepEqual(await sound, ALL_WHOLE);
  t.is(host.lines.length, 1);
});
