/** Handler of plain services: calls and answers pass as they are.
 * @module */

import type * as call from "./call.ts";
import type * as exchange from "./exchange.ts";
import type * as handler from "./handler.ts";

const NO_USAGE = {
  inputTokens: 0,
  outputTokens: 0,
  cachedTokens: 0,
  engineTime: 0,
};

/** Headers of one connection, secrets of callers, and our own ids. */
const DROPPED: ReadonlySet<string> = new Set([
  "authorization",
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "x-attempt",
  "x-deadline",
  "x-outcome",
  "x-priority",
  "x-request-id",
  "x-stage",
]);

/** Talks to plain services. */
export const plain: handler.Handler<call.PlainInput> = {
  anyStatus: true,
  build({ method, path, headers, body }) {
    const sent = { method, path, headers: passed(headers) };
    return body.length > 0 ? { ...sent, body } : sent;
  },
  read: (_made, head) => new PlainReader(head),
};

class PlainReader implements handler.Reader {
  readonly #head: handler.Head;
  readonly #chunks: Buffer[] = [];

  constructor(head: handler.Head) {
    this.#head = head;
  }

  feed(chunk: Buffer): void {
    this.#chunks.push(chunk);
  }

  end(): handler.Read {
    const { status } = this.#head;
    const headers = passed(this.#head.headers);
    const body = Buffer.concat(this.#chunks);
    const result = { type: "plain" as const, status, headers, body };
    return { result, usage: NO_USAGE };
  }
}

function passed(headers: exchange.Headers): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || DROPPED.has(name)) continue;
    kept[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return kept;
}
