/** @module */

import type * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import type * as ava from "ava";
import test from "ava";
import * as undici from "undici";
import * as connector from "../endpoint_calls/connector.ts";
import * as endpointFixture from "../endpoints/fixture.ts";
import type * as configurations from "../configuration/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as callerFixture from "./caller_fixture.ts";
import * as fixture from "./fixture.ts";
import type * as protocols from "./protocol.ts";

test("a call in flight when a host stops is not reported as not executed", async (t) => {
  const { ask, sent, started } = await fixture.startHost(
    t,
    { kind: "unsafe" },
    () => {},
  );
  const answer = ask();
  await sent;
  started[0].abort();
  t.is((await answer).status, 502);
});

test("a complete answer is relayed", async (t) => {
  const { ask } = await fixture.startHost(
    t,
    { kind: "unsafe" },
    (_, response) => {
      response.writeHead(200, { "test-signature": "s" }).end("done");
    },
  );
  t.deepEqual(await ask(), { status: 200, text: "done" });
});

// Guards against requests that are answered late without a metric that shows
// it.
test("requests are counted by route and by how they ended", async (t) => {
  const ended: unknown[] = [];
  const metrics: telemetry.Metrics = {
    ...telemetry.noMetrics,
    count: (name, _, labels) => name === "gateway.ended" && ended.push(labels),
  };
  for (const objective of [1000, -1]) {
    const change = { kind: "unsafe", objective } as const;
    const { ask, context } = await fixture.startHost(
      t,
      change,
      (_, response) => {
        response.writeHead(200, { "test-signature": "s" }).end("done");
      },
    );
    Object.assign(context, { metrics });
    await ask();
  }
  t.deepEqual(ended, [
    { route: "route", ending: "in-time" },
    { route: "route", ending: "late" },
  ]);
});

test("an answer without an endpoint's signature is not relayed", async (t) => {
  const { ask } = await fixture.startHost(
    t,
    { kind: "unsafe" },
    (_, response) => {
      response.writeHead(200).end("done");
    },
  );
  t.is((await ask()).status, 502);
});

test("a call that the endpoint did not execute is refused with 503", async (t) => {
  const { ask } = await fixture.startHost(
    t,
    { kind: "unsafe" },
    (_, response) => {
      response.writeHead(503, { "test-not-run": "1" }).end();
    },
  );
  t.is((await ask()).status, 503);
});

/** What a caller gets for a request of a kind, and the number of calls for it,
 * before an endpoint that answers all of them in the same way. */
async function answerTo(
  t: ava.ExecutionContext,
  kind: configurations.Route["kind"],
  { status, headers = { "test-signature": "s" } }: {
    status: number;
    headers?: Record<string, string>;
  },
) {
  let calls = 0;
  const { askForHead } = await fixture.startHost(
    t,
    { kind, attempts: 2 },
    (_, response) => {
      calls++;
      response.writeHead(status, headers).end("error");
    },
  );
  return { ...await askForHead(), calls };
}

// The next tests guard against a status that promises the caller that a request
// has not run although its endpoint does not say so, and against a second call
// of one that may have run.
for (const status of [503, 429, 408]) {
  test(`an endpoint's ${status} counts as run`, async (t) => {
    const unsafe = await answerTo(t, "unsafe", { status });
    t.deepEqual(unsafe, { status: 502, signature: undefined, calls: 1 });
    const stream = await answerTo(t, "streaming", { status });
    t.deepEqual(stream, { status: 502, signature: undefined, calls: 1 });
    const safe = await answerTo(t, "safe", { status });
    t.deepEqual(safe, { status, signature: "s", calls: 2 });
  });
}

test("an endpoint's own 500 and 504 reach the caller with its signature", async (t) => {
  for (const status of [500, 504]) {
    const unsafe = await answerTo(t, "unsafe", { status });
    t.deepEqual(unsafe, { status, signature: "s", calls: 1 });
  }
});

test("only a header or status 421 shows that an endpoint has not run a call", async (t) => {
  const signed = { "test-signature": "s" };
  const notRun = { ...signed, "test-not-run": "1" };
  for (const status of [503, 429, 408, 500]) {
    const refused = await answerTo(t, "unsafe", { status, headers: notRun });
    t.deepEqual(refused, { status: 503, signature: undefined, calls: 1 });
  }
  const misdirected = await answerTo(t, "unsafe", {
    status: 421,
    headers: signed,
  });
  t.like(misdirected, { status: 503, signature: undefined });
});

