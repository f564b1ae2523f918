/** Sends one request of an experiment as a caller does.
 * @module */

import * as undici from "undici";
import type * as plan from "./plan.ts";
import type * as verify from "./verify.ts";

/** One try of one request. */
export interface Try {
  /** Base URL of a host. */
  host: string;
  /** Milliseconds left until the deadline. */
  left: number;
  /** Milliseconds that the caller waits for the end. */
  patience: number;
}

/** What a client needs to know. */
export interface Options {
  /** Bearer token by account. */
  tokens: ReadonlyMap<string, string>;
}

interface Answer {
  output: { text: string };
  stages: verify.Stage[];
}

interface Problem {
  type?: string;
  outcome?: string;
}

interface Event {
  name: string;
  data: string;
}

const PROBLEM_PREFIX = "urn:chicoryloft:problem:";

/** Calls hosts over as many connections as it takes. */
export class Client {
  readonly #agent = new undici.Agent({ pipelining: 1 });
  readonly #tokens: ReadonlyMap<string, string>;

  constructor({ tokens }: Options) {
    this.#tokens = tokens;
  }

  /** Breaks what is still open. */
  async stop(): Promise<void> {
    await this.#agent.destroy();
  }

  /** Sends a request; never throws. */
  async send(planned: plan.Planned, made: Try): Promise<verify.Reply> {
    const signal = AbortSignal.timeout(Math.max(1, Math.ceil(made.patience)));
    try {
      return await this.#send(planned, { ...made, signal });
    } catch (error) {
      if (signal.aborted) return { type: "silence" };
      return { type: "broken", detail: (error as Error).message };
    }
  }

  async #send(
    planned: plan.Planned,
    { host, left, signal }: Try & { signal: AbortSignal },
  ): Promise<verify.Reply> {
    const { path, method, body } = address(planned);
    const answer = await undici.request(`${host}${path}`, {
      method,
      headers: this.#headers(planned, left),
      ...(body === undefined ? {} : { body }),
      signal,
      dispatcher: this.#agent,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const streamed = String(answer.headers["content-type"] ?? "")
      .startsWith("text/event-stream");
    const text = await answer.body.text();
    if (answer.statusCode >= 400) {
      const retry = answer.headers["retry-after"];
      const retryAfter = Number(retry ?? NaN);
      return problem(text, { status: answer.statusCode, retryAfter });
    }
    if (planned.entry.call.type === "service") {
      return { type: "plain", body: text };
    }
    return streamed ? readStream(text) : readAnswer(text);
  }

  #headers(
    { entry, marker }: plan.Planned,
    left: number,
  ): Record<string, string> {
    return {
      "content-type": "application/json",
      authorization: `Bearer ${this.#tokens.get(entry.account) ?? ""}`,
      "chicoryloft-kind": entry.kind,
      "chicoryloft-deadline": String(Math.max(1, Math.floor(left))),
      ...(entry.idempotent === false
        ? { "chicoryloft-idempotent": "false" }
        : {}),
      ...(entry.key ? { "idempotency-key": `"${marker.id}"` } : {}),
    };
  }
}

interface Address {
  path: string;
  method: "GET" | "POST" | "PUT" | "DELETE";
  body?: string;
}

function address({ entry, input }: plan.Planned): Address {
  const { call, maxTokens, stream } = entry;
  if (call.type === "pipeline") {
    return {
      path: `/v1/pipelines/${call.pipeline}`,
      method: "POST",
      body: JSON.stringify({
        input,
        ...(maxTokens === undefined ? {} : { maxTokens }),
        ...(stream ? { stream } : {}),
      }),
    };
  }
  const { method = "POST", service } = call;
  const path = `/v1/services/${service}${call.path}`;
  if (method !== "GET") return { path, method, body: JSON.stringify(input) };
  return { path: `${path}?input=${encodeURIComponent(input.text)}`, method };
}

function problem(
  body: string,
  { status, retryAfter }: { status: number; retryAfter: number },
): verify.Reply {
  let found: Problem = {};
  try {
    found = JSON.parse(body);
  } catch {
    // An answer that is no problem document says nothing of the outcome.
  }
  return {
    type: "problem",
    status,
    name: (found.type ?? `status-${status}`).replace(PROBLEM_PREFIX, ""),
    outcome: found.outcome ?? "unknown",
    ...(Number.isFinite(retryAfter) ? { retryAfter: retryAfter * 1000 } : {}),
  };
}

function readAnswer(body: string): verify.Reply {
  const { output, stages } = JSON.parse(body) as Answer;
  return { type: "answer", text: output.text, stages };
}

/** Reads the events of a streamed answer. */
export function readStream(body: string): verify.Reply {
  const parts: verify.Part[] = [];
  let stages: verify.Stage[] = [];
  let ends = 0;
  for (const { name, data } of readEvents(body)) {
    if (name === "error") {
      const { status } = JSON.parse(data) as { status?: number };
      return problem(data, { status: status ?? 500, retryAfter: NaN });
    }
    if (name === "token") parts.push(JSON.parse(data));
    if (name !== "done") continue;
    ends++;
    stages = (JSON.parse(data) as Answer).stages;
  }
  if (ends === 0) return { type: "broken", detail: "The stream has no end" };
  const text = parts.map((part) => part.text).join("");
  return { type: "answer", text, parts, ends, stages };
}

function readEvents(body: string): Event[] {
  return body.split(/\r?\n\r?\n/)
    .filter((block) => block.trim() !== "")
    .map((block) => ({
      name: field(block, "event"),
      data: field(block, "data"),
    }));
}

function field(block: string, name: string): string {
  const lines = block.split(/\r?\n/)
    .filter((line) => line.startsWith(`${name}:`));
  return lines.map((line) => line.slice(name.length + 1).trim()).join("\n");
}
