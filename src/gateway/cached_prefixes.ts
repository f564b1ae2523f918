/** Estimate of an engine's prefix cache from the prompts sent to it. The least
 * recently used parts are evicted first.
 * @module */

import type * as protocols from "./protocol.ts";

/** Part of an engine's token capacity that is assumed to hold cached parts:
 * running requests use the rest. */
const CACHE_CAPACITY_RATIO = 0.6;

/** Prompt parts that an engine's cache probably holds; changed in place. */
export class CachedPrefixes {
  #capacity: number;
  /** Tokens by the path of a part (its own id after those of the parts before
   * it); the least recently used first. */
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  private constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Creates the empty cache of an engine with a capacity of `tokens`. */
  static create(tokens: number): CachedPrefixes {
    return new CachedPrefixes(tokens * CACHE_CAPACITY_RATIO);
  }

  /** Changes the engine's capacity to `tokens`. */
  resize(tokens: number): void {
    this.#capacity = tokens * CACHE_CAPACITY_RATIO;
    this.#evict();
  }

  /** Number of a prompt's cached tokens: a part counts only if all parts before
   * it are cached. */
  cachedTokens({ parts }: Pick<protocols.Prompt, "parts">): number {
    let tokens = 0;
    for (const { path, part } of pathsOf(parts)) {
      if (!this.#parts.has(path)) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Marks the parts of a prompt as cached and most recently used. */
  insert({ parts }: Pick<protocols.Prompt, "parts">): void {
    for (const { path, part } of pathsOf(parts)) {
      if (!this.#parts.delete(path)) this.#tokens += part.tokens;
      this.#parts.set(path, part.tokens);
    }
    this.#evict();
  }

  #evict(): void {
    for (const [path, tokens] of this.#parts) {
      if (this.#tokens <= this.#capacity) return;
      this.#parts.delete(path);
      this.#tokens -= tokens;
    }
  }
}

function* pathsOf(parts: readonly protocols.PromptPart[]) {
  let path = "";
  for (const part of parts) {
    path += `/${part.id}`;
    yield { path, part };
  }
}