// Guards against a call that is given up because its endpoint is slow: it could
// not be repeated, and the endpoint may have run it.
test("a call that can't be repeated has no idle timeout at a slow endpoint", async (t) => {
  const route = { kind: "unsafe", objective: 100, timeout: 3000 } as const;
  const { ask, pool } = await fixture.startHost(t, route, (_, response) => {
    const answer = () =>
      response.writeHead(200, { "test-signature": "s" }).end("done");
    // A call that can be repeated is given up after 800 ms without a byte.
    fixture.clock.after(900, answer);
  });
  const { address } = pool.endpointsOf("desk")[0].identity;
  pool.update(
    [{ id: "e-1", address }, { id: "e-2", address: "other" }].map((each) =>
      endpointFixture.entry(each)
    ),
    () => undefined,
  );
  const [slow, fast] = pool.endpointsOf("desk");
  fast.isReady = false;
  const now = fixture.clock.now();
  for (let at = now - 29_000; at <= now; at += 1000) {
    slow.recordSlowness(8, at);
    fast.recordSlowness(1, at);
  }
  t.true(slow.slowness(now) > 4);
  t.is((await ask()).status, 200);
  t.true(slow.isHealthy(fixture.clock.now()));
});

test("a request that is not idempotent is sent once", async (t) => {
  let count = 0;
  const { ask } = await fixture.startHost(t, { kind: "unsafe" }, (request) => {
    count++;
    request.socket.destroy();
  });
  t.is((await ask()).status, 502);
  t.is(count, 1);
});

/** Records error lines and counted errors of a host. */
function recordErrors({ context }: fixture.Host) {
  const errors: object[] = [];
  const counted: unknown[] = [];
  const logger: telemetry.Logger = {
    ...telemetry.noLogger,
    error: (details) => void errors.push(details),
  };
  const metrics: telemetry.Metrics = {
    ...telemetry.noMetrics,
    count: (name, _, labels) =>
      name === "gateway.errors" && counted.push(labels),
  };
  Object.assign(context, { logger, metrics });
  return { errors, counted };
}

/** A host whose endpoint answers with a head that Node refuses to write. */
async function startUnwritableHost(
  t: ava.ExecutionContext,
  route: Partial<configurations.Route>,
  change: Partial<protocols.ReplyHead>,
) {
  const host = await fixture.startHost(t, route, (_, response) => {
    response.writeHead(200, { "test-signature": "s" });
    response.end("id: 1\ndata: 1\n\n");
  });
  const protocol: protocols.GatewayProtocol = {
    ...fixture.PROTOCOL,
    decodeReply: (status, headers) => ({
      ...fixture.PROTOCOL.decodeReply(status, headers),
      ...change,
    }),
  };
  Object.assign(host.context, { protocol });
  return host;
}

const UNWRITABLE_HEADS = {
  "a line break in a value": { headers: { "test-note": "a\nb" } },
  "a character beyond Latin-1": { headers: { "test-note": "\u65e5" } },
  "a space in a name": { headers: { "test note": "a" } },
  "a status of four digits": { status: 1000 },
};

// Guards against callers that get neither an answer nor a refusal: a request
// counted as finished before its answer was written, so that the error of Node
// ended it without a reply. A stream whose head is refused must not go on with a
// head of Node's own either, which has no signature.
for (const [name, change] of Object.entries(UNWRITABLE_HEADS)) {
  for (const kind of ["unsafe", "safe", "streaming"] as const) {
    test(`an answer whose head can't be written is refused: ${kind}, ${name}`, async (t) => {
      const route = { kind, resumable: true, objective: 1000, timeout: 3000 };
      const host = await startUnwritableHost(t, route, change);
      const { errors, counted } = recordErrors(host);
      const answer = await Promise.race([
        host.ask(),
        fixture.pause(CLOSE_TIMEOUT_MS).then(() => "no answer"),
      ]);
      t.like(answer, { status: 502 });
      t.like(errors, [{ request: "a-1", route: "route" }]);
      t.is(errors.length, 1);
      t.deepEqual(counted, [{ phase: "sent" }]);
      t.true(host.started[0].isFinished);
    });
  }
}

