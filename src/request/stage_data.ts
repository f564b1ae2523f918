/** Payload of one request: what its stages are given and what they made.
 * @module */

import * as crypto from "node:crypto";
import type * as endpointCalls from "../endpoint_calls/call.ts";
import type * as caller from "../schema/caller_types.ts";
import type * as catalogue from "./catalogue.ts";
import type * as endpoint from "../schema/endpoint_types.ts";
import type * as reply from "./reply.ts";

/** What a caller sent. */
export type Payload =
  | { type: "pipeline"; call: caller.PipelineCall }
  | { type: "plain"; call: endpointCalls.PlainInput };

/** Size and prefix of a stage's input, for the dispatcher. */
export interface Measure {
  /** Tokens, estimated. */
  size: number;
  /** Prefix blocks of an engine's prompt, longest last. */
  prefix: readonly string[];
}

/** Characters that count as one token. */
const TOKEN_CHARACTERS = 4;
/** Characters of one block of a prompt's prefix. */
const BLOCK_CHARACTERS = 256;
const HASH_DIGITS = 16;
/** Characters of a text without a question that are embedded. */
const START_CHARACTERS = 2048;

/** What a request's stages work on; grows with each stage. */
export class StageData {
  readonly payload: Payload;
  embedding: readonly number[] = [];
  documents: readonly string[] = [];
  /** Text of the last engine stage that ended. */
  generatedText = "";
  plain: endpointCalls.PlainResult | undefined;

  private constructor(payload: Payload) {
    this.payload = payload;
    if (payload.type === "pipeline") {
      this.documents = payload.call.input.documents ?? [];
    }
  }

  static create(payload: Payload): StageData {
    return new StageData(payload);
  }

  /** What the handler of a step's kind is given. */
  input(step: catalogue.Step): endpointCalls.Input {
    return makers[step.kind].input(this, step);
  }

  /** Keeps what a stage made; `text` is what an engine generated. */
  store(result: endpointCalls.Result, text: string): void {
    const taker = takers[result.type] as Taker<endpointCalls.Result["type"]>;
    taker(this, result, text);
  }

  /** Size and prefix of a step's input. */
  measure(step: catalogue.Step): Measure {
    const input = this.input(step);
    const size = tokens(makers[step.kind].characters(input));
    const prefix = input.type === "engine" ? prefixHashes(input.prompt) : [];
    return { size, prefix };
  }

  /** What the pipeline made, by the kind of its last stage. */
  output(last: endpoint.EndpointKind): reply.Output {
    return outputs[last](this);
  }
}

/** Hashes of the prefix blocks of a prompt, longest prefix last. */
export function prefixHashes(prompt: string): string[] {
  const hashes: string[] = [];
  let last = "";
  const end = prompt.length - BLOCK_CHARACTERS;
  for (let pos = 0; pos <= end; pos += BLOCK_CHARACTERS) {
    const block = last + prompt.slice(pos, pos + BLOCK_CHARACTERS);
    const digest = crypto.createHash("sha256").update(block).digest("hex");
    last = digest.slice(0, HASH_DIGITS);
    hashes.push(last);
  }
  return hashes;
}

function tokens(characters: number): number {
  return Math.ceil(characters / TOKEN_CHARACTERS);
}

interface Maker {
  input(data: StageData, step: catalogue.Step): endpointCalls.Input;
  characters(input: endpointCalls.Input): number;
}

const makers: Record<endpoint.EndpointKind, Maker> = {
  encoder: {
    input: (data, { model }) => {
      // Only one embedding is used: nothing else is embedded.
      const { text, question } = asked(data);
      const start = text.slice(0, START_CHARACTERS);
      return { type: "encoder", model, texts: [question ?? start] };
    },
    characters: (input) => {
      const { texts } = input as endpointCalls.Input & { type: "encoder" };
      return sum(texts);
    },
  },
  retriever: {
    input: (data, { top }) => {
      const { embedding } = data;
      return { type: "retriever", embedding, text: query(data), top };
    },
    characters: (input) =>
      (input as endpointCalls.Input & { type: "retriever" }).text.length,
  },
  reranker: {
    input: (data, { top }) => {
      const { documents } = data;
      return { type: "reranker", query: query(data), documents, top };
    },
    characters: (input) => {
      const made = input as endpointCalls.Input & { type: "reranker" };
      return made.query.length + sum(made.documents);
    },
  },
  engine: {
    input: (data, step) => {
      const { model, maxTokens } = step;
      const prompt = promptOf(data, step);
      const most = Math.min(maxTokens, limit(data));
      return { type: "engine", model, prompt, maxTokens: most };
    },
    characters: (input) =>
      (input as endpointCalls.Input & { type: "engine" }).prompt.length,
  },
  plain: {
    input: ({ payload }) => {
      if (payload.type === "plain") return payload.call;
      const headers = { "content-type": "application/json" };
      const body = Buffer.from(JSON.stringify(payload.call.input));
      return { type: "plain", method: "POST", path: "/", headers, body };
    },
    characters: (input) => (input as endpointCalls.PlainInput).body.length,
  },
};

type Taker<T extends endpointCalls.Result["type"]> = (
  data: StageData,
  result: endpointCalls.Result & { type: T },
  text: string,
) => void;

const takers: { [T in endpointCalls.Result["type"]]: Taker<T> } = {
  encoder(data, { embeddings }) {
    data.embedding = embeddings[0] ?? [];
  },
  retriever(data, { documents }) {
    const found = documents.map(({ text }) => text);
    data.documents = [...data.documents, ...found];
  },
  reranker(data, { ranks }) {
    const { documents } = data;
    const order = [...ranks].sort((a, b) => b.score - a.score);
    data.documents = order.map(({ index }) => documents[index]);
  },
  engine(data, _result, text) {
    data.generatedText = text;
  },
  plain(data, result) {
    data.plain = result;
  },
};

const outputs: Record<
  endpoint.EndpointKind,
  (data: StageData) => reply.Output
> = {
  encoder: ({ embedding }) => ({ embedding }),
  retriever: ({ documents }) => ({ documents }),
  reranker: ({ documents }) => ({ documents }),
  engine: ({ generatedText: draft }) => ({ text: draft }),
  plain: ({ plain }) => ({ text: Buffer.from(plain?.body ?? []).toString() }),
};

/** The text goes before the documents: requests about the same text share
 * their prompt's prefix, whatever is retrieved for each. */
function promptOf(
  data: StageData,
  { instruction }: catalogue.Step,
): string {
  const { text, question } = asked(data);
  const parts = [instruction, text, ...data.documents, data.generatedText];
  if (question !== undefined) parts.push(`Question: ${question}`);
  return parts.filter((part) => part !== "").join("\n\n");
}

function asked({ payload }: StageData): caller.PipelineInput {
  return payload.type === "pipeline" ? payload.call.input : { text: "" };
}

function limit({ payload }: StageData): number {
  return payload.type === "pipeline"
    ? payload.call.maxTokens ?? Infinity
    : Infinity;
}

function query(data: StageData): string {
  const { text, question } = asked(data);
  return question ?? text;
}

function sum(texts: readonly string[]): number {
  return texts.reduce((total, text) => total + text.length, 0);
}
