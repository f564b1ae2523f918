import test, { type ExecutionContext } from "ava";
import * as undici from "undici";
import * as fakePath from "./fake_path.ts";
import type * as pathOptions from "./path_options.ts";

test("runs a pipeline over all of its endpoints", async (t) => {
  const started = await fakePath.start(fakePath.allEndpoints);
  const input = { text: "hull history", question: "which hull" };
  const answer = await fakePath.post(`${started.url}/v1/pipelines/plan`, {
    input,
  });
  t.is(answer.status, 200);
  // The prompt contains the results of encoder, retriever and reranker.
  t.is(answer.body.output.text, " Plan. hull history b of which");
  t.deepEqual(
    answer.body.stages.map((stage: { name: string }) => stage.name),
    ["encode", "retrieve", "rerank", "generate"],
  );
  t.deepEqual(answer.body.usage, { inputTokens: 18, outputTokens: 6 });
  await started.stop();
});

test("delivers every token once when a broken stream is resumed", async (t) => {
  const broken = fakePath.generate({ breakAt: 3 });
  const started = await fakePath.start({
    "lm-pool@1": broken,
    "lm-pool@2": fakePath.generate(),
  });
  const input = { text: "one two three four five six" };
  const asked = { input, stream: true };
  const answer = await fakePath.post(
    `${started.url}/v1/pipelines/short`,
    asked,
  );
  const events = answer.text.trim().split("\n\n").map((each) => {
    const [, name, data] = /^event: (\w+)\ndata: (.*)$/.exec(each)!;
    return { name, ...JSON.parse(data) };
  });
  const tokens = events.filter(({ name }) => name === "token");
  t.deepEqual(tokens.map(({ offset }) => offset), [0, 1, 2, 3, 4, 5]);
  t.is(
    tokens.map(({ text }) => text).join(""),
    " one two three four five six",
  );
  t.is(events.at(-1).name, "done");
  t.is(events.at(-1).stages[0].attempts, 2);
  await started.stop();
});

test("forwards a plain call and its answer unchanged", async (t) => {
  const started = await fakePath.start({
    billing: (incoming, response, body) => {
      response.writeHead(418, { "x-kind": "teapot" });
      response.end(`${incoming.method} ${incoming.url} ${body}`);
    },
  });
  const url = `${started.url}/v1/services/billing/a%20b/c?d=1`;
  const answer = await fakePath.post(url, "text");
  t.is(answer.status, 418);
  t.is(answer.headers["x-kind"], "teapot");
  t.is(answer.text, "POST /a%20b/c?d=1 text");
  await started.stop();
});

test("rejects an answer with the id of another request", async (t) => {
  const crossed: fakePath.Serve = (_incoming, response) => {
    response.setHeader("x-request-id", "another");
    response.end("another's booking");
  };
  const started = await fakePath.start({ billing: crossed });
  const answer = await fakePath.post(
    `${started.url}/v1/services/billing/`,
    "book",
    {
      headers: { "chicoryloft-idempotent": "false" },
    },
  );
  t.like(answer.body, { status: 502, outcome: "unknown" });
  t.is(started.fleet.billing.calls(), 1);
  await started.stop();
});

test("forwards a validated announcement and replies with its lease", async (t) => {
  const notices: pathOptions.Notice[] = [];
  const started = await fakePath.start({}, {
    notices: (notice) => {
      notices.push(notice);
      return Promise.resolve({ type: "taken", lease: 1500 });
    },
  });
  const announcement = {
    service: "billing",
    kind: "plain",
    url: "http://127.0.0.1:9",
    dataCentre: "ba-vi",
  };
  const headers = { authorization: "Bearer endpoint-token" };
  const url = `${started.url}/v1/endpoints/b1`;
  const taken = await fakePath.post(url, announcement, {
    headers,
    method: "PUT",
  });
  t.deepEqual(taken.body, { lease: 1500 });
  const bad = await fakePath.post(url, { service: "x" }, {
    headers,
    method: "PUT",
  });
  t.is(bad.status, 400);
  const leave = (query: string) => {
    return fakePath.post(`${url}${query}`, "", { headers, method: "DELETE" });
  };
  t.is((await leave("?incarnation=7")).status, 200);
  t.is((await leave("?incarnation=seven")).status, 400);
  t.is((await leave("?incarnation=")).status, 400);
  t.deepEqual(notices, [
    { type: "announce", endpoint: "b1", announcement },
    { type: "leave", endpoint: "b1", incarnation: 7 },
  ]);
  await started.stop();
});

test("a graceful stop completes the requests in flight", async (t) => {
  let release = () => {};
  const arrived = new Promise<void>((resolve) => {
    release = resolve;
  });
  let finish = () => {};
  const started = await fakePath.start({
    billing: (_incoming, response) => {
      finish = () => response.end("booked");
      release();
    },
  });
  const asked = fakePath.post(`${started.url}/v1/services/billing/`, "book");
  await arrived;
  const stopped = started.stop();
  const health = await undici.request(`${started.url}/health`);
  t.is(health.statusCode, 503);
  await health.body.dump();
  const refused = await fakePath.post(
    `${started.url}/v1/services/billing/`,
    "book",
  );
  t.like(refused.body, { status: 503, outcome: "not-run" });
  finish();
  t.is((await asked).text, "booked");
  await stopped;
});