// Guards against an error in a callback of a connection that undici takes for the
// endpoint's: the call was repeated, and nothing was logged.
test("an error while the head of an answer is recorded is not the endpoint's", async (t) => {
  let calls = 0;
  const host = await fixture.startHost(
    t,
    { kind: "safe", attempts: 2 },
    (_, response) => {
      calls++;
      response.writeHead(200, { "test-signature": "s" }).end("done");
    },
  );
  Object.assign(host.context.quotas, {
    recordLimit() {
      throw new Error("of a test");
    },
  });
  const { errors } = recordErrors(host);
  t.is((await host.ask()).status, 502);
  t.is(errors.length, 1);
  t.is(calls, 1);
});

// Guards against an error in a timer or a listener, which would end the process
// and with it all other requests.
test("an error at a request's timeout ends that request alone", async (t) => {
  const host = await fixture.startHost(
    t,
    { kind: "unsafe", timeout: 1000 },
    () => {},
  );
  // Waits until its timeout: a call's own deadline may come first.
  Object.assign(host.context.quotas, {
    isLimited: () => true,
    acquire: () => new Promise(() => {}),
  });
  const { errors } = recordErrors(host);
  const count = (name: string) => {
    if (name === "gateway.refused") throw new Error("of a test");
  };
  const metrics: telemetry.Metrics = { ...telemetry.noMetrics, count };
  Object.assign(host.context, { metrics });
  t.is((await host.ask()).status, 503);
  t.like(errors, [{ request: "a-1", phase: "finished" }]);
});

// Guards against a reply that is cut although it was complete.
test("an error after an answer leaves the answer whole", async (t) => {
  const host = await fixture.startHost(
    t,
    { kind: "unsafe" },
    (_, response) => {
      response.writeHead(200, { "test-signature": "s" }).end("done");
    },
  );
  const { errors } = recordErrors(host);
  const time = (name: string) => {
    if (name === "gateway.duration") throw new Error("of a test");
  };
  const metrics: telemetry.Metrics = { ...telemetry.noMetrics, time };
  Object.assign(host.context, { metrics });
  t.deepEqual(await host.ask(), { status: 200, text: "done" });
  t.is(errors.length, 1);
});

// Guards against a caller that waits for a refusal that can't be written.
test("a refusal that can't be written ends with its connection", async (t) => {
  const host = await startUnwritableHost(t, { kind: "unsafe" }, {
    headers: { "test-note": "a\nb" },
  });
  const { errors } = recordErrors(host);
  const isDraining = () => {
    throw new Error("of a test");
  };
  Object.assign(host.context, { isDraining });
  t.is(await endOf(host.ask()), "broken off");
  t.is(errors.length, 2);
  t.true(host.started[0].isFinished);
});

/** Milliseconds of the hosts' clock within which an aborted connection has
 * closed: less than the timeout of a request. */
const CLOSE_TIMEOUT_MS = 1500;

/** How an answer ends: whole, broken off, or open (not within the time). */
async function endOf(answer: Promise<unknown>): Promise<string> {
  return await Promise.race([
    answer.then(() => "whole", () => "broken off"),
    fixture.pause(CLOSE_TIMEOUT_MS).then(() => "open"),
  ]);
}

// Guards against a connection that stays open: when a stream had started and
// its stages failed on the second run, the refusal wrote a second head, which
// throws.
test("a started stream is aborted if its stages fail on the second run", async (t) => {
  let runs = 0;
  const { ask } = await fixture.startHost(t, fixture.STREAM, (_, response) => {
    response.writeHead(200, { "test-signature": "s" });
    response.write("id: 1\ndata: 1\n\n");
    fixture.clock.after(50, () => response.destroy());
  }, ({ pieces: [piece] }) => {
    const result = { piece, handle: "place/1" };
    const none = { piece, failure: "error" as const };
    return Promise.resolve(runs++ === 0 ? [result] : [none]);
  });
  t.is(await endOf(ask()), "broken off");
  t.true(runs > 1);
});

