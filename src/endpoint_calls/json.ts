/** Handlers for encoders, retrievers and rerankers, which answer with one JSON
 * document.
 * @module */

import * as call from "./call.ts";
import * as chunkLists from "../runtime/chunk_list.ts";
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

type Parse = (body: unknown, sentCall: call.Call) => call.Result;

/** Handler for encoders. */
export const encoder: handler.Handler<call.Input & { type: "encoder" }> = {
  build: ({ model, texts }) => post("/v1/embeddings", { model, input: texts }),
  createReader: (sentCall) => new JsonReader(sentCall, parseEmbeddings),
};

/** Handler for retrievers. */
export const retriever: handler.Handler<call.Input & { type: "retriever" }> = {
  build: ({ embedding, text, top }) =>
    post("/v1/retrieve", { embedding, text, top }),
  createReader: (sentCall) => new JsonReader(sentCall, parseDocuments),
};

/** Handler for rerankers. */
export const reranker: handler.Handler<call.Input & { type: "reranker" }> = {
  build: ({ query, documents, top }) =>
    post("/v1/rerank", { query, documents, "top_n": top }),
  createReader: (sentCall) => new JsonReader(sentCall, parseRanks),
};

/** Builds a POST request with a JSON document. */
export function post(path: string, body: unknown): exchange.OutgoingRequest {
  const headers = { "content-type": "application/json" };
  return { method: "POST", path, headers, body: JSON.stringify(body) };
}

/** Converts reported usage; missing and invalid amounts count as 0. */
export function usageOf(usage: Usage | undefined): request.Usage {
  return {
    inputTokens: amountOf(usage?.prompt_tokens),
    outputTokens: amountOf(usage?.completion_tokens),
    cachedTokens: amountOf(usage?.cached_tokens),
    engineTime: amountOf(usage?.engine_ms),
  };
}

/** Parses JSON, or throws a `CallError`. */
export function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new call.CallError("error", "answer is not JSON");
  }
}

class JsonReader implements handler.Reader {
  readonly #call: call.Call;
  readonly #parse: Parse;
  readonly #chunks = chunkLists.ChunkList.create();

  constructor(sentCall: call.Call, parse: Parse) {
    this.#call = sentCall;
    this.#parse = parse;
  }

  get heldBytes(): number {
    return this.#chunks.heldBytes;
  }

  feed(chunk: Buffer): void {
    this.#chunks.push(chunk);
  }

  end(): handler.ParsedAnswer {
    const body = parse(this.#chunks.take().toString()) as Body | null;
    if (body?.id !== call.idOf(this.#call)) {
      throw new call.CallError("mismatch", "answer has the id of another call");
    }
    const result = this.#parse(body, this.#call);
    return { result, usage: usageOf(body.usage) };
  }
}

function parseEmbeddings(body: unknown, sentCall: call.Call): call.Result {
  const { texts } = sentCall.input as call.Input & { type: "encoder" };
  const { data } = body as { data?: { index: number; embedding: number[] }[] };
  requireValid(Array.isArray(data) && data.length === texts.length);
  const embeddings: number[][] = new Array(texts.length);
  for (const each of data!) {
    requireValid(isPosition(each?.index, texts.length));
    requireValid(embeddings[each.index] === undefined);
    requireValid(isNumbers(each.embedding));
    embeddings[each.index] = each.embedding;
  }
  return { type: "encoder", embeddings };
}

function parseDocuments(body: unknown): call.Result {
  const { documents } = body as { documents?: call.Document[] };
  requireValid(Array.isArray(documents));
  for (const each of documents!) {
    requireValid(typeof each?.id === "string" && typeof each.text === "string");
    requireValid(typeof each.score === "number");
  }
  return { type: "retriever", documents: documents! };
}

function parseRanks(body: unknown, sentCall: call.Call): call.Result {
  const rerankerInput = sentCall.input as call.Input & { type: "reranker" };
  const { results } = body as {
    results?: { index: number; "relevance_score": number }[];
  };
  requireValid(Array.isArray(results));
  const ranks = results!.map((each) => {
    requireValid(isPosition(each?.index, rerankerInput.documents.length));
    requireValid(typeof each["relevance_score"] === "number");
    return { index: each.index, score: each["relevance_score"] };
  });
  requireValid(new Set(ranks.map(({ index }) => index)).size === ranks.length);
  requireValid(
    ranks.length >= Math.min(rerankerInput.top, rerankerInput.documents.length),
  );
  return { type: "reranker", ranks };
}

function requireValid(holds: boolean): void {
  if (!holds) {
    throw new call.CallError(
      "error",
      "answer does not have the expected fields",
    );
  }
}

function isPosition(value: unknown, bound: number): boolean {
  return Number.isInteger(value) && (value as number) >= 0 &&
    (value as number) < bound;
}

function isNumbers(value: unknown): boolean {
  return Array.isArray(value) &&
    value.every((each) => typeof each === "number");
}

function amountOf(value: unknown): number {
  return typeof value === "number" && Number.isFinite(value) && value > 0
    ? value
    : 0;
}
