/** What the request path adds to a call: the same calls to the same small
 * server, once directly by undici and once through a host's callers' port,
 * by turns in one process. CPU is that of client, host and server together.
 * @module */

import * as crypto from "node:crypto";
import * as http from "node:http";
import type * as net from "node:net";
import * as undici from "undici";
import * as request from "../src/request/mod.ts";
import * as result from "./result.ts";
import * as runtime from "../src/runtime/mod.ts";
import type * as settings from "../src/schema/settings_types.ts";
import * as telemetry from "../src/telemetry/mod.ts";

/** Time and CPU of the path against a direct call. */
export const measurement: result.Measurement = {
  title: "time and CPU a request against a direct undici call",
  run,
};

/** Token of the client account. */
export const TOKEN = "bench";
const WARM_UP = 500;
const CALLS = 1000;
const ROUNDS = 7;
const LANES = 16;
const SLOTS = 64;
const TOKENS = 32;
const MICROSECONDS = 1000;

/** What calls cost. */
export interface Cost {
  /** Median milliseconds of one call. */
  time: number;
  /** Milliseconds of CPU a call. */
  cpu: number;
}

interface Case {
  name: string;
  direct(): Promise<void>;
  through(): Promise<void>;
  /** Most that the path may multiply CPU by. */
  most: number;
}

async function run(): Promise<result.Result[]> {
  const server = await listen();
  const { port } = server.address() as net.AddressInfo;
  const path = createPath(`http://127.0.0.1:${port}`);
  await path.start();
  const agent = new undici.Agent({ pipelining: 1 });
  const results: result.Result[] = [];
  const urls = { direct: port, through: path.port };
  for (const each of cases(agent, urls)) {
    for (const lanes of [1, LANES]) {
      results.push(...await compare(each, lanes));
    }
  }
  await agent.close();
  await path.stop();
  server.close();
  server.closeAllConnections();
  return results;
}

function cases(
  agent: undici.Agent,
  ports: { direct: number; through: number },
): Case[] {
  const echo = { "x-request-id": "r", "x-stage": "s", "x-attempt": "1" };
  const direct = (path: string, body: string) =>
    post(agent, { port: ports.direct, path, body, headers: echo });
  const authorization = `Bearer ${TOKEN}`;
  const through = (path: string, body: string) =>
    post(agent, {
      port: ports.through,
      path,
      body,
      headers: { authorization },
    });
  const input = { text: "a short question about one hull section" };
  const asked = JSON.stringify({ input, stream: true });
  return [
    {
      name: "plain call",
      direct: () => direct("/book", "booking"),
      through: () => through("/v1/services/desk/book", "booking"),
      most: 5,
    },
    {
      name: `stream of ${TOKENS} tokens`,
      direct: () => direct("/v1/completions", asked),
      through: () => through("/v1/pipelines/ask", asked),
      most: 5,
    },
  ];
}

async function compare(of: Case, lanes: number): Promise<result.Result[]> {
  await work(of.direct, lanes, WARM_UP);
  await work(of.through, lanes, WARM_UP);
  const direct: Cost[] = [];
  const through: Cost[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    direct.push(await work(of.direct, lanes, CALLS));
    through.push(await work(of.through, lanes, CALLS));
  }
  const name = `${of.name}, ${lanes} at once`;
  return (["time", "cpu"] as const).flatMap((what) => {
    const one = median(direct.map((cost) => cost[what]));
    const other = median(through.map((cost) => cost[what]));
    const bound = what === "cpu" ? { most: of.most } : undefined;
    return [
      {
        name: `${name}: ${what} against direct`,
        unit: "times",
        value: other / one,
        kind: "speed" as const,
        bound,
      },
      {
        name: `${name}: added ${what}`,
        unit: "us",
        value: (other - one) * MICROSECONDS,
        kind: "time" as const,
      },
    ];
  });
}