// Guards against a log line that says of a stream which was cut in the middle
// that it had not run.
test("a stream that is cut after an event is not logged as not run", async (t) => {
  const { ask, context } = await fixture.startHost(
    t,
    { kind: "streaming", resumable: true, attempts: 1 },
    (_, response) => {
      response.writeHead(200, { "test-signature": "s" });
      response.write("id: 1\ndata: 1\n\n");
      fixture.clock.after(50, () => response.destroy());
    },
  );
  const lines: Record<string, unknown>[] = [];
  const logger = {
    ...telemetry.noLogger,
    warn: (fields: object) => void lines.push({ ...fields }),
  };
  Object.assign(context, { logger });
  t.is(await endOf(ask()), "broken off");
  const [line] = lines;
  t.like(line, { reason: "failed", after: "not-run", lastEvent: "1" });
  const [call] = line.calls as { notRetried?: string }[];
  t.is(call.notRetried, "policy");
});

test("a host that stops during the second run of the stages aborts the stream", async (t) => {
  let runs = 0;
  const { ask, started } = await fixture.startHost(
    t,
    fixture.STREAM,
    (_, response) => {
      response.writeHead(200, { "test-signature": "s" });
      response.write("id: 1\ndata: 1\n\n");
      fixture.clock.after(50, () => response.destroy());
    },
    ({ pieces: [piece] }) => {
      if (runs++ === 0) return Promise.resolve([{ piece, handle: "place/1" }]);
      fixture.clock.after(10, () => started[0].abort());
      return new Promise(() => {});
    },
  );
  t.is(await endOf(ask()), "broken off");
});

// Guards against a 503 for a request that may have run: under load a call broke
// off after its inputs had been released, the second run of the stages failed,
// and the request was refused as not executed.
test("a request that may have run is never refused as not executed", async (t) => {
  let runs = 0;
  const { ask } = await fixture.startHost(t, fixture.STREAM, (request) => {
    // After the inputs of the call are released.
    fixture.clock.after(400, () => request.socket.destroy());
  }, ({ pieces: [piece] }) => {
    const result = { piece, handle: "place/1" };
    const none = { piece, failure: "error" as const };
    return Promise.resolve(runs++ === 0 ? [result] : [none]);
  });
  t.is((await ask()).status, 502);
});

/** Endpoints at `addresses`, each of the version beside it. */
function entriesOf(addresses: Readonly<Record<string, string>>) {
  return Object.entries(addresses).map(([address, version], number) =>
    endpointFixture.entry({ id: `n-${number}`, address, version })
  );
}

/** Addresses of the calls for a stream that breaks after its first event, while
 * another endpoint, of `version`, could continue it. */
async function callsOfBrokenStream(t: ava.ExecutionContext, version: string) {
  const called: (string | undefined)[] = [];
  const handle: http.RequestListener = ({ headers }, response) => {
    called.push(headers.host);
    response.writeHead(200, { "test-signature": "s" });
    if (called.length > 1) return void response.end("id: 2\ndata: 2\n\n");
    response.write("id: 1\ndata: 1\n\n");
    fixture.clock.after(50, () => response.destroy());
  };
  const { ask, pool } = await fixture.startHost(t, {
    kind: "streaming",
    resumable: true,
    objective: 1000,
    timeout: 3000,
  }, handle);
  const [{ identity: { address } }] = pool.endpointsOf("desk");
  const other = await fixture.listen(t, handle);
  const entries = entriesOf({ [address]: "v1", [other]: version });
  pool.update(entries, () => undefined);
  t.is(await endOf(ask()), "whole");
  return called;
}

// Guards against streams that hold events from endpoints of two software
// versions: a broken stream was continued at any other endpoint.
test("a broken stream is continued at an endpoint of its version", async (t) => {
  const [first, second] = await callsOfBrokenStream(t, "v1");
  t.not(first, second);
  const [began, continued] = await callsOfBrokenStream(t, "v2");
  t.is(began, continued);
});

const SIGNED_HEAD = "HTTP/1.1 200 OK\r\ntest-signature: s\r\n";

/** Ends a stream that breaks after its first event: a second call is answered
 * with the `empty` head and no event, a third one with the second event. */
