/** Which parts of prompts an engine has read lately, as one host knows it from
 * what it sent there. The parts that were used least recently yield.
 * @module */

import type * as protocol from "./protocol.ts";

/** Part of an engine's memory that cached parts are counted on for: running
 * requests take the rest. */
const SHARE = 0.6;

/** Parts that one engine may still hold; changed in place. */
export class CachedPrefixes {
  #capacity: number;
  /** Tokens by the path of a part; the least recently used comes first. */
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  private constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** An empty memory of an engine that holds so many tokens in all. */
  static create(tokens: number): CachedPrefixes {
    return new CachedPrefixes(tokens * SHARE);
  }

  /** Follows a change of how many tokens the engine holds in all. */
  resize(tokens: number): void {
    this.#capacity = tokens * SHARE;
    this.#yield();
  }

  /** Tokens that need not be read again: a part counts only when all parts
   * before it do. */
  cachedTokens({ parts }: Pick<protocol.Prompt, "parts">): number {
    let tokens = 0;
    for (const { path, part } of pathsOf(parts)) {
      if (!this.#parts.has(path)) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Notes that the engine reads a prompt. */
  insert({ parts }: Pick<protocol.Prompt, "parts">): void {
    for (const { path, part } of pathsOf(parts)) {
      if (!this.#parts.delete(path)) this.#tokens += part.tokens;
      this.#parts.set(path, part.tokens);
    }
    this.#yield();
  }

  #yield(): void {
    for (const [path, tokens] of this.#parts) {
      if (this.#tokens <= this.#capacity) return;
      this.#parts.delete(path);
      this.#tokens -= tokens;
    }
  }
}

function* pathsOf(parts: readonly protocol.PromptPart[]) {
  let path = "";
  for (const part of parts) {
    path += `/${part.id}`;
    yield { path, part };
  }
}
