/** Statuses of answers: those that HTTP does not define, interim ones, and those
 * of answers that have no body.
 * @module */

import type * as net from "node:net";
import type * as ava from "ava";
import test from "ava";
import type * as configurations from "../configuration/mod.ts";
import * as quarantineFixture from "../quarantine/fixture.ts";
import * as callerFixture from "./caller_fixture.ts";
import * as fixture from "./fixture.ts";
import * as framingFixture from "./framing_fixture.ts";

const BODY = "the body";
const EVENTS = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";

const FRAMINGS: Record<string, framingFixture.Framing> = {
  ...framingFixture.FRAMINGS,
  "no body": () => ["", ""],
};

/** How an endpoint answers a call. */
interface Answer {
  readonly status: string;
  /** True when absent. */
  readonly isSigned?: boolean;
  readonly framing?: string;
  readonly body?: string;
  /** Header lines beside the signature. */
  readonly lines?: string;
  /** Heads before the answer. */
  readonly interim?: string;
  /** Whether the connection ends behind the answer. */
  readonly isClosed?: boolean;
  /** Whether the body is sent after the head has been received. */
  readonly hasPause?: boolean;
}

function send(socket: net.Socket, answer: Answer): void {
  const { status, framing = "length", body = BODY, lines = "" } = answer;
  const { interim = "", isClosed = false, hasPause = false } = answer;
  const signature = answer.isSigned === false ? "" : "test-signature: s\r\n";
  const [framingLines, sent] = FRAMINGS[framing](body);
  const head = `${interim}HTTP/1.1 ${status} Odd\r\n${signature}` +
    `${lines}${framingLines}\r\n`;
  const finish = (text: string) => {
    if (isClosed) socket.end(text);
    else socket.write(text);
  };
  socket.on("error", () => {});
  if (!hasPause) return finish(head + sent);
  socket.write(head);
  fixture.clock.after(20, () => finish(sent));
}

/** Starts a host whose endpoint sends one answer after the other, the last one
 * again and again. */
async function startHost(
  t: ava.ExecutionContext,
  route: Partial<configurations.Route>,
) {
  let answers: readonly Answer[] = [];
  let calls = 0;
  const resumedAfter: unknown[] = [];
  const crashes: unknown[] = [];
  const host = await fixture.startHost(
    t,
    { objective: 1000, timeout: 20_000, stages: [], attempts: 3, ...route },
    ({ socket, headers }) => {
      resumedAfter.push(headers["test-resume-after"]);
      send(socket, answers[Math.min(calls++, answers.length - 1)]);
    },
  );
  fixture.distinguishResets(t, host);
  Object.assign(host.context, {
    guard: {
      ...quarantineFixture.permissiveGuard(),
      recordCrash: (crash: unknown) => void crashes.push(crash),
    },
  });
  /** Sends a request that is answered so. */
  const ask = async (...given: Answer[]) => {
    answers = given;
    calls = 0;
    resumedAfter.length = 0;
    crashes.length = 0;
    const reply = await callerFixture.send(host.gatewayAddress, {});
    return { reply, calls, crashes: crashes.length };
  };
  return { ...host, ask, resumedAfter };
}

/** Statuses that no answer may have, also those that can't be parsed. */
const INVALID_STATUSES = [
  ...["000", "001", "099", "600", "777", "999"],
  ...["1000", "65736", "-1", "20", "2e2"],
];

/** All ways to send an answer with a status. */
function variantsOf(status: string): Answer[] {
  return Object.keys(FRAMINGS).flatMap((framing) =>
    [false, true].flatMap((isClosed) =>
      [false, true].flatMap((hasPause) =>
        ["", "Connection: close\r\n", "test-not-run: 1\r\n"].map((lines) => ({
          status,
          framing,
          isClosed,
          hasPause,
          lines,
        }))
      )
    )
  );
}

for (const status of INVALID_STATUSES) {
  // Guards against callers who get such a status as an endpoint's answer, wait for
  // a call whose outcome is known, or whose sound requests are quarantined.
  test(`an answer with status ${status} is invalid`, async (t) => {
    const { ask } = await startHost(t, { kind: "unsafe" });
    for (const answer of variantsOf(status)) {
      const { reply, ...rest } = await ask(answer);
      const about = JSON.stringify(answer);
      t.is(reply.status, 502, about);
      t.false("test-signature" in reply.headers, about);
      t.deepEqual(rest, { calls: 1, crashes: 0 }, about);
    }
  });

  test(`a safe request is called again behind status ${status}`, async (t) => {
    const { ask } = await startHost(t, { kind: "safe" });
    for (const framing of Object.keys(FRAMINGS)) {
      const { reply, ...rest } = await ask(
        { status, framing },
        { status: "200" },
      );
      t.like(reply, { status: 200, body: BODY, isComplete: true }, framing);
      t.deepEqual(rest, { calls: 2, crashes: 0 }, framing);
    }
  });
}

for (const status of ["000", "099", "600", "999"]) {
  // Guards against a stream that ends with the body of an answer that is none.
  test(`a stream goes on behind status ${status}`, async (t) => {
    const { ask, resumedAfter } = await startHost(t, {
      kind: "streaming",
      resumable: true,
    });
    const [first, second] = EVENTS.split(/(?<=\n\n)/);
    for (const framing of Object.keys(FRAMINGS)) {
      const { reply } = await ask(
        { status: "200", body: `${first}id: 2\nda`, isClosed: true },
        { status, framing, body: second },
        { status: "200", body: second },
      );
      t.like(reply, { status: 200, body: EVENTS, isComplete: true }, framing);
      t.deepEqual(resumedAfter, [undefined, "1", "1"], framing);
    }
    const { reply } = await ask({ status, body: EVENTS });
    t.is(reply.status, 502);
  });
}