async function continueAfterEmpty(
  t: ava.ExecutionContext,
  { empty, attempts }: { empty: string; attempts: number },
) {
  let calls = 0;
  const host = await fixture.startHost(t, {
    kind: "streaming",
    resumable: true,
    objective: 1000,
    timeout: 3000,
    attempts,
  }, ({ socket }, response) => {
    calls++;
    if (calls === 2) return void socket.end(`${empty}\r\n`);
    response.writeHead(200, { "test-signature": "s" });
    const id = calls > 2 ? 2 : calls;
    response.write(`id: ${id}\ndata: ${id}\n\n`);
    if (calls > 2) response.end();
    else fixture.clock.after(50, () => response.destroy());
  });
  const dispatcher = new undici.Agent({
    connect: connector.create({ timeout: 1000 }),
    pipelining: 1,
  });
  t.teardown(() => dispatcher.destroy());
  Object.assign(host.context, { dispatcher });
  let events = 0;
  const answer = host.ask().then(({ text }) => {
    events = text.match(/^id/gm)!.length;
  });
  const end = await endOf(answer);
  return { calls, end, events };
}

// Guards against a stream that ends as complete with events missing: the answer
// that was to continue it had neither a length nor an event, so that nothing
// showed that the endpoint had no more to send.
test("an answer without a length and without events does not complete a stream", async (t) => {
  const empty = SIGNED_HEAD;
  const cut = await continueAfterEmpty(t, { empty, attempts: 2 });
  t.is(cut.end, "broken off");
  const continued = await continueAfterEmpty(t, { empty, attempts: 3 });
  t.deepEqual(continued, { calls: 3, end: "whole", events: 2 });
});

test("an empty answer with a length completes a stream", async (t) => {
  const empty = `${SIGNED_HEAD}Content-Length: 0\r\n`;
  const { calls, end } = await continueAfterEmpty(t, { empty, attempts: 3 });
  t.deepEqual({ calls, end }, { calls: 2, end: "whole" });
});

test("an endpoint chosen before an evacuation is not called after it", async (t) => {
  let count = 0;
  const host = await fixture.startHost(t, { kind: "safe" }, (_, response) => {
    count++;
    response.writeHead(200, { "test-signature": "s" }).end("done");
  });
  const { ask, pool, context } = host;
  Object.assign(context.quotas, {
    isLimited: () => true,
    acquire() {
      pool.setEvacuated(["town"], { returned: [], now: 0 });
      return Promise.resolve(0);
    },
  });
  t.is((await ask()).status, 503);
  t.is(count, 0);
});

test("a request is refused at once if all endpoints have announced their departure", async (t) => {
  let count = 0;
  const { ask } = await fixture.startHost(
    t,
    { kind: "safe" },
    (_, response) => {
      count++;
      const head = { "test-signature": "s", "test-leaving": "1" };
      response.writeHead(200, head).end("done");
    },
  );
  t.is((await ask()).status, 200);
  t.is((await ask()).status, 503);
  t.is(count, 1);
});

/** Health signals that a host reports after calls that an engine breaks off. */
async function reportedSignals(
  t: ava.ExecutionContext,
  hasReceivedFromOthers: boolean,
): Promise<unknown[]> {
  const { ask, context, pool } = await fixture.startHost(
    t,
    { kind: "streaming", objective: 1000, timeout: 3000 },
    (request) => void request.socket.destroy(),
  );
  const signals: unknown[] = [];
  const [engine] = pool.endpointsOf("desk");
  const pendingWork = { tokens: 0, streams: 0 };
  const cacheMiss = { prefillTokens: 0, fetchTokens: 0, fetchTime: 0 };
  const source = "owner" as const;
  const placed = { engine, firstEventTime: 0, cacheMiss, pendingWork, source };
  const prompt = { model: "m", inputTokens: 1, outputTokens: 1, parts: [] };
  const { decodeRequest } = fixture.PROTOCOL;
  Object.assign(context, {
    protocol: {
      ...fixture.PROTOCOL,
      decodeRequest(message: http.IncomingMessage) {
        const decoded = decodeRequest(message);
        if (decoded.type === "ask") Object.assign(decoded.request, { prompt });
        return decoded;
      },
    },
    placement: { place: () => Promise.resolve(placed) },
    loadUpdates: {
      record: (_: unknown, change: { signal?: unknown } = {}) => {
        if ("signal" in change) signals.push(change.signal);
      },
    },
    paths: {
      relayOf: () => undefined,
      hasReceivedFromOthers: () => hasReceivedFromOthers,
    },
  });
  await ask();
  return signals;
}

