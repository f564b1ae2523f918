/** Payload of a request: inputs and results of its stages.
 * @module */

import * as crypto from "node:crypto";
import type * as endpointCalls from "../endpoint_calls/call.ts";
import type * as caller from "../schema/caller_types.ts";
import type * as catalogue from "./catalogue.ts";
import type * as endpoint from "../schema/endpoint_types.ts";
import type * as reply from "./reply.ts";

/** Payload that a caller sent. */
export type Payload =
  | { type: "pipeline"; call: caller.PipelineCall }
  | { type: "plain"; call: endpointCalls.PlainInput };

/** Size and prefix of a stage's input, as the dispatcher needs them. */
export interface Measure {
  /** Estimated number of tokens. */
  size: number;
  /** Prefix blocks of an engine's prompt, longest last. */
  prefix: readonly string[];
}

/** Ratio for the estimate of a text's tokens. */
const CHARACTERS_PER_TOKEN = 4;
/** Length of one block of a prompt's prefix. */
const BLOCK_CHARACTERS = 256;
const HASH_HEX_DIGITS = 16;
/** Length of the start of a text that is embedded when there is no question. */
const MAX_EMBEDDED_CHARACTERS = 2048;

/** Inputs and results of a request's stages; each stage adds its result. */
export class StageData {
  readonly payload: Payload;
  embedding: readonly number[] = [];
  documents: readonly string[] = [];
  /** Text that the last completed engine stage generated. */
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

  /** Input of a step. */
  input(step: catalogue.Step): endpointCalls.Input {
    return inputBuilders[step.kind].input(this, step);
  }

  /** Stores the result of a stage; `text` is the output of an engine. */
  store(result: endpointCalls.Result, text: string): void {
    const handle = resultHandlers[result.type] as ResultHandler<
      endpointCalls.Result["type"]
    >;
    handle(this, result, text);
  }

  /** Size and prefix of a step's input. */
  measure(step: catalogue.Step): Measure {
    const input = this.input(step);
    const size = tokenCount(inputBuilders[step.kind].characters(input));
    const prefix = input.type === "engine" ? prefixHashes(input.prompt) : [];
    return { size, prefix };
  }

  /** Output of the pipeline, by the kind of its last stage. */
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
    last = digest.slice(0, HASH_HEX_DIGITS);
    hashes.push(last);
  }
  return hashes;
}

function tokenCount(characters: number): number {
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}

interface InputBuilder {
  input(data: StageData, step: catalogue.Step): endpointCalls.Input;
  characters(input: endpointCalls.Input): number;
}

const inputBuilders: Record<endpoint.EndpointKind, InputBuilder> = {
  encoder: {
    input: (data, { model }) => {
      // Later stages use a single embedding, so only one text is embedded.
      const { text, question } = inputOf(data);
      const start = text.slice(0, MAX_EMBEDDED_CHARACTERS);
      return { type: "encoder", model, texts: [question ?? start] };
    },
    characters: (input) => {
      const { texts } = input as endpointCalls.Input & { type: "encoder" };
      return totalLength(texts);
    },
  },
  retriever: {
    input: (data, { top }) => {
      const { embedding } = data;
      return { type: "retriever", embedding, text: queryOf(data), top };
    },
    characters: (input) =>
      (input as endpointCalls.Input & { type: "retriever" }).text.length,
  },
  reranker: {
    input: (data, { top }) => {
      const { documents } = data;
      return { type: "reranker", query: queryOf(data), documents, top };
    },
    characters: (input) => {
      const rerankerInput = input as endpointCalls.Input & { type: "reranker" };
      return rerankerInput.query.length + totalLength(rerankerInput.documents);
    },
  },
  engine: {
    input: (data, step) => {
      const { model, maxTokens } = step;
      const prompt = promptOf(data, step);
      const limit = Math.min(maxTokens, tokenLimit(data));
      return { type: "engine", model, prompt, maxTokens: limit };
    },
    characters: (input) =>
      (input as endpointCalls.Input & { type: "engine" }).prompt.length,
  },
  plain: {
    input: ({ payload }) => {
      if (payload.type === "plain") return payload.call;
      const headers = { "content-type": "application/json" };
      const body = Buffer.from(JSON.stringify(payload.call.input));
      // The answer's text becomes a part of another one, which is whole.
      const needsStatedEnd = true;
      return {
        type: "plain",
        method: "POST",
        path: "/",
        headers,
        body,
        needsStatedEnd,
      };
    },
    characters: (input) => (input as endpointCalls.PlainInput).body.length,
  },
};

type ResultHandler<T extends endpointCalls.Result["type"]> = (
  data: StageData,
  result: endpointCalls.Result & { type: T },
  text: string,
) => void;

const resultHandlers: {
  [T in endpointCalls.Result["type"]]: ResultHandler<T>;
} = {
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

/** Puts the text before the documents, so that requests with the same text
 * share a prompt prefix whatever documents are retrieved. */
function promptOf(
  data: StageData,
  { instruction }: catalogue.Step,
): string {
  const { text, question } = inputOf(data);
  const parts = [instruction, text, ...data.documents, data.generatedText];
  if (question !== undefined) parts.push(`Question: ${question}`);
  return parts.filter((part) => part !== "").join("\n\n");
}

function inputOf({ payload }: StageData): caller.PipelineInput {
  return payload.type === "pipeline" ? payload.call.input : { text: "" };
}

function tokenLimit({ payload }: StageData): number {
  return payload.type === "pipeline"
    ? payload.call.maxTokens ?? Infinity
    : Infinity;
}

function queryOf(data: StageData): string {
  const { text, question } = inputOf(data);
  return question ?? text;
}

function totalLength(texts: readonly string[]): number {
  return texts.reduce((total, text) => total + text.length, 0);
}