test("cancels the calls of a caller that disconnects", async (t) => {
  let arrived = () => {};
  const called = new Promise<void>((resolve) => arrived = resolve);
  let closed = () => {};
  const cut = new Promise<void>((resolve) => closed = resolve);
  const started = await fakePath.start({
    billing: (_incoming, response) => {
      response.on("close", () => closed());
      arrived();
    },
  });
  const caller = new AbortController();
  const url = `${started.url}/v1/services/billing/`;
  const asked = undici.request(url, {
    method: "POST",
    headers: { authorization: `Bearer ${fakePath.TOKEN}` },
    body: "ask",
    signal: caller.signal,
  });
  await called;
  caller.abort();
  await t.throwsAsync(asked, { any: true });
  await cut;
  await started.stop();
  t.is(started.tally.total("request.abandoned"), 1);
});

const STREAM_COUNT = 50;

test("a graceful stop completes 50 streams in flight", async (t) => {
  const resumeStreams: (() => void)[] = [];
  let resolveAllStarted = () => {};
  const allStarted = new Promise<void>((resolve) =>
    resolveAllStarted = resolve
  );
  const generate = fakePath.generate();
  const started = await fakePath.start({
    "lm-pool@1": (incoming, response, body) => {
      response.writeHead(200, { "content-type": "text/event-stream" });
      response.flushHeaders();
      response.writeHead = () => response;
      resumeStreams.push(() => generate(incoming, response, body));
      if (resumeStreams.length === STREAM_COUNT) resolveAllStarted();
    },
  });
  started.path.setEndpoints([{
    id: "lm-pool@1",
    service: "lm-pool",
    kind: "engine",
    dataCentre: "gisenyi-hall",
    slots: STREAM_COUNT,
    role: "both",
    state: "ready",
    url: started.fleet["lm-pool@1"].url,
  }]);
  const url = `${started.url}/v1/pipelines/short`;
  const answers = Array.from({ length: STREAM_COUNT }, (_, pos) => {
    const input = { text: `one two three four five nr${pos}` };
    return fakePath.post(url, { input, stream: true });
  });
  await allStarted;
  const stopped = started.stop();
  for (const release of resumeStreams) release();
  const texts = (await Promise.all(answers)).map(({ text }) => text);
  const complete = texts.filter((text, pos) =>
    text.includes(` nr${pos}"`) && text.includes("event: done")
  );
  t.is(complete.length, STREAM_COUNT);
  await stopped;
});

/** Handler of several engines, the first of which that is called sends nothing
 * for 1.5 s and goes on. */
function silentAtFirst(): fakePath.Serve {
  let silent: { port?: number; until: number } | undefined;
  return (incoming, response, body) => {
    const { localPort: port } = incoming.socket;
    silent ??= { port, until: performance.now() + 1500 };
    const left = silent.port === port ? silent.until - performance.now() : 0;
    setTimeout(
      () => fakePath.generate()(incoming, response, body),
      Math.max(0, left),
    );
  };
}

/** Sends a request to one or two engines, one of them silent once; resolves with
 * its status and the calls that were made. */
async function sendToSilent(
  t: ExecutionContext,
  { deadline, engines }: { deadline: number; engines: number },
) {
  const serve = silentAtFirst();
  const started = await fakePath.start(
    Object.fromEntries(
      Array.from({ length: engines }, (_, pos) => [`lm-pool@${pos}`, serve]),
    ),
  );
  t.teardown(() => started.stop());
  const { status } = await fakePath.post(
    `${started.url}/v1/pipelines/short`,
    { input: { text: "one two three" } },
    { headers: { "chicoryloft-deadline": `${deadline}` } },
  );
  const calls = Object.values(started.fleet).reduce(
    (sum, each) => sum + each.calls(),
    0,
  );
  return { status, calls };
}

// Guards against calls that end because a sound engine was silent for a second
// or two, although half of the time left is longer.
test("a call at an engine that is silent for a while goes on", async (t) => {
  const sent = await sendToSilent(t, { deadline: 8000, engines: 1 });
  t.deepEqual(sent, { status: 200, calls: 1 });
});

// Guards against requests with little time that wait for a silent engine beside
// an idle one.
test("a call with little time at a silent engine is repeated at another one", async (t) => {
  const sent = await sendToSilent(t, { deadline: 2400, engines: 2 });
  t.deepEqual(sent, { status: 200, calls: 2 });
});

// Guards against requests with little time that fail because their only engine
// was silent for a while: its call is cancelled and repeated there until no time
// is left.
test("a call with little time at the only engine goes on after a silence", async (t) => {
  const { status } = await sendToSilent(t, { deadline: 2400, engines: 1 });
  t.is(status, 200);
});