// Guards against sound engines that hosts in reach of them avoid, because a host
// that is partitioned from them reports its failures.
test("broken calls of a host that hears no other endpoint are not reported", async (t) => {
  t.deepEqual(await reportedSignals(t, true), ["bad"]);
  t.deepEqual(await reportedSignals(t, false), [undefined]);
});

const UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\ntest-signature: s\r\n\r\n";
const PLAIN_STREAM: Partial<configurations.Route> = {
  kind: "streaming",
  objective: 1000,
  timeout: 3000,
};

/** A host whose endpoint answers with neither a length nor chunks: `write` ends
 * the connection as it likes. */
async function startUnframedHost(
  t: ava.ExecutionContext,
  route: Partial<configurations.Route>,
  write: (socket: net.Socket) => void,
) {
  const sockets = new Set<net.Socket>();
  const host = await fixture.startHost(t, route, ({ socket }) => {
    sockets.add(socket);
    socket.write(UNFRAMED_HEAD);
    write(socket);
  });
  const dispatcher = new undici.Agent({
    connect: connector.create({ timeout: 60_000 }),
    pipelining: 1,
  });
  t.teardown(() => dispatcher.destroy());
  Object.assign(host.context, { dispatcher });
  return { ...host, sockets };
}

// The next tests guard against an answer that ends with its connection and is
// taken for whole although it was cut, or for cut although it is whole.
test("a stream that ends with its connection is relayed, whatever its packets", async (t) => {
  const text = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";
  const host = await startUnframedHost(t, PLAIN_STREAM, (socket) => {
    const writeFrom = (pos: number) => {
      if (pos === text.length) return void socket.end();
      socket.write(text[pos]);
      setImmediate(writeFrom, pos + 1);
    };
    writeFrom(0);
  });
  t.deepEqual(await host.ask(), { status: 200, text });
  t.deepEqual(await host.ask(), { status: 200, text });
  t.is(host.sockets.size, 2, "a connection is used once");
});

test("a stream that ends with its connection inside an event is broken off", async (t) => {
  const { gatewayAddress } = await startUnframedHost(
    t,
    PLAIN_STREAM,
    (socket) => void socket.end("id: 1\ndata: 1\n\nid: 2\nda"),
  );
  const reply = await callerFixture.send(gatewayAddress, {});
  t.like(reply, { status: 200, body: "id: 1\ndata: 1\n\n", isComplete: false });
});

test("a stream without a length whose connection is reset is broken off", async (t) => {
  const { gatewayAddress } = await startUnframedHost(
    t,
    PLAIN_STREAM,
    (socket) => {
      socket.write("id: 1\ndata: 1\n\n");
      fixture.clock.after(50, () => socket.resetAndDestroy());
    },
  );
  const reply = await callerFixture.send(gatewayAddress, {});
  t.like(reply, { status: 200, body: "id: 1\ndata: 1\n\n", isComplete: false });
});

test("a plain answer without a length is relayed unless its connection is reset", async (t) => {
  const whole = await startUnframedHost(t, { kind: "unsafe" }, (socket) => {
    socket.write("do");
    fixture.clock.after(20, () => socket.end("ne"));
  });
  t.deepEqual(await whole.ask(), { status: 200, text: "done" });
  const cut = await startUnframedHost(t, { kind: "unsafe" }, (socket) => {
    socket.write("do");
    fixture.clock.after(20, () => socket.resetAndDestroy());
  });
  t.is((await cut.ask()).status, 502);
});

/** Events of 100 kB, as many as no buffers of the system take. */
const LARGE_EVENT_COUNT = 300;
const LARGE_DATA = "x".repeat(100_000);

function largeEvent(id: number): string {
  return `id: ${id}\ndata: ${LARGE_DATA}\n\n`;
}

/** Memory of a host whose callers may leave 5 MB unread. */
const SMALL_MEMORY = 40_000_000;

/** Milliseconds of the hosts' clock in which a host takes or aborts a response
 * that its caller does not read: half of the timeout of the request. */
const UNREAD_MS = 15_000;
/** The same in which a caller has read what was sent to it. */
const READ_TIMEOUT_MS = 15_000;

/** Sends a request and reads nothing of its answer until `read`, which resolves
 * with what the caller has when the connection ends, or after a time. */
