/** Handler for plain services, which forwards calls and answers unchanged except
 * for some headers.
 * @module */

import * as call from "./call.ts";
import * as chunkLists from "../runtime/chunk_list.ts";
import * as exchange from "./exchange.ts";
import type * as handler from "./handler.ts";

const NO_USAGE = {
  inputTokens: 0,
  outputTokens: 0,
  cachedTokens: 0,
  engineTime: 0,
};

/** Headers that are not forwarded: hop-by-hop headers, callers' credentials and
 * this system's ids. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set([
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

/** Handler for plain services. */
export const plain: handler.Handler<call.PlainInput> = {
  acceptsAnyStatus: true,
  build({ method, path, headers, body }) {
    const sent = { method, path, headers: forwardedHeaders(headers) };
    return body.length > 0 ? { ...sent, body } : sent;
  },
  createReader: (sentCall, head) => new PlainReader(sentCall, head),
};

class PlainReader implements handler.Reader {
  readonly #call: call.Call;
  readonly #head: handler.Head;
  readonly #chunks = chunkLists.ChunkList.create();

  constructor(sentCall: call.Call, head: handler.Head) {
    this.#call = sentCall;
    this.#head = head;
  }

  get heldBytes(): number {
    return this.#chunks.heldBytes;
  }

  feed(chunk: Buffer): void {
    this.#chunks.push(chunk);
  }

  end(): handler.ParsedAnswer {
    const { status, framing } = this.#head;
    const { needsStatedEnd } = this.#call.input as call.PlainInput;
    if (needsStatedEnd && !exchange.isDelimited(framing)) {
      throw new call.CallError("broken-stream", "answer states no end");
    }
    const headers = forwardedHeaders(this.#head.headers);
    const body = this.#chunks.take();
    const callId = callIdIn(body);
    if (callId !== undefined && callId !== call.idOf(this.#call)) {
      throw new call.CallError("mismatch", "answer has the id of another call");
    }
    const result = {
      type: "plain" as const,
      status,
      headers,
      body,
      framing,
    };
    return { result, usage: NO_USAGE };
  }
}

/** Form of a call's id in the body of an answer. */
const CALL_ID = /^[^/]+\/[^/]+\/\d+$/;
const OPENING_BRACE = "{".charCodeAt(0);

/** Finds the id of a call in a JSON body. A service may answer with any other
 * body or use `id` for its own purposes; then only the headers are checked. */
function callIdIn(body: Buffer): string | undefined {
  if (body[0] !== OPENING_BRACE) return undefined;
  try {
    const { id } = JSON.parse(body.toString());
    return typeof id === "string" && CALL_ID.test(id) ? id : undefined;
  } catch {
    return undefined;
  }
}

function forwardedHeaders(headers: exchange.Headers): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || DROPPED_HEADERS.has(name)) continue;
    kept[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return kept;
}
