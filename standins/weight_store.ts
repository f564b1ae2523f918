/** Stand-in of the weight store, with a rate limit.
 * @module */

import type * as runtime from "../src/runtime/mod.ts";
import * as server from "./server.ts";

/** What a weight store is made of. */
export interface Options {
  clock: runtime.Clock;
  /** Fetches a second. */
  rate: number;
  /** Fetches at once after a pause. */
  burst: number;
}

const PATH = /^\/v1\/weights\/([^/]+)\/([^/]+)$/;
const REPEATS = 64;

/** A token bucket: what is left of a rate at a time. */
export interface Bucket {
  left: number;
  at: number;
}

/** Takes one from a bucket; `wait` is 0 when there was one, else the
 * milliseconds until there is. */
export function take(
  { left, at }: Bucket,
  now: number,
  { rate, burst }: Pick<Options, "rate" | "burst">,
): { bucket: Bucket; wait: number } {
  const full = Math.min(burst, left + (now - at) * rate / 1000);
  if (full >= 1) return { bucket: { left: full - 1, at: now }, wait: 0 };
  return {
    bucket: { left: full, at: now },
    wait: Math.ceil((1 - full) * 1000 / rate),
  };
}

/** Hands out weights no faster than its rate. */
export class WeightStore {
  readonly #options: Options;
  readonly #server: server.Server;
  #bucket: Bucket;
  #served = 0;
  #refused = 0;

  constructor(options: Options) {
    this.#options = options;
    this.#bucket = { left: options.burst, at: options.clock.now() };
    this.#server = new server.Server((incoming) => this.#serve(incoming));
  }

  /** Base URL; known once it has started. */
  get url(): string {
    return this.#server.url;
  }

  /** Fetches answered and refused. */
  get counts(): { served: number; refused: number } {
    return { served: this.#served, refused: this.#refused };
  }

  async start(port = 0): Promise<void> {
    await this.#server.start(port);
  }

  async stop(): Promise<void> {
    await this.#server.stop();
  }

  #serve({ url, reply }: server.Incoming): void {
    const found = PATH.exec(url.pathname);
    if (found === null) {
      return reply.json(404, { detail: "There are no such weights" });
    }
    const now = this.#options.clock.now();
    const { bucket, wait } = take(this.#bucket, now, this.#options);
    this.#bucket = bucket;
    if (wait > 0) {
      this.#refused++;
      return reply.json(429, { detail: "The rate is used up" }, {
        "retry-after": String(Math.ceil(wait / 1000)),
      });
    }
    this.#served++;
    reply.head(200, { "content-type": "application/octet-stream" });
    reply.end(`${found[1]}@${found[2]} `.repeat(REPEATS));
  }
}
