/** Computes which tokens of a prompt miss an engine's prefix cache, and how the
 * engine gets them: shared parts in another engine's cache are fetched from
 * there, the rest is prefilled.
 *
 * A fetch takes a few milliseconds where prefill takes hundreds, so a prompt
 * may go to the engine with the least load. This raises the value served by
 * .016 in bursts and by .011 in bursts with faults.
 * @module */

import type * as endpoints from "./endpoint.ts";
import type * as protocols from "./protocol.ts";
import * as rendezvous from "../routing/rendezvous.ts";

/** Part of a prompt's shared tokens that its preferred engine probably still
 * has to prefill, when this host has not sent them there itself. */
const PREFERRED_MISS_RATIO = 0.4;
/** Tokens below which an engine prefills instead of fetching: a fetch queues
 * behind earlier ones, and the parts may no longer be in the other cache. */
const MIN_FETCH_TOKENS = 500;
/** Factor of a fetch's duration between data centres. */
const REMOTE_FETCH_FACTOR = 2;

/** Prompt tokens that miss an engine's prefix cache. */
export interface CacheMiss {
  /** Tokens to prefill. */
  readonly prefillTokens: number;
  /** Tokens to fetch. */
  readonly fetchTokens: number;
  /** Milliseconds that the fetch takes. */
  readonly fetchTime: number;
  /** Engine to fetch from. */
  readonly source?: endpoints.Endpoint;
}

/** An engine to fetch from, and the tokens of the prompt that it has. */
interface CacheSource {
  readonly engine: endpoints.Endpoint;
  readonly tokens: number;
}

/** The cache misses of a prompt on each of its candidate engines. */
export class CacheMisses {
  readonly #engines: readonly endpoints.Endpoint[];
  readonly #prompt: protocols.Prompt;
  /** By version the engine with the most cached tokens of the prompt. Engines
   * of two versions may not understand each other's caches. */
  readonly #sources = new Map<string, CacheSource>();
  /** Preferred engine; computed on demand, since it is not needed if the tokens
   * can be fetched. */
  #preferred?: { readonly name?: string };

  private constructor(
    engines: readonly endpoints.Endpoint[],
    prompt: protocols.Prompt,
  ) {
    this.#engines = engines;
    this.#prompt = prompt;
    for (const engine of engines) {
      const { version } = engine.identity;
      const tokens = this.#cachedTokens(engine);
      const max = this.#sources.get(version)?.tokens ?? 0;
      if (tokens > max) this.#sources.set(version, { engine, tokens });
    }
  }

  static of(
    engines: readonly endpoints.Endpoint[],
    prompt: protocols.Prompt,
  ): CacheMisses {
    return new CacheMisses(engines, prompt);
  }

  /** The cache miss on one of the engines. */
  at(engine: endpoints.Endpoint): CacheMiss {
    const { inputTokens } = this.#prompt;
    const cached = this.#cachedTokens(engine);
    const missing = Math.max(0, inputTokens - cached);
    const { engine: source, tokens = 0 } =
      this.#sources.get(engine.identity.version) ?? {};
    const rate = engine.fetchRate;
    const fetchTokens = tokens - cached;
    if (
      source === undefined || rate === undefined ||
      fetchTokens < MIN_FETCH_TOKENS
    ) {
      return {
        prefillTokens: this.#estimatePrefill(engine, missing),
        fetchTokens: 0,
        fetchTime: 0,
      };
    }
    const isRemote = source.identity.dataCentre !== engine.identity.dataCentre;
    const fetchTime = fetchTokens / rate * (isRemote ? REMOTE_FETCH_FACTOR : 1);
    const prefillTokens = Math.max(0, missing - fetchTokens);
    return { prefillTokens, fetchTokens, fetchTime, source };
  }

  /** Tokens to prefill; fewer on the preferred engine, whose cache probably
   * holds shared parts that other hosts have sent. */
  #estimatePrefill(engine: endpoints.Endpoint, missing: number): number {
    this.#preferred ??= {
      name: preferredEngineName(this.#engines, this.#prompt),
    };
    if (engine.identity.name !== this.#preferred.name) return missing;
    const unshared = this.#prompt.parts.at(-1)?.tokens ?? 0;
    const shared = Math.max(0, missing - unshared);
    return missing - shared * (1 - PREFERRED_MISS_RATIO);
  }

  #cachedTokens(engine: endpoints.Endpoint): number {
    return engine.cachedPrefixes?.cachedTokens(this.#prompt) ?? 0;
  }
}

/** Name of the preferred engine for a prompt's shared parts, the same on all
 * hosts. It is chosen by name, so an engine that restarts with an empty cache
 * is preferred for the same parts again. */
export function preferredEngineName(
  engines: readonly endpoints.Endpoint[],
  { parts }: protocols.Prompt,
): string | undefined {
  const shared = parts.at(-2) ?? parts.at(-1);
  if (shared === undefined) return undefined;
  const names = engines.map(({ identity }) => identity.name);
  return rendezvous.rank(shared.id, names)[0];
}
