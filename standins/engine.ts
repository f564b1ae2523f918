/** Stand-in of a model engine: continuous batching, prefix cache, priority,
 * resumed and cancelled streams, cache events with gaps, orders, KV export.
 * @module */

import type * as runtime from "../src/runtime/mod.ts";
import type * as endpoint from "../src/schema/endpoint_types.ts";
import * as batch from "./batch.ts";
import * as call from "./call.ts";
import * as engineOrders from "./engine_orders.ts";
import type * as orders from "./orders.ts";
import * as prefixCache from "./prefix_cache.ts";
import type * as server from "./server.ts";
import * as standIn from "./stand_in.ts";
import * as stream from "./stream.ts";
import * as text from "./text.ts";

/** What an engine is made of. */
export interface Options extends standIn.Options {
  speed?: Partial<batch.Speed>;
  /** Blocks of 256 characters that its prefix cache holds. */
  cacheBlocks?: number;
  /** Share of cache events that are lost, 0 to 1. */
  gaps?: number;
  /** Milliseconds by which cache events lag. */
  cacheLag?: number;
  fencing?: orders.Fencing;
  model?: string;
  /** Base URL of the weight store, asked for each model to load. */
  weights?: string;
}

interface Completion {
  prompt: string;
  "max_tokens"?: number;
  stream?: boolean;
  priority?: number;
  "resume_from"?: number;
}

/** One completion under way. */
interface Generation {
  made: call.Call;
  stream: stream.Stream;
  hashes: readonly string[];
  cached: number;
  inputTokens: number;
  /** Milliseconds of the engine's clock; absent until it starts. */
  started?: number;
  generated: number;
}

const SPEED: batch.Speed = {
  slots: 8,
  waiting: 64,
  stepTime: 30,
  prefillTime: 0.06,
  decodeTime: 0.4,
  chunk: 1024,
  stride: 2,
};
const CACHE_BLOCKS = 2000;
const CACHE_LAG = 200;
/** Ways in which answers are crossed. */
const CROSSINGS = 3;
const DEFAULT_MAX_TOKENS = 256;
const BLOCK_TOKENS = text.BLOCK_CHARACTERS / text.TOKEN_CHARACTERS;

/** Sequence tokens of a call: slow ones take more, hung ones never end. */
function steps({ hit }: call.Call, tokens: number): number {
  return hit.hang ? Infinity : Math.ceil(Math.max(1, tokens) * hit.factor);
}

/** A stand-in of a model engine. */
export class Engine extends standIn.StandIn {
  readonly kind = "engine" as const;
  readonly #orders: engineOrders.EngineOrders;
  readonly #cache: prefixCache.PrefixCache;
  readonly #generations = new Map<string, Generation>();
  readonly #gaps: number;
  readonly #cacheLag: number;
  #batch: batch.Batch;
  #sequence = 0;
  #crossed = 0;
  #wake: runtime.Cancel | undefined;

