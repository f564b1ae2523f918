/** Handler of model engines: completions streamed as server-sent events.
 * @module */

import * as eventsource from "eventsource-parser";
import * as stringDecoder from "node:string_decoder";
import * as call from "./call.ts";
import type * as handler from "./handler.ts";
import * as json from "./json.ts";
import type * as request from "../request/request.ts";

interface Chunk {
  id?: unknown;
  offset?: unknown;
  choices?: { text?: unknown; "finish_reason"?: unknown }[];
  usage?: json.Usage;
}

/** Talks to model engines. */
export const engine: handler.Handler<call.Input & { type: "engine" }> = {
  build({ model, prompt, maxTokens }, { attempt, priority }) {
    return json.post("/v1/completions", {
      model,
      prompt,
      "max_tokens": maxTokens,
      stream: true,
      priority,
      "resume_from": attempt.offset,
    });
  },
  createReader: (made, _head, token) => new EngineReader(made, token),
};

const DONE = "[DONE]";

/** Reads one token from each chunk; offsets must follow on one another. */
class EngineReader implements handler.Reader {
  readonly #id: string;
  readonly #take: handler.TakeToken;
  readonly #decoder = new stringDecoder.StringDecoder("utf8");
  readonly #parser: eventsource.EventSourceParser;
  #next: number;
  #finished = false;
  #done = false;
  #usage: request.Usage | undefined;

  constructor(made: call.Call, take: handler.TakeToken) {
    this.#id = call.idOf(made);
    this.#take = take;
    this.#next = made.attempt.offset;
    this.#parser = eventsource.createParser({
      onEvent: ({ data }) => this.#event(data),
    });
  }

  feed(chunk: Buffer): void {
    this.#parser.feed(this.#decoder.write(chunk));
  }

  end(): handler.ParsedAnswer {
    if (!this.#done || !this.#finished || this.#usage === undefined) {
      throw new call.CallError("broken-stream", "The stream is not whole");
    }
    return { result: { type: "engine" }, usage: this.#usage };
  }

  #event(data: string): void {
    if (data === DONE) {
      this.#done = true;
      return;
    }
    const chunk = json.parse(data) as Chunk | null;
    if (chunk?.id !== this.#id) {
      throw new call.CallError("mismatch", "The chunk is another call's");
    }
    const choice = chunk.choices?.[0];
    if (typeof choice?.text === "string" && choice.text !== "") {
      this.#token(chunk.offset, choice.text);
    }
    if (typeof choice?.["finish_reason"] === "string") this.#finished = true;
    if (chunk.usage !== undefined) this.#usage = json.usageOf(chunk.usage);
  }

  #token(offset: unknown, text: string): void {
    if (offset !== this.#next) {
      throw new call.CallError("broken-stream", "A token is missing or twice");
    }
    this.#next++;
    this.#take(offset as number, text);
  }
}