/** Heads that an endpoint may send before its answer. */
const INTERIM_HEADS = [
  "HTTP/1.1 102 Processing\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n",
  "HTTP/1.1 199 Odd\r\ntest-signature: s\r\n\r\n",
  "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n",
];

// Guards against an answer that is lost to the heads before it.
test("an answer behind interim heads reaches its caller", async (t) => {
  const { ask } = await startHost(t, { kind: "unsafe" });
  for (const interim of INTERIM_HEADS) {
    for (const framing of ["length", "chunked", "connection"]) {
      const isClosed = framing === "connection";
      const { reply, ...rest } = await ask(
        { status: "200", framing, isClosed, interim },
      );
      const about = JSON.stringify([interim, framing]);
      t.like(reply, { status: 200, body: BODY, isComplete: true }, about);
      t.deepEqual(rest, { calls: 1, crashes: 0 }, about);
    }
  }
});

const UPGRADE = "Connection: Upgrade\r\nUpgrade: odd\r\n";

// Guards against sound requests that are quarantined for an endpoint that sends
// heads which no call has asked for, and against calls that wait for their
// deadline.
for (
  const [name, answer] of Object.entries<Answer>({
    "an upgrade": { status: "101", lines: UPGRADE, framing: "no body" },
    "status 101 without an upgrade": { status: "101", framing: "no body" },
    "status 101 with a body": { status: "101", lines: UPGRADE },
    "status 100": { status: "100", framing: "no body" },
    "an interim head with a body": { status: "103" },
    "an interim head with chunks": { status: "199", framing: "chunked" },
  })
) {
  test(`a call that is answered with ${name} has an invalid answer`, async (t) => {
    const { ask } = await startHost(t, { kind: "unsafe" });
    for (const isClosed of [false, true]) {
      const { reply, ...rest } = await ask({ ...answer, isClosed });
      t.is(reply.status, 502);
      t.deepEqual(rest, { calls: 1, crashes: 0 });
    }
  });
}

const NOT_RUN = "test-not-run: 1\r\n";

// Guards against a request that runs twice, since its answer is a success and says
// that it did not run, and against a stream that is such an answer.
for (
  const [kind, calls] of [["unsafe", 1], ["safe", 3], ["streaming", 1]] as const
) {
  test(`a success that says it did not run is invalid: ${kind}`, async (t) => {
    const { ask } = await startHost(t, { kind });
    for (const status of ["200", "204", "299"]) {
      for (const isSigned of [true, false]) {
        const { reply, ...rest } = await ask({
          status,
          body: EVENTS,
          lines: NOT_RUN,
          isSigned,
        });
        const about = `${status} ${isSigned}`;
        t.is(reply.status, 502, about);
        t.false("test-signature" in reply.headers, about);
        t.deepEqual(rest, { calls, crashes: 0 }, about);
      }
    }
  });
}

test("any other answer that says it did not run is a refusal", async (t) => {
  for (const status of ["300", "404", "409", "429", "500", "503", "599"]) {
    const { ask } = await startHost(t, { kind: "unsafe" });
    const { reply, calls } = await ask({ status, lines: NOT_RUN });
    t.like(reply, { status: 503, isComplete: true }, status);
    t.false("test-signature" in reply.headers, status);
    t.is(calls, 1, status);
  }
});

/** Answers without a body that may state one: a length is that of the answer to
 * another request (RFC 9110, 8.6), and never what marks their end (RFC 9112,
 * 6.3). Some come with such a body. */
const EMPTY_ANSWERS = ["204", "304"].flatMap((status): Answer[] => [
  ...Object.keys(FRAMINGS).flatMap((framing) =>
    [BODY, ""].flatMap((body) => [
      { status, framing, body },
      { status, framing, body, lines: "Connection: close\r\n", isClosed: true },
    ])
  ),
  ...["length", "chunked"].map((framing) => ({
    status,
    framing,
    hasPause: true,
  })),
  { status, framing: "no body", lines: "Content-Length: 8\r\n" },
]);

// Guards against a whole answer that is refused for a length that is not its own,
// and against a call that is answered with the body behind an answer without one.
test("an answer without a body is whole whatever body it states", async (t) => {
  const { ask } = await startHost(t, { kind: "unsafe" });
  for (const answer of EMPTY_ANSWERS) {
    const { reply, ...rest } = await ask(answer);
    const about = JSON.stringify(answer);
    const { status, headers } = reply;
    t.like(reply, { body: "", isComplete: true }, about);
    t.is(`${status}`, answer.status, about);
    t.is(headers["test-signature"], "s", about);
    t.false("content-length" in headers, about);
    t.deepEqual(rest, { calls: 1, crashes: 0 }, about);
  }
});

// Guards against an answer that is lost for a body that its status does not need.
test("an answer with status 205 is sent with its body", async (t) => {
  const { ask } = await startHost(t, { kind: "unsafe" });
  for (const framing of ["length", "chunked", "connection"]) {
    const isClosed = framing === "connection";
    const { reply } = await ask({ status: "205", framing, isClosed });
    t.like(reply, { status: 205, body: BODY, isComplete: true }, framing);
  }
});
