/** Handler for model engines: completions streamed as server-sent events.
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

/** Handler for model engines. */
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
  createReader: (sentCall, _head, onToken) =>
    new EngineReader(sentCall, onToken),
};

const END_MARKER = "[DONE]";

/** Reads one token from each chunk and checks that offsets are consecutive. */
class EngineReader implements handler.Reader {
  readonly #id: string;
  readonly #onToken: handler.TakeToken;
  readonly #decoder = new stringDecoder.StringDecoder("utf8");
  readonly #parser: eventsource.EventSourceParser;
  #nextOffset: number;
  #hasFinishReason = false;
  #isDone = false;
  #usage: request.Usage | undefined;

  constructor(sentCall: call.Call, onToken: handler.TakeToken) {
    this.#id = call.idOf(sentCall);
    this.#onToken = onToken;
    this.#nextOffset = sentCall.attempt.offset;
    this.#parser = eventsource.createParser({
      onEvent: ({ data }) => this.#handleEvent(data),
    });
  }

  feed(chunk: Buffer): void {
    this.#parser.feed(this.#decoder.write(chunk));
  }

  end(): handler.ParsedAnswer {
    if (!this.#isDone || !this.#hasFinishReason || this.#usage === undefined) {
      throw new call.CallError(
        "broken-stream",
        "stream ended without finish reason, usage or end marker",
      );
    }
    return { result: { type: "engine" }, usage: this.#usage };
  }

  #handleEvent(data: string): void {
    if (data === END_MARKER) {
      this.#isDone = true;
      return;
    }
    const chunk = json.parse(data) as Chunk | null;
    if (chunk?.id !== this.#id) {
      throw new call.CallError("mismatch", "chunk has the id of another call");
    }
    const choice = chunk.choices?.[0];
    if (typeof choice?.text === "string" && choice.text !== "") {
      this.#handleToken(chunk.offset, choice.text);
    }
    if (typeof choice?.["finish_reason"] === "string") {
      this.#hasFinishReason = true;
    }
    if (chunk.usage !== undefined) this.#usage = json.usageOf(chunk.usage);
  }

  #handleToken(offset: unknown, text: string): void {
    if (offset !== this.#nextOffset) {
      throw new call.CallError(
        "broken-stream",
        "token offset is not the next expected one",
      );
    }
    this.#nextOffset++;
    this.#onToken(offset as number, text);
  }
}
