/** A request path with fake endpoints over HTTP, for tests.
 * @module */

import * as crypto from "node:crypto";
import * as http from "node:http";
import type * as net from "node:net";
import * as undici from "undici";
import * as path from "./path.ts";
import type * as pathOptions from "./path_options.ts";
import * as runtime from "../runtime/mod.ts";
import type * as settings from "../schema/settings_types.ts";
import * as telemetry from "../telemetry/mod.ts";

/** Bearer token of the only account. */
export const TOKEN = "crew-token";

/** A clock whose timers take a tenth of a second at most. */
export const HASTY_CLOCK: runtime.Clock = {
  now: () => runtime.systemClock.now(),
  wall: () => runtime.systemClock.wall(),
  after: (delay, callback) =>
    runtime.systemClock.after(Math.min(delay, 100), callback),
};

/** Handler of one call. */
export type Serve = (
  incoming: http.IncomingMessage,
  response: http.ServerResponse,
  body: string,
) => void;

/** A fake endpoint. */
export interface Endpoint {
  url: string;
  calls: () => number;
  close: () => void;
}

/** Starts an endpoint on a free port; it publishes no events. */
export function listen(serve: Serve): Promise<Endpoint> {
  let calls = 0;
  const server = http.createServer((incoming, response) => {
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
    const created = make(JSON.parse(body));
    const usage = { "prompt_tokens": 3, "engine_ms": 1 };
    response.end(JSON.stringify({ id: idOf(incoming), ...created, usage }));
  };
}

/** Handler of an encoder. */
export const encode = json(({ input }) => ({
  data: (input as string[]).map((_, index) => ({ index, embedding: [index] })),
}));

/** Handler of a retriever. */
export const retrieve = json(({ embedding, text }) => ({
  documents: ["a", "b"].map((id, pos) => ({
    id,
    text: `${id} of ${text} at ${embedding}`,
    score: pos,
  })),
}));

/** Handler of a reranker. */
export const rerank = json(({ documents }) => ({
  results: (documents as string[]).map((_, index) => ({
    index,
    "relevance_score": index,
  })),
}));

/** Options of a fake engine. */
export interface Generation {
  /** Number of tokens after which the connection breaks. */
  breakAt?: number;
  /** Number of tokens after which nothing more is sent. */
  stopAt?: number;
}

/** Handler of an engine that generates the first six words of the prompt. */
export function generate(
  { breakAt = Infinity, stopAt = Infinity }: Generation = {},
): Serve {
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
      if (pos === stopAt) return;
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

/** Settings of a fleet of one host. */
export function settingsOf(): settings.Settings {
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

/** A started request path with its endpoints. */
export interface RunningPath {
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

/** Starts a path with an endpoint for each entry of `serves`, whose key is
 * `SERVICE` or `SERVICE@N`. */
export async function start(
  serves: Record<string, Serve>,
  options: Partial<pathOptions.PathOptions> = {},
): Promise<RunningPath> {
  const tally = new telemetry.Tally();
  const tokenHash = crypto.createHash("sha256").update(TOKEN).digest("hex");
  const account = { name: "kivu-crew", tokenHash };
  const created = path.RequestPath.create({
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
  created.setEndpoints(
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
  await created.start();
  return {
    url: `http://127.0.0.1:${created.port}`,
    path: created,
    tally,
    fleet,
    stop: async () => {
      await created.stop();
      for (const each of Object.values(fleet)) each.close();
    },
  };
}

/** A complete answer. */
export interface Answer {
  status: number;
  headers: Record<string, unknown>;
  text: string;
  // deno-lint-ignore no-explicit-any
  body: any;
}

/** Sends a request with the token of the only account. */
export async function post(
  url: string,
  body: unknown,
  options: {
    headers?: Record<string, string>;
    method?: "POST" | "PUT" | "DELETE";
  } = {},
): Promise<Answer> {
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

/** One endpoint for each service of the pipeline `plan`. */
export const allEndpoints = {
  enc: encode,
  ret: retrieve,
  rank: rerank,
  "lm-pool@1": generate(),
};
