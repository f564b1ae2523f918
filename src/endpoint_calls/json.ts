/** Handlers of the kinds that answer with one JSON document.
 * @module */

import * as call from "./call.ts";
import type * as exchange from "./exchange.ts";
import type * as handler from "./handler.ts";
import type * as request from "../request/request.ts";

/** Usage as endpoints report it. */
export interface Usage {
  "prompt_tokens"?: unknown;
  "completion_tokens"?: unknown;
  "cached_tokens"?: unknown;
  "engine_ms"?: unknown;
}

interface Body {
  id?: unknown;
  usage?: Usage;
}

type Parse = (body: unknown, made: call.Call) => call.Result;

/** Talks to encoders. */
export const encoder: handler.Handler<call.Input & { type: "encoder" }> = {
  build: ({ model, texts }) => post("/v1/embeddings", { model, input: texts }),
  createReader: (made) => new JsonReader(made, parseEmbeddings),
};

/** Talks to retrievers. */
export const retriever: handler.Handler<call.Input & { type: "retriever" }> = {
  build: ({ embedding, text, top }) =>
    post("/v1/retrieve", { embedding, text, top }),
  createReader: (made) => new JsonReader(made, parseDocuments),
};

/** Talks to rerankers. */
export const reranker: handler.Handler<call.Input & { type: "reranker" }> = {
  build: ({ query, documents, top }) =>
    post("/v1/rerank", { query, documents, "top_n": top }),
  createReader: (made) => new JsonReader(made, parseRanks),
};

/** A POST of a JSON document. */
export function post(path: string, body: unknown): exchange.OutgoingRequest {
  const headers = { "content-type": "application/json" };
  return { method: "POST", path, headers, body: JSON.stringify(body) };
}

/** Usage as endpoints report it; what they leave out counts as 0. */
export function usageOf(usage: Usage | undefined): request.Usage {
  return {
    inputTokens: amount(usage?.prompt_tokens),
    outputTokens: amount(usage?.completion_tokens),
    cachedTokens: amount(usage?.cached_tokens),
    engineTime: amount(usage?.engine_ms),
  };
}

/** Parses JSON, or throws a `CallError`. */
export function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new call.CallError("error", "The answer is not JSON");
  }
}

class JsonReader implements handler.Reader {
  readonly #made: call.Call;
  readonly #parse: Parse;
  readonly #chunks: Buffer[] = [];

  constructor(made: call.Call, parse: Parse) {
    this.#made = made;
    this.#parse = parse;
  }

  feed(chunk: Buffer): void {
    this.#chunks.push(chunk);
  }

  end(): handler.ParsedAnswer {
    const body = parse(Buffer.concat(this.#chunks).toString()) as Body | null;
    if (body?.id !== call.idOf(this.#made)) {
      throw new call.CallError("mismatch", "The answer is another call's");
    }
    const result = this.#parse(body, this.#made);
    return { result, usage: usageOf(body.usage) };
  }
}

function parseEmbeddings(body: unknown, made: call.Call): call.Result {
  const { texts } = made.input as call.Input & { type: "encoder" };
  const { data } = body as { data?: { index: number; embedding: number[] }[] };
  demand(Array.isArray(data) && data.length === texts.length);
  const embeddings: number[][] = new Array(texts.length);
  for (const each of data!) {
    demand(isPosition(each?.index, texts.length));
    demand(embeddings[each.index] === undefined);
    demand(isNumbers(each.embedding));
    embeddings[each.index] = each.embedding;
  }
  return { type: "encoder", embeddings };
}

function parseDocuments(body: unknown): call.Result {
  const { documents } = body as { documents?: call.Document[] };
  demand(Array.isArray(documents));
  for (const each of documents!) {
    demand(typeof each?.id === "string" && typeof each.text === "string");
    demand(typeof each.score === "number");
  }
  return { type: "retriever", documents: documents! };
}

function parseRanks(body: unknown, made: call.Call): call.Result {
  const asked = made.input as call.Input & { type: "reranker" };
  const { results } = body as {
    results?: { index: number; "relevance_score": number }[];
  };
  demand(Array.isArray(results));
  const ranks = results!.map((each) => {
    demand(isPosition(each?.index, asked.documents.length));
    demand(typeof each["relevance_score"] === "number");
    return { index: each.index, score: each["relevance_score"] };
  });
  demand(new Set(ranks.map(({ index }) => index)).size === ranks.length);
  demand(ranks.length >= Math.min(asked.top, asked.documents.length));
  return { type: "reranker", ranks };
}

function demand(holds: boolean): void {
  if (!holds) throw new call.CallError("error", "The answer is malformed");
}

function isPosition(value: unknown, bound: number): boolean {
  return Number.isInteger(value) && (value as number) >= 0 &&
    (value as number) < bound;
}

function isNumbers(value: unknown): boolean {
  return Array.isArray(value) &&
    value.every((each) => typeof each === "number");
}

function amount(value: unknown): number {
  return typeof value === "number" && Number.isFinite(value) && value > 0
    ? value
    : 0;
}