function askWithoutReading(
  t: ava.ExecutionContext,
  address: string,
  { version = "1.1" } = {},
) {
  const [host, port] = address.split(":");
  const socket = net.connect(Number(port), host);
  t.teardown(() => void socket.destroy());
  let text = "";
  socket.on("data", (part) => text += part.toString("latin1")).pause();
  socket.write(`GET /a/x HTTP/${version}\r\nHost: h\r\n\r\n`);
  const ended = new Promise<void>((resolve) => {
    socket.once("error", () => resolve());
    socket.once("end", () => resolve());
  });
  const read = async () => {
    socket.resume();
    await Promise.race([ended, fixture.pause(READ_TIMEOUT_MS)]);
    return text;
  };
  return { read };
}

/** Whether an answer is complete by its length or its last chunk. */
function isComplete(text: string): boolean {
  const bodyAt = text.indexOf("\r\n\r\n") + 4;
  const [, length] = /content-length: (\d+)/i.exec(text) ?? [];
  return length === undefined
    ? text.endsWith("\r\n0\r\n\r\n")
    : text.length - bodyAt === Number(length);
}

/** A promise, and the function that resolves it. */
function deferred() {
  let resolve = () => {};
  const promise = new Promise<void>((settle) => resolve = settle);
  return { promise, resolve };
}

/** Answers with the large events; `onTaken` is called when the host has taken
 * them all. */
function sendLargeEvents(response: http.ServerResponse, onTaken = () => {}) {
  response.writeHead(200, { "test-signature": "s" });
  for (let id = 1; id <= LARGE_EVENT_COUNT; id++) {
    response.write(largeEvent(id));
  }
  response.end(onTaken);
}

// Guards against a response that its endpoint cuts off because the host reads it
// no faster than its caller does.
for (const kind of ["streaming", "safe"] as const) {
  test(`a response is read at once although its caller reads nothing: ${kind}`, async (t) => {
    const taken = deferred();
    const { gatewayAddress } = await fixture.startHost(
      t,
      { kind, objective: 1000, timeout: 2 * UNREAD_MS },
      (_, response) => sendLargeEvents(response, taken.resolve),
    );
    const { read } = askWithoutReading(t, gatewayAddress);
    const late = fixture.pause(UNREAD_MS).then(() => "late");
    t.is(await Promise.race([taken.promise, late]), undefined);
    t.true(isComplete(await read()));
  });
}

const UNREAD_REPLIES = [
  { kind: "streaming", version: "1.1" },
  { kind: "safe", version: "1.1" },
  { kind: "safe", version: "1.0" },
] as const;

// Guards against a host that runs out of memory, and against callers who take a
// reply that was aborted for complete.
for (const { kind, version } of UNREAD_REPLIES) {
  test(`an unread reply is aborted above the bound: ${kind}, HTTP/${version}`, async (t) => {
    const host = await fixture.startHost(
      t,
      { kind, objective: 1000, timeout: 2 * UNREAD_MS },
      (_, response) => sendLargeEvents(response),
    );
    const lines: object[] = [];
    const aborted = deferred();
    const warn = (details: object) => {
      lines.push(details);
      aborted.resolve();
    };
    Object.assign(host.context, { logger: { ...telemetry.noLogger, warn } });
    host.limitMemory(SMALL_MEMORY);
    const { read } = askWithoutReading(t, host.gatewayAddress, { version });
    await Promise.race([aborted.promise, fixture.pause(UNREAD_MS)]);
    t.like(lines, [{ request: "a-1", route: "route" }]);
    const text = await read();
    t.true(text.startsWith("HTTP/1.1 200"), "a part of it has arrived");
    t.false(isComplete(text));
    t.true(host.started[0].isFinished);
  });
}

test("a caller that reads gets a reply larger than the bound", async (t) => {
  const { ask, limitMemory } = await fixture.startHost(
    t,
    { kind: "streaming", objective: 1000, timeout: 5000 },
    async (_, response) => {
      response.writeHead(200, { "test-signature": "s" });
      for (let id = 1; id <= LARGE_EVENT_COUNT; id++) {
        response.write(largeEvent(id));
        await timers.setTimeout(1);
      }
      response.end();
    },
  );
  limitMemory(SMALL_MEMORY);
  const { text } = await ask();
  const ids = Array.from(
    { length: LARGE_EVENT_COUNT },
    (_, index) => index + 1,
  );
  t.is(text, ids.map(largeEvent).join(""));
});
