import test from "ava";
import * as crypto from "node:crypto";
import * as http from "node:http";
import type * as net from "node:net";
import * as undici from "undici";
import * as path from "./path.ts";
import type * as pathOptions from "./path_options.ts";
import * as runtime from "../runtime/mod.ts";
import type * as settings from "../schema/settings_types.ts";
import * as telemetry from "../telemetry/mod.ts";

const TOKEN = "crew-token";

type Serve = (
  incoming: http.IncomingMessage,
  response: http.ServerResponse,
  body: string,
) => void;

interface Endpoint {
  url: string;
  calls: () => number;
  close: () => void;
}

function listen(serve: Serve): Promise<Endpoint> {
  let calls = 0;
  const server = http.createServer((incoming, response) => {
    // It publishes no events.
    if (incoming.url === "/v1/events") {
      return void response.writeHead(404).end();
    }
    let body = "";
    incoming.on("data", (chunk) => body += chunk);
    incoming.on("end", () => {
      calls++;
      for (const name of ["x-request-id", "x-stage", "x-attempt"]) {
        const value = incoming.headers[name];
        if (value !== undefined) response.setHeader(name, value);
      }
      serve(incoming, response, body);
    });
  });
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as net.AddressInfo;
      resolve({
        url: `http://127.0.0.1:${port}`,
        calls: () => calls,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });
}

function idOf({ headers }: http.IncomingMessage): string {
  const names = ["x-request-id", "x-stage", "x-attempt"];
  return names.map((name) => headers[name]).join("/");
}

function json(make: (body: Record<string, unknown>) => object): Serve {
  return (incoming, response, body) => {
    const made = make(JSON.parse(body));
    const usage = { "prompt_tokens": 3, "engine_ms": 1 };
    response.end(JSON.stringify({ id: idOf(incoming), ...made, usage }));
  };
}

const encode = json(({ input }) => ({
  data: (input as string[]).map((_, index) => ({ index, embedding: [index] })),
}));

const retrieve = json(({ embedding, text }) => ({
  documents: ["a", "b"].map((id, pos) => ({
    id,
    text: `${id} of ${text} at ${embedding}`,
    score: pos,
  })),
}));

const rerank = json(({ documents }) => ({
  results: (documents as string[]).map((_, index) => ({
    index,
    "relevance_score": index,
  })),
}));

interface Generation {
  /** Tokens after which the connection breaks. */
  breakAt?: number;
}

function generate({ breakAt = Infinity }: Generation = {}): Serve {
  return (incoming, response, body) => {
    const { prompt, resume_from: from } = JSON.parse(body);
    const words = prompt.split(/\s+/).slice(0, 6);
    response.writeHead(200, { "content-type": "text/event-stream" });
    function send(offset: number, text: string, more: object = {}): void {
      const choice = { index: 0, text, "finish_reason": null, ...more };
      const chunk = { id: idOf(incoming), offset, choices: [choice], ...more };
      response.write(`data: ${JSON.stringify(chunk)}\n\n`);
    }
    for (let pos = from; pos < words.length; pos++) {
      if (pos === breakAt) {
        response.write("", () => response.destroy());
        return;
      }
      send(pos, ` ${words[pos]}`);
    }
    const usage = { "prompt_tokens": 9, "completion_tokens": 6 };
    send(words.length, "", { "finish_reason": "stop", usage });
    response.end("data: [DONE]\n\n");
  };
}

function settingsOf(): settings.Settings {
  return {
    host: "gisenyi-1",
    fleet: {
      hosts: [{
        id: "gisenyi-1",
        dataCentre: "gisenyi-hall",
        address: "127.0.0.1",
        port: 0,
      }],
    },
    listen: { callers: { port: 0 }, operators: { port: 0 } },
    services: [
      { name: "enc", kind: "encoder" },
      { name: "ret", kind: "retriever" },
      { name: "rank", kind: "reranker" },
      { name: "lm-pool", kind: "engine", model: "m" },
      { name: "billing", kind: "plain" },
    ],
    pipelines: [{
      name: "plan",
      deadline: 20_000,
      stages: [
        { name: "encode", service: "enc" },
        { name: "retrieve", service: "ret", top: 2 },
        { name: "rerank", service: "rank", top: 2 },
        { name: "generate", service: "lm-pool", instruction: "Plan." },
      ],
    }, {
      name: "short",
      deadline: 20_000,
      stages: [{ name: "generate", service: "lm-pool" }],
    }],
    limits: { bodyBytes: 2000 },
  };
}

