/** Handler of plain services: calls and answers pass as they are.
 * @module */

import * as call from "./call.ts";
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
  acceptsAnyStatus: true,
  build({ method, path, headers, body }) {
    const sent = { method, path, headers: passed(headers) };
    return body.length > 0 ? { ...sent, body } : sent;
  },
  createReader: (made, head) => new PlainReader(made, head),
};

class PlainReader implements handler.Reader {
  readonly #made: call.Call;
  readonly #head: handler.Head;
  readonly #chunks: Buffer[] = [];

  constructor(made: call.Call, head: handler.Head) {
    this.#made = made;
    this.#head = head;
  }

  feed(chunk: Buffer): void {
    this.#chunks.push(chunk);
  }

  end(): handler.ParsedAnswer {
    const { status } = this.#head;
    const headers = passed(this.#head.headers);
    const body = Buffer.concat(this.#chunks);
    const echoed = echoOf(body);
    if (echoed !== undefined && echoed !== call.idOf(this.#made)) {
      throw new call.CallError("mismatch", "The answer is another call's");
    }
    const result = { type: "plain" as const, status, headers, body };
    return { result, usage: NO_USAGE };
  }
}

/** Form of the id that the body of an answer carries. */
const ECHO = /^[^/]+\/[^/]+\/\d+$/;
const BRACE = "{".charCodeAt(0);

/** The id of a call that a JSON body carries. A service may answer anything
 * else, or use `id` for its own purposes: then the headers have to do. */
function echoOf(body: Buffer): string | undefined {
  if (body[0] !== BRACE) return undefined;
  try {
    const { id } = JSON.parse(body.toString());
    return typeof id === "string" && ECHO.test(id) ? id : undefined;
  } catch {
    return undefined;
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