/** Makes `count` calls, `lanes` at once. */
export async function work(
  call: () => Promise<void>,
  lanes: number,
  count: number,
): Promise<Cost> {
  const times: number[] = [];
  const before = process.cpuUsage();
  async function lane(): Promise<void> {
    while (times.length < count) {
      const start = performance.now();
      await call();
      times.push(performance.now() - start);
    }
  }
  await Promise.all(Array.from({ length: lanes }, lane));
  const { user, system } = process.cpuUsage(before);
  const cpu = (user + system) / MICROSECONDS / times.length;
  return { time: median(times), cpu };
}

/** One call. */
export interface Post {
  port: number;
  path: string;
  body: string;
  headers: Record<string, string>;
}

/** Makes one call and reads all of its answer. */
export async function post(agent: undici.Agent, asked: Post): Promise<void> {
  const { port, path, body, headers } = asked;
  const answer = await agent.request({
    origin: `http://127.0.0.1:${port}`,
    path,
    method: "POST",
    headers,
    body,
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) throw new Error(`A call failed: ${text}`);
}

/** What the server streams; may be changed between two calls. */
export interface Stream {
  chunks: number;
  /** Words in one chunk. */
  words: number;
  /** Whether each chunk is written by itself, as a model gives them. */
  apart: boolean;
}

/** A small server of plain calls and of streams. */
export function listen(
  stream: Readonly<Stream> = { chunks: TOKENS, words: 1, apart: false },
): Promise<http.Server> {
  const server = http.createServer((incoming, response) => {
    incoming.resume();
    incoming.on("end", () => {
      const { url, headers } = incoming;
      const echo: Record<string, string> = {};
      for (const name of ["x-request-id", "x-stage", "x-attempt"]) {
        echo[name] = String(headers[name]);
      }
      response.writeHead(200, echo);
      if (url !== "/v1/completions") return response.end("booked");
      generate(response, Object.values(echo).join("/"), stream);
    });
  });
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(server))
  );
}

async function generate(
  response: http.ServerResponse,
  id: string,
  { chunks, words, apart }: Stream,
): Promise<void> {
  const text = " word".repeat(words);
  for (let offset = 0; offset < chunks; offset++) {
    const choices = [{ index: 0, text, "finish_reason": null }];
    response.write(`data: ${JSON.stringify({ id, offset, choices })}\n\n`);
    if (apart) await new Promise(setImmediate);
  }
  const choices = [{ index: 0, text: "", "finish_reason": "stop" }];
  const last = { id, offset: chunks, choices, usage: {} };
  response.end(`data: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`);
}

/** A host's request path in front of the server at `url`. */
export function createPath(url: string): request.RequestPath {
  const tokenHash = crypto.createHash("sha256").update(TOKEN).digest("hex");
  const account = { name: "bench", tokenHash };
  const path = request.RequestPath.create({
    settings: settingsOf(),
    clock: runtime.systemClock,
    random: runtime.createRandom(1),
    metrics: telemetry.noMetrics,
    log: { info() {}, warn() {} },
    accounts: (hash) => hash === tokenHash ? account : undefined,
  });
  const common = {
    dataCentre: "ba-vi",
    slots: SLOTS,
    role: "both" as const,
    state: "ready" as const,
    url,
  };
  path.setEndpoints([
    { ...common, id: "desk-1", service: "desk", kind: "plain" },
    { ...common, id: "model-1", service: "model", kind: "engine" },
  ]);
  return path;
}

function settingsOf(): settings.Settings {
  const host = { id: "h", dataCentre: "ba-vi", address: "127.0.0.1", port: 0 };
  return {
    host: "h",
    fleet: { hosts: [host] },
    listen: { callers: { port: 0 }, operators: { port: 0 } },
    services: [
      { name: "desk", kind: "plain" },
      { name: "model", kind: "engine", model: "m" },
    ],
    pipelines: [{
      name: "ask",
      deadline: 20_000,
      stages: [{ name: "generate", service: "model" }],
    }],
  };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[sorted.length >>> 1];
}