interface Started {
  url: string;
  path: path.RequestPath;
  tally: telemetry.Tally;
  fleet: Record<string, Endpoint>;
  stop: () => Promise<void>;
}

const kinds = {
  enc: "encoder",
  ret: "retriever",
  rank: "reranker",
  "lm-pool": "engine",
  billing: "plain",
} as const;

async function start(
  serves: Record<string, Serve>,
  options: Partial<pathOptions.PathOptions> = {},
): Promise<Started> {
  const tally = new telemetry.Tally();
  const tokenHash = crypto.createHash("sha256").update(TOKEN).digest("hex");
  const account = { name: "kivu-crew", tokenHash };
  const made = path.RequestPath.create({
    settings: settingsOf(),
    clock: runtime.systemClock,
    random: runtime.createRandom(1),
    metrics: tally,
    log: { info() {}, warn() {} },
    accounts: (hash) => hash === tokenHash ? account : undefined,
    endpointToken: "endpoint-token",
    ...options,
  });
  const fleet: Record<string, Endpoint> = {};
  for (const [id, serve] of Object.entries(serves)) {
    fleet[id] = await listen(serve);
  }
  made.setEndpoints(
    Object.keys(serves).map((id) => {
      const service = id.replace(/@.*/, "") as keyof typeof kinds;
      return {
        id,
        service,
        kind: kinds[service],
        dataCentre: "gisenyi-hall",
        slots: 4,
        role: "both",
        state: "ready",
        url: fleet[id].url,
      };
    }),
  );
  await made.start();
  return {
    url: `http://127.0.0.1:${made.port}`,
    path: made,
    tally,
    fleet,
    stop: async () => {
      await made.stop();
      for (const each of Object.values(fleet)) each.close();
    },
  };
}

interface Posted {
  status: number;
  headers: Record<string, unknown>;
  text: string;
  // deno-lint-ignore no-explicit-any
  body: any;
}

async function post(
  url: string,
  body: unknown,
  options: { headers?: Record<string, string>; method?: "POST" | "PUT" } = {},
): Promise<Posted> {
  const sent = typeof body === "string" ? body : JSON.stringify(body);
  const answer = await undici.request(url, {
    method: options.method ?? "POST",
    headers: { authorization: `Bearer ${TOKEN}`, ...options.headers },
    body: sent,
  });
  const text = await answer.body.text();
  const isJson = String(answer.headers["content-type"]).includes("json");
  return {
    status: answer.statusCode,
    headers: answer.headers,
    text,
    body: isJson ? JSON.parse(text) : undefined,
  };
}

const whole = {
  enc: encode,
  ret: retrieve,
  rank: rerank,
  "lm-pool@1": generate(),
};

test("runs a pipeline from the caller to all endpoints and back", async (t) => {
  const started = await start(whole);
  const input = { text: "hull history", question: "which hull" };
  const answer = await post(`${started.url}/v1/pipelines/plan`, { input });
  t.is(answer.status, 200);
  // The prompt holds what encoder, retriever and reranker made of this input.
  t.is(answer.body.output.text, " Plan. hull history b of which");
  t.deepEqual(
    answer.body.stages.map((stage: { name: string }) => stage.name),
    ["encode", "retrieve", "rerank", "generate"],
  );
  t.deepEqual(answer.body.usage, { inputTokens: 18, outputTokens: 6 });
  await started.stop();
});

