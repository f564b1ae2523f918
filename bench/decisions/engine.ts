/** A simulated model engine: it reads prompts in chunks between the tokens of
 * the streams under way, and keeps the parts that it has read.
 * @module */

import type * as runtime from "../../src/runtime/mod.ts";
import type * as gateway from "../../src/gateway/mod.ts";
import type * as deployments from "./deployment.ts";

/** Events of a stream that a request asks for. */
export interface Run {
  readonly prompt: gateway.Prompt;
  readonly events: number;
  readonly urgency: number;
  /** Engine from whose memory it fetches what it lacks. */
  readonly source?: Engine;
  onEvent(number: number): void;
  onEnd(): void;
}

interface Running extends Run {
  unread: number;
  tokens: number;
  isCancelled: boolean;
}

/** Milliseconds of a step beside reading, for each stream under way. */
const STEP_PER_STREAM = 0.03;

/** One engine; changed in place. */
export class Engine {
  readonly #clock: runtime.Clock;
  readonly #traits: deployments.EngineTraits;
  /** Tokens by the path of a part; the least recently used comes first. */
  readonly #parts = new Map<string, number>();
  #runs: Running[] = [];
  #isStepping = false;
  /** Prompt tokens that were read. */
  read = 0;
  /** Whether it takes no calls. */
  isDown = false;

  constructor(clock: runtime.Clock, traits: deployments.EngineTraits) {
    this.#clock = clock;
    this.#traits = traits;
  }

  /** Begins a run; returns what cancels it. */
  start(run: Run): () => void {
    const own = this.#known(run);
    const { source } = run;
    const known = Math.max(own, source === undefined ? 0 : source.#known(run));
    const unread = Math.max(1, run.prompt.inputTokens - known);
    const running = { ...run, unread, tokens: 0, isCancelled: false };
    this.#runs.push(running);
    this.#runs.sort((one, other) => one.urgency - other.urgency);
    if (!this.#isStepping) this.#step();
    return () => {
      running.isCancelled = true;
    };
  }

  #step(): void {
    this.#runs = this.#runs.filter(({ isCancelled }) => !isCancelled);
    this.#isStepping = this.#runs.length > 0;
    if (!this.#isStepping) return;
    const { step, chunk, readRate, slots } = this.#traits;
    const active = this.#runs.slice(0, slots);
    let left = chunk;
    for (const run of active) {
      const part = Math.min(left, run.unread);
      run.unread -= part;
      left -= part;
      if (part > 0 && run.unread === 0) this.#keep(run);
    }
    const read = chunk - left;
    this.read += read;
    const time = step + active.length * STEP_PER_STREAM + read / readRate;
    this.#clock.after(time, () => {
      for (const run of active) this.#advance(run);
      this.#step();
    });
  }

  #advance(run: Running): void {
    if (run.isCancelled || run.unread > 0) return;
    run.tokens++;
    const { stride } = this.#traits;
    if (run.tokens % stride !== 0) return;
    run.onEvent(run.tokens / stride);
    if (run.tokens / stride < run.events) return;
    run.isCancelled = true;
    run.onEnd();
  }

  #known({ prompt }: Run): number {
    let path = "";
    let known = 0;
    for (const { id, tokens } of prompt.parts) {
      path += `/${id}`;
      if (!this.#parts.has(path)) break;
      known += tokens;
    }
    return known;
  }

  #keep({ prompt }: Run): void {
    let path = "";
    for (const { id, tokens } of prompt.parts) {
      path += `/${id}`;
      this.#parts.delete(path);
      this.#parts.set(path, tokens);
    }
    let sum = [...this.#parts.values()].reduce((one, other) => one + other, 0);
    for (const [key, tokens] of this.#parts) {
      if (sum <= this.#traits.tokens * 0.6) break;
      this.#parts.delete(key);
      sum -= tokens;
    }
  }
}
