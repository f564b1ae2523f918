/** Streams that are continued behind their last event: which answers are taken for
 * their rest.
 * @module */

import type * as ava from "ava";
import test from "ava";
import * as undici from "undici";
import * as connector from "../endpoint_calls/connector.ts";
import * as callerFixture from "./caller_fixture.ts";
import * as fixture from "./fixture.ts";

/** Events with ids; one without where the id is undefined. */
function eventsOf(...ids: (string | undefined)[]): string {
  return ids.map((id, index) =>
    `${id === undefined ? "" : `id: ${id}\n`}data: ${index}\n\n`
  ).join("");
}

function chunkOf(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/** Starts a host of a resumable stream whose endpoint answers its calls with
 * bodies, all but the last of which are cut off; further calls get the last. */
async function startHost(t: ava.ExecutionContext, bodies: readonly string[]) {
  const resumedAfter: unknown[] = [];
  const host = await fixture.startHost(t, {
    kind: "streaming",
    resumable: true,
    objective: 1000,
    attempts: 3,
    stages: [],
  }, ({ headers, socket }) => {
    const isLast = resumedAfter.length >= bodies.length - 1;
    const body = isLast ? bodies.at(-1)! : bodies[resumedAfter.length];
    resumedAfter.push(headers["test-resume-after"]);
    const head = "HTTP/1.1 200 OK\r\ntest-signature: s\r\n" +
      "Transfer-Encoding: chunked\r\n\r\n";
    const chunk = body === "" ? "" : chunkOf(body);
    socket.end(head + chunk + (isLast ? "0\r\n\r\n" : ""));
  });
  const dispatcher = new undici.Agent({
    connect: connector.create({ timeout: 10_000 }),
    pipelining: 1,
  });
  t.teardown(() => dispatcher.destroy());
  const found = {
    type: "found",
    origin: { service: "desk", version: "v1", host: "h" },
    source: "stored",
  };
  Object.assign(host.context, {
    dispatcher,
    origins: { record() {}, find: () => Promise.resolve(found) },
  });
  return { host, resumedAfter };
}

/** Asks for a stream; `body` is what its caller reads as bytes of latin1. */
async function ask(
  t: ava.ExecutionContext,
  bodies: readonly string[],
  { after }: { after?: string } = {},
) {
  const { host, resumedAfter } = await startHost(t, bodies);
  const headers: Record<string, string> = after === undefined
    ? {}
    : { "test-resume-after": after };
  const { status, body, isComplete } = await callerFixture.send(
    host.gatewayAddress,
    { headers },
  );
  const text = Buffer.from(body, "latin1").toString();
  return { status, text, isComplete, resumedAfter };
}

const LARGE = ["9007199254740991", "9007199254740992", "9007199254740993"];

/** Ids of a stream that breaks off, of an answer that is not its rest, and of one
 * that is. */
const MISFITS: Record<
  string,
  [first: string[], misfit: (string | undefined)[], rest: string[]]
> = {
  "one event left out": [["1", "2"], ["4", "5"], ["3", "4"]],
  "an event left out behind the first": [["1"], ["3"], ["2"]],
  "an event left out of a stream that begins at 0": [["0"], ["2"], ["1"]],
  "the last event again": [["1", "2"], ["2", "3"], ["3"]],
  "all events again": [["1", "2"], ["1", "2", "3"], ["3"]],
  "the last event again, with a zero in front": [["1", "2"], ["02"], ["3"]],
  "no ids": [["1", "2"], [undefined, undefined], ["3"]],
  "no id at first": [["1", "2"], [undefined, "3"], ["3"]],
  "an empty id": [["1", "2"], [""], ["3"]],
  "an id that is no number": [["1", "2"], ["x"], ["3"]],
  "a negative number": [["1", "2"], ["-3"], ["3"]],
  "a number with a sign": [["1", "2"], ["+3"], ["3"]],
  "a fraction": [["1", "2"], ["2.5"], ["3"]],
  "a lower number of another length": [["9", "10"], ["9"], ["11"]],
  "a gap in large numbers": [LARGE.slice(0, 2), ["9007199254740994"], [
    LARGE[2],
  ]],
  "a large number again": [LARGE.slice(1, 2), [LARGE[1]], [LARGE[2]]],
  "a step back in numbers that have gaps": [["10", "20"], ["15"], ["30"]],
  "the last of ids that are no numbers again": [["a", "b"], ["b"], ["c"]],
  "the first of ids that are no numbers again": [["a", "b"], ["a"], ["c"]],
  "no id behind ids that are no numbers": [["a", "b"], [undefined], ["c"]],
  "a number from before an id that is none": [["5", "x"], ["5"], ["y"]],
};

for (const [name, [first, misfit, rest]] of Object.entries(MISFITS)) {
  // Guards against events that are missing or come twice where another endpoint
  // goes on with a stream.
  test(`a stream is not continued with ${name}`, async (t) => {
    const reply = await ask(
      t,
      [first, misfit, rest].map((ids) => eventsOf(...ids)),
    );
    const last = first.at(-1);
    t.deepEqual(reply, {
      status: 200,
      text: eventsOf(...first) + eventsOf(...rest),
      isComplete: true,
      resumedAfter: [undefined, last, last],
    });
  });
}

/** Ids of a stream that breaks off, and of its rest. */
const FITTING: Record<string, [string[], (string | undefined)[]]> = {
  "the next number": [["1", "2"], ["3", "4"]],
  "the next number, with a zero in front": [["08", "09"], ["10"]],
  "the next large number": [LARGE.slice(0, 2), [LARGE[2]]],
  "a number behind numbers with gaps": [["10", "20"], ["35"]],
  "a number behind one that is not the first": [["10"], ["20"]],
  "a gap behind the first of its events": [["1", "2"], ["3", "5"]],
  "another id that is no number": [["a", "b"], ["c", "c"]],
  "an event without an id behind the first": [["1"], ["2", undefined]],
  "no event": [["1", "2"], []],
  "an id beyond ASCII": [["a", "\u00e9"], ["\u00fc"]],
};

for (const [name, [first, rest]] of Object.entries(FITTING)) {
  // Guards against a stream that breaks off though its rest is there.
  test(`a stream is continued with ${name}`, async (t) => {
    const reply = await ask(t, [first, rest].map((ids) => eventsOf(...ids)));
    const last = Buffer.from(first.at(-1)!).toString("latin1");
    t.deepEqual(reply, {
      status: 200,
      text: eventsOf(...first) + eventsOf(...rest),
      isComplete: true,
      resumedAfter: [undefined, last],
    });
  });
}

/** Events behind whose last one a stream can't be continued. */
const UNPLACED: Record<string, string> = {
  "without ids": eventsOf(undefined, undefined),
  "without an id at last": eventsOf("1", undefined),
  "with an empty id": eventsOf("1", ""),
  "with an id line that has no value": "id: 1\ndata: 1\n\nid\ndata: 2\n\n",
  "with an id that a header can't hold": eventsOf("1", "2\u0000"),
  "with an id that a header changes": eventsOf("1", " 2 "),
};

for (const [name, events] of Object.entries(UNPLACED)) {
  // Guards against events that come twice: an endpoint that is called again can't
  // know what its caller has.
  test(`a stream of events ${name} is not continued`, async (t) => {
    const reply = await ask(t, [events, eventsOf("7")]);
    t.deepEqual(reply, {
      status: 200,
      text: events,
      isComplete: false,
      resumedAfter: [undefined],
    });
  });
}

// Guards against a stream that breaks off though no event has been sent.
test("a stream begins anew behind a comment", async (t) => {
  const reply = await ask(t, [": wait\n\n", eventsOf("1")]);
  t.deepEqual(reply, {
    status: 200,
    text: `: wait\n\n${eventsOf("1")}`,
    isComplete: true,
    resumedAfter: [undefined, undefined],
  });
});

/** Whole streams of one answer, with ids of many kinds. */
const WHOLE: Record<string, string> = {
  "without ids": eventsOf(undefined, undefined),
  "with some ids": eventsOf(undefined, "1", undefined, "2", undefined),
  "with gaps": eventsOf("1", "2", "4", "9"),
  "with ids that are no numbers": eventsOf("x", "x", "y", "x"),
  "with negative numbers": eventsOf("-1", "-2", "-3", "+1", "+1"),
  "with large numbers": eventsOf(...LARGE, "9007199254740994"),
  "with very large numbers": eventsOf(
    `1${"0".repeat(50)}0`,
    `1${"0".repeat(50)}1`,
  ),
  "with empty ids": eventsOf("1", "", "2", ""),
  "with several ids in an event": "id: 9\nid: 2\ndata: 1\n\n" +
    "id: 3\ndata: 2\n\n",
  "with an id in the data": "id: 2\ndata: id: 1\ndata: 1\n\n" +
    "id: 3\ndata: a\u2028id: 2\u2029id: 2\n\n",
  "with fields that begin like ids": "id: 2\ndata: 1\n\nidea: 1\nid : 1\n\n" +
    "id:3\ndata: 2\n\n",
  "with CR LF": eventsOf("1", "2", "3").replaceAll("\n", "\r\n"),
};

for (const [name, events] of Object.entries(WHOLE)) {
  // Guards against whole answers that are lost for the ids of their events.
  test(`a whole stream ${name} gets through`, async (t) => {
    const reply = await ask(t, [events]);
    t.like(reply, { status: 200, text: events, isComplete: true });
  });
}

/** Ids of an answer that is not the rest of its caller's stream behind an event,
 * and of one that is. */
const RESUMED_MISFITS: Record<
  string,
  [after: string, misfit: (string | undefined)[], rest: string[]]
> = {
  "the last event again": ["5", ["5", "6"], ["6"]],
  "all events": ["5", ["1", "2", "3", "4", "5", "6"], ["6"]],
  "no ids": ["5", [undefined], ["6"]],
  "an id that is no number": ["5", ["x"], ["6"]],
  "a large number again": [LARGE[1], [LARGE[1]], [LARGE[2]]],
  "the last id that is no number again": ["x", ["x"], ["y"]],
};

for (const [name, [after, misfit, rest]] of Object.entries(RESUMED_MISFITS)) {
  // Guards against events that come twice where a caller resumes its stream.
  test(`a caller's resumed stream does not go on with ${name}`, async (t) => {
    const [first, last] = [misfit, rest].map((ids) => eventsOf(...ids));
    const reply = await ask(t, [first, last], { after });
    t.deepEqual(reply, {
      status: 200,
      text: last,
      isComplete: true,
      resumedAfter: [after, after],
    });
  });
}

// Guards against events left out, or sent twice, where a host continues a stream
// that its caller has resumed.
test("a caller's resumed stream is continued behind its own events", async (t) => {
  for (const misfit of [["8"], ["6"], ["1"], [undefined]]) {
    const bodies = [["6"], misfit, ["7"]].map((ids) => eventsOf(...ids));
    const reply = await ask(t, bodies, { after: "5" });
    t.deepEqual(reply, {
      status: 200,
      text: eventsOf("6") + eventsOf("7"),
      isComplete: true,
      resumedAfter: ["5", "6", "6"],
    });
  }
});

test("a caller's resumed stream may have ids with gaps", async (t) => {
  const bodies = [["30"], ["50"]].map((ids) => eventsOf(...ids));
  const reply = await ask(t, bodies, { after: "20" });
  t.deepEqual(reply, {
    status: 200,
    text: bodies.join(""),
    isComplete: true,
    resumedAfter: ["20", "30"],
  });
});

// Guards against a second run of a stream whose caller has a part of the first:
// without ids, that is not known.
test("a caller's resumed stream without ids is refused", async (t) => {
  const { status, resumedAfter } = await ask(
    t,
    [eventsOf(undefined), eventsOf(undefined), eventsOf(undefined)],
    { after: "5" },
  );
  t.is(status, 502);
  t.deepEqual(resumedAfter, ["5", "5", "5"]);
});

// Guards against a caller that has all events, and whose host was killed before the
// end, being refused when it resumes its stream.
test("a caller that resumes its stream behind the last event gets an empty rest", async (t) => {
  t.deepEqual(await ask(t, [""], { after: "5" }), {
    status: 200,
    text: "",
    isComplete: true,
    resumedAfter: ["5"],
  });
  t.deepEqual(await ask(t, ["", ""], { after: "5" }), {
    status: 200,
    text: "",
    isComplete: true,
    resumedAfter: ["5", "5"],
  });
});

test("a stream without any event is refused unless its caller has some", async (t) => {
  const { status, resumedAfter } = await ask(t, ["", "", ""]);
  t.is(status, 502);
  t.is(resumedAfter.length, 3);
});

// Guards against a request that no endpoint is called for, as the id that its caller
// names can't be that of an event.
test("a stream whose caller names an empty id is asked for with it", async (t) => {
  const { status, text, resumedAfter } = await ask(t, [eventsOf("1", "2")], {
    after: "",
  });
  t.is(status, 200);
  t.is(text, eventsOf("1", "2"));
  t.deepEqual(resumedAfter, [""]);
});