  constructor(options: Options) {
    super(options);
    const { cacheBlocks = CACHE_BLOCKS, gaps = 0 } = options;
    this.#batch = batch.Batch.create({ ...SPEED, ...options.speed });
    this.#cache = new prefixCache.PrefixCache(cacheBlocks);
    this.#gaps = gaps;
    this.#cacheLag = options.cacheLag ?? CACHE_LAG;
    this.#orders = new engineOrders.EngineOrders({
      clock: options.clock,
      fencing: options.fencing ?? "checks",
      model: options.model ?? "base",
      ...(options.weights === undefined ? {} : { weights: options.weights }),
      cache: this.#cache,
      changed: (change) => this.#changed(change),
    });
  }

  /** Orders that it took, oldest first. */
  get taken(): readonly orders.Fenced[] {
    return this.#orders.taken;
  }

  /** What it holds and whom it obeys. */
  get holding(): orders.Holding {
    return this.#orders.holding;
  }

  announcement(): endpoint.Announcement {
    const { models, role } = this.#orders.holding;
    return {
      service: this.service,
      kind: this.kind,
      url: this.url,
      dataCentre: this.dataCentre,
      slots: this.#batch.speed.slots,
      fencing: this.#orders.fencing,
      role,
      models: [...new Set(models.map(({ model }) => model))],
    };
  }

  override async stop(): Promise<void> {
    this.#wake?.();
    await super.stop();
  }

  protected load(): Omit<standIn.Load, "at"> {
    const { running, waiting } = this.#batch;
    return {
      running: running.length,
      waiting: waiting.length,
      kvUsed: Math.min(1, this.#cache.used),
    };
  }

  protected override extra(
    incoming: server.Incoming,
  ): boolean | Promise<boolean> {
    return this.#orders.serve(incoming);
  }

  protected serve(made: call.Call): void {
    const { incoming } = made;
    if (incoming.url.pathname !== "/v1/completions") {
      return incoming.reply.json(404, { detail: "There is no such path" });
    }
    if (this.#batch.full) return this.refuse(made, 429);
    this.#admit(made, JSON.parse(incoming.body) as Completion);
  }

  #admit(made: call.Call, asked: Completion): void {
    const { prompt, max_tokens: max = DEFAULT_MAX_TOKENS } = asked;
    const { resume_from: from = 0 } = asked;
    const answer = text.answer(prompt, max);
    const hashes = text.prefix(prompt);
    const inputTokens = text.size(prompt);
    const matched = this.#cache.match(hashes) * BLOCK_TOKENS;
    const cached = Math.min(matched, inputTokens - 1);
    const generation = {
      made,
      stream: new stream.Stream(made, {
        answer,
        from,
        sse: asked.stream !== false,
        crossed: made.hit.crossed ? this.#cross(made, answer) : undefined,
        wait: made.hit.late ? () => this.lateness(made) : undefined,
        clock: this.clock,
      }),
      hashes,
      cached,
      inputTokens,
      generated: 0,
    };
    this.#generations.set(made.key, generation);
    made.incoming.reply.onCancel(() => this.#cancel(made.key));
    this.#batch = this.#batch.add({
      id: made.key,
      priority: asked.priority ?? made.priority,
      // A resumed stream computes what it skips as part of its prompt.
      prefill: Math.max(1, inputTokens - cached + from),
      decode: steps(made, answer.length - from),
    });
    this.#advance();
  }

  /** By turns all of another's answer, only its body, or its second half. */
  #cross(made: call.Call, answer: text.Answer): stream.Crossing {
    const others = [...this.#generations.values()];
    const found = others.find((generation) =>
      generation.made.request !== made.request
    );
    const madeUp = { request: "another", stage: made.stage, attempt: "1" };
    const turn = this.#crossed++ % CROSSINGS;
    return {
      other: found?.made ?? madeUp,
      owner: found?.stream.owner ?? text.hash("another").slice(0, 12),
      from: turn === 2 ? answer.length >>> 1 : 0,
      headers: turn === 0,
    };
  }

  #advance(): void {
    this.#wake?.();
    this.#wake = undefined;
    const { batch, effects } = this.#batch.advance(this.clock.now());
    this.#batch = batch;
    for (const effect of effects) this.#apply(effect);
    const { next } = this.#batch;
    if (next === undefined) return;
    this.#wake = this.clock.after(
      next - this.clock.now(),
      () => this.#advance(),
    );
  }

  #apply(effect: batch.Effect): void {
    const generation = this.#generations.get(effect.id);
    if (generation === undefined) return;
    if (effect.type === "start") this.#start(generation);
    if (effect.type === "tokens") this.#emit(generation, effect.count);
    if (effect.type === "finish") this.#finish(generation, effect.slotTime);
  }

  #start(generation: Generation): void {
    const { made, stream } = generation;
    generation.started = this.clock.now();
    stream.begin();
    this.ledger.run({
      ...made,
      service: this.service,
      endpoint: this.id,
      owner: stream.owner,
    });
  }

  #emit(generation: Generation, count: number): void {
    generation.generated += count;
    // A slow call decodes `factor` sequence tokens for each real one.
    generation.stream.advance(
      generation.generated / generation.made.hit.factor,
    );
  }

  #finish(generation: Generation, slotTime: number): void {
    this.#generations.delete(generation.made.key);
    const wasted = standIn.spoils(generation.made);
    this.#charge(generation, { slotTime, wasted });
    generation.stream.finish({
      "prompt_tokens": generation.inputTokens,
      "completion_tokens": generation.stream.sent,
      "cached_tokens": generation.cached,
      "engine_ms": slotTime,
    });
    this.#changed(this.#cache.store(generation.hashes));
  }

  #cancel(key: string): void {
    const generation = this.#generations.get(key);
    if (generation === undefined) return;
    this.#generations.delete(key);
    this.#batch = this.#batch.remove(key);
    const { started } = generation;
    if (started === undefined) return;
    const slotTime = this.clock.now() - started;
    this.#charge(generation, { slotTime, wasted: true });
  }

  #charge(
    { inputTokens, cached, stream }: Generation,
    { slotTime, wasted }: { slotTime: number; wasted: boolean },
  ): void {
    this.ledger.charge({ service: this.service, owner: stream.owner }, {
      engineTime: slotTime,
      inputTokens,
      cachedTokens: cached,
      outputTokens: stream.sent,
      wasted,
    });
  }

  #changed({ stored, removed }: prefixCache.Change): void {
    if (stored.length + removed.length === 0) return;
    const sequence = ++this.#sequence;
    if (this.random.next() < this.#gaps) return;
    this.clock.after(
      this.#cacheLag,
      () => this.publish("cache", { sequence, stored, removed }),
    );
  }
}