test("streams every token once when a broken stream is resumed", async (t) => {
  const broken = generate({ breakAt: 3 });
  const started = await start({ "lm-pool@1": broken, "lm-pool@2": generate() });
  const input = { text: "one two three four five six" };
  const asked = { input, stream: true };
  const answer = await post(`${started.url}/v1/pipelines/short`, asked);
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

test("passes a plain call and its answer on as they are", async (t) => {
  const started = await start({
    billing: (incoming, response, body) => {
      response.writeHead(418, { "x-kind": "teapot" });
      response.end(`${incoming.method} ${incoming.url} ${body}`);
    },
  });
  const url = `${started.url}/v1/services/billing/a%20b/c?d=1`;
  const answer = await post(url, "text");
  t.is(answer.status, 418);
  t.is(answer.headers["x-kind"], "teapot");
  t.is(answer.text, "POST /a%20b/c?d=1 text");
  await started.stop();
});

test("drops an answer that carries another request's id", async (t) => {
  const crossed: Serve = (_incoming, response) => {
    response.setHeader("x-request-id", "another");
    response.end("another's booking");
  };
  const started = await start({ billing: crossed });
  const answer = await post(`${started.url}/v1/services/billing/`, "book", {
    headers: { "chicoryloft-idempotent": "false" },
  });
  t.like(answer.body, { status: 502, outcome: "unknown" });
  t.is(started.fleet.billing.calls(), 1);
  await started.stop();
});

test("refuses bad input without any dispatch", async (t) => {
  const started = await start(whole);
  const pipeline = `${started.url}/v1/pipelines/plan`;
  const good = { input: { text: "a" } };
  const cases: [string, number, Promise<Posted>][] = [
    ["bad-request", 400, post(pipeline, "{")],
    ["bad-request", 400, post(pipeline, { input: { txt: "a" } })],
    ["body-too-large", 413, post(pipeline, "x".repeat(3000))],
    ["unknown-pipeline", 404, post(`${pipeline}x`, good)],
    [
      "unknown-service",
      404,
      post(`${started.url}/v1/services/lm-pool/x`, good),
    ],
    [
      "unauthorized",
      401,
      post(pipeline, good, { headers: { authorization: "Bearer wrong" } }),
    ],
    [
      "deadline-passed",
      504,
      post(pipeline, good, { headers: { "chicoryloft-deadline": "-5" } }),
    ],
    [
      "bad-request",
      400,
      post(pipeline, good, { headers: { "chicoryloft-deadline": "soon" } }),
    ],
    [
      "claim-refused",
      503,
      post(pipeline, good, {
        headers: { "idempotency-key": "k", "chicoryloft-idempotent": "false" },
      }),
    ],
    [
      "unauthorized",
      401,
      post(`${started.url}/v1/endpoints/e1`, {}, { method: "PUT" }),
    ],
  ];
  for (const [name, status, asked] of cases) {
    const answer = await asked;
    t.like(answer.body, {
      type: `urn:chicoryloft:problem:${name}`,
      status,
      outcome: "not-run",
    });
    t.is(answer.headers["content-type"], "application/problem+json");
  }
  const calls = Object.values(started.fleet).map((each) => each.calls());
  t.deepEqual(calls, [0, 0, 0, 0]);
  await started.stop();
});

test("hands a checked announcement on and answers its lease", async (t) => {
  const heard: pathOptions.Notice[] = [];
  const started = await start({}, {
    notices: (notice) => {
      heard.push(notice);
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
  const taken = await post(url, announcement, { headers, method: "PUT" });
  t.deepEqual(taken.body, { lease: 1500 });
  const bad = await post(url, { service: "x" }, { headers, method: "PUT" });
  t.is(bad.status, 400);
  t.deepEqual(heard, [{ type: "announce", endpoint: "b1", announcement }]);
  await started.stop();
});

test("a graceful stop cuts off no request in flight", async (t) => {
  let release = () => {};
  const arrived = new Promise<void>((resolve) => {
    release = resolve;
  });
  let finish = () => {};
  const started = await start({
    billing: (_incoming, response) => {
      finish = () => response.end("booked");
      release();
    },
  });
  const asked = post(`${started.url}/v1/services/billing/`, "book");
  await arrived;
  const stopped = started.stop();
  const health = await undici.request(`${started.url}/health`);
  t.is(health.statusCode, 503);
  await health.body.dump();
  const refused = await post(`${started.url}/v1/services/billing/`, "book");
  t.like(refused.body, { status: 503, outcome: "not-run" });
  finish();
  t.is((await asked).text, "booked");
  await stopped;
});

/** Claims of one host, kept in memory. */
function claimsOf(
  results: pathOptions.ClaimResult[],
): pathOptions.Claims & { settled: (pathOptions.StoredAnswer | undefined)[] } {
  const settled: (pathOptions.StoredAnswer | undefined)[] = [];
  return {
    settled,
    claim: () => Promise.resolve(results.shift()!),
    settle: (_claim, answer) => settled.push(answer),
  };
}

const once = {
  headers: { "idempotency-key": "k1", "chicoryloft-idempotent": "false" },
};

test("runs a claimed request and keeps its answer", async (t) => {
  const claims = claimsOf([{ type: "granted" }]);
  const serve: Serve = (_incoming, response) => response.end("booked");
  const started = await start({ billing: serve }, { claims });
  const url = `${started.url}/v1/services/billing/`;
  t.is((await post(url, "book", once)).text, "booked");
  t.like(claims.settled, { length: 1, 0: { status: 200, body: "booked" } });
  await started.stop();
});

test("answers a resend without another dispatch", async (t) => {
  const answer = { status: 201, headers: {}, body: "booked before" };
  const claims = claimsOf([
    { type: "answered", answer },
    { type: "in-progress" },
    { type: "refused", detail: "No quorum", outcome: "not-run" },
  ]);
  const serve: Serve = (_incoming, response) => response.end("booked");
  const started = await start({ billing: serve }, { claims });
  const url = `${started.url}/v1/services/billing/`;
  t.like(await post(url, "book", once), { status: 201, text: answer.body });
  t.like((await post(url, "book", once)).body, {
    status: 409,
    outcome: "unknown",
  });
  t.like(await post(url, "book", once), { status: 503 });
  t.is(started.fleet.billing.calls(), 0);
  t.is(started.tally.total("request.refused"), 2);
  await started.stop();
});

test("gives a claim back when nothing ran", async (t) => {
  const claims = claimsOf([{ type: "granted" }]);
  const started = await start({}, { claims });
  const url = `${started.url}/v1/services/billing/`;
  const refused = await post(url, "book", once);
  t.like(refused.body, { status: 503, outcome: "not-run" });
  t.deepEqual(claims.settled, [undefined]);
  await started.stop();
});

test("refuses at the deadline a claim that nobody answers", async (t) => {
  const claims: pathOptions.Claims = {
    claim: () => new Promise(() => {}),
    settle: () => t.fail(),
  };
  const started = await start({}, { claims });
  const headers = { ...once.headers, "chicoryloft-deadline": "50" };
  const url = `${started.url}/v1/services/billing/`;
  const refused = await post(url, "book", { headers });
  t.like(refused.body, { status: 503, outcome: "not-run" });
  await started.stop();
});

test("cancels the calls of a caller that hangs up", async (t) => {
  let arrived = () => {};
  const called = new Promise<void>((resolve) => arrived = resolve);
  let closed = () => {};
  const cut = new Promise<void>((resolve) => closed = resolve);
  const started = await start({
    billing: (_incoming, response) => {
      response.on("close", () => closed());
      arrived();
    },
  });
  const caller = new AbortController();
  const url = `${started.url}/v1/services/billing/`;
  const asked = undici.request(url, {
    method: "POST",
    headers: { authorization: `Bearer ${TOKEN}` },
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

const STREAMS = 50;

test("a stop in the middle of 50 streams cuts off none", async (t) => {
  const held: (() => void)[] = [];
  let all = () => {};
  const middle = new Promise<void>((resolve) => all = resolve);
  const whole = generate();
  const started = await start({
    "lm-pool@1": (incoming, response, body) => {
      response.writeHead(200, { "content-type": "text/event-stream" });
      response.flushHeaders();
      response.writeHead = () => response;
      held.push(() => whole(incoming, response, body));
      if (held.length === STREAMS) all();
    },
  });
  started.path.setEndpoints([{
    id: "lm-pool@1",
    service: "lm-pool",
    kind: "engine",
    dataCentre: "gisenyi-hall",
    slots: STREAMS,
    role: "both",
    state: "ready",
    url: started.fleet["lm-pool@1"].url,
  }]);
  const url = `${started.url}/v1/pipelines/short`;
  const answers = Array.from({ length: STREAMS }, (_, pos) => {
    const input = { text: `one two three four five nr${pos}` };
    return post(url, { input, stream: true });
  });
  await middle;
  const stopped = started.stop();
  for (const release of held) release();
  const texts = (await Promise.all(answers)).map(({ text }) => text);
  const complete = texts.filter((text, pos) =>
    text.includes(` nr${pos}"`) && text.includes("event: done")
  );
  t.is(complete.length, STREAMS);
  await stopped;
});
