/** The stream of one completion, changed by the faults that hit its call.
 * @module */

import type * as runtime from "../src/runtime/mod.ts";
import * as call from "./call.ts";
import * as text from "./text.ts";

/** How an answer is crossed with another request's. */
export interface Crossing {
  other: call.Echo;
  owner: string;
  /** First token that is the other's. */
  from: number;
  /** Whether the headers are the other's too. */
  headers: boolean;
}

/** What a stream sends and how. */
export interface Options {
  answer: text.Answer;
  /** Tokens that are skipped. */
  from: number;
  /** Whether tokens are sent one by one. */
  sse: boolean;
  /** Another request's answer that takes this one's place. */
  crossed: Crossing | undefined;
  /** Milliseconds to hold everything back, when the answer is late. */
  wait: (() => number) | undefined;
  clock: runtime.Clock;
}

/** Usage as the last chunk carries it. */
export interface Usage {
  "prompt_tokens": number;
  "completion_tokens": number;
  "cached_tokens": number;
  "engine_ms": number;
}

/** Sends an answer as its tokens are generated. */
export class Stream {
  readonly #made: call.Call;
  readonly #options: Options;
  readonly #held: string[] = [];
  #sent = 0;
  #broken = false;

  constructor(made: call.Call, options: Options) {
    this.#made = made;
    this.#options = options;
  }

  /** Marker or hash that the answer belongs to. */
  get owner(): string {
    return this.#options.answer.owner;
  }

  /** Tokens sent by this call. */
  get sent(): number {
    return this.#sent;
  }

  /** Sends the headers of a stream, as its call starts. */
  begin(): void {
    const { sse, wait } = this.#options;
    if (sse && wait === undefined && !this.#made.hit.hang) this.#open();
  }

  /** Sends what is missing up to `count` tokens of this call. */
  advance(count: number): void {
    const { answer, from, sse } = this.#options;
    const left = Math.max(0, answer.length - from);
    const end = Math.min(Math.floor(count), left);
    for (; this.#sent < end; this.#sent++) {
      const offset = from + this.#sent;
      if (sse) this.#send(this.#chunk(offset, null));
      if (this.#made.hit.drop && this.#sent >= left >>> 1) this.#break();
    }
  }

  /** Ends the answer. */
  finish(usage: Usage): void {
    this.advance(Infinity);
    const { sse, from, wait, clock } = this.#options;
    if (this.#made.hit.hang || this.#broken) return;
    if (sse) {
      const offset = from + this.#sent;
      this.#send({ ...this.#chunk(offset, "stop"), usage });
      this.#sendText("[DONE]");
    }
    if (wait === undefined) return this.#end(usage);
    clock.after(wait(), () => {
      if (sse) this.#open();
      for (const event of this.#held) this.#made.incoming.reply.event(event);
      this.#end(usage);
    });
  }

  #end(usage: Usage): void {
    const { reply } = this.#made.incoming;
    const { sse, answer } = this.#options;
    if (sse) return reply.end();
    const { id, owner } = this.#source(answer.length - 1);
    const choice = { index: 0, text: text.whole({ ...answer, owner }) };
    reply.json(200, {
      id,
      choices: [{ ...choice, "finish_reason": "stop" }],
      usage,
    }, this.#echo());
  }

  #chunk(offset: number, reason: string | null): Record<string, unknown> {
    const { answer } = this.#options;
    const { id, owner } = this.#source(offset);
    const part = reason === null
      ? text.token({ ...answer, owner }, offset)
      : "";
    return {
      id,
      offset,
      choices: [{ index: 0, text: part, "finish_reason": reason }],
    };
  }

  /** Whose token stands at an offset. */
  #source(offset: number): { id: string; owner: string } {
    const { crossed, answer } = this.#options;
    return crossed === undefined || offset < crossed.from
      ? { id: call.id(this.#made), owner: answer.owner }
      : { id: call.id(crossed.other), owner: crossed.owner };
  }

  #echo(): Record<string, string> {
    const { crossed } = this.#options;
    return call.echo(crossed?.headers ? crossed.other : this.#made);
  }

  #open(): void {
    const headers = { "content-type": "text/event-stream", ...this.#echo() };
    this.#made.incoming.reply.head(200, headers);
  }

  #send(value: unknown): void {
    this.#sendText(JSON.stringify(value));
  }

  #sendText(line: string): void {
    const { hit, incoming: { reply } } = this.#made;
    if (hit.hang || this.#broken) return;
    if (this.#options.wait !== undefined) {
      this.#held.push(line);
      return;
    }
    reply.event(line);
  }

  #break(): void {
    if (this.#broken) return;
    this.#broken = true;
    const { reply } = this.#made.incoming;
    this.#options.clock.after(1, () => reply.destroy());
  }
}
