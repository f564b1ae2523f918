/** Orders and KV exchange of an engine, towards HTTP.
 * @module */

import * as undici from "undici";
import type * as runtime from "../src/runtime/mod.ts";
import * as orders from "./orders.ts";
import type * as prefixCache from "./prefix_cache.ts";
import type * as server from "./server.ts";

/** What the orders of an engine need. */
export interface Options {
  clock: runtime.Clock;
  fencing: orders.Fencing;
  /** Model that it holds from the start. */
  model: string;
  /** Base URL of the weight store. */
  weights?: string;
  cache: prefixCache.PrefixCache;
  /** Takes note of a change of the cache. */
  changed(change: prefixCache.Change): void;
}

const HANDLES = "/v1/kv/handles/";
/** Milliseconds before a fetch of weights that failed is tried again. */
const WEIGHTS_RETRY = 1000;

/** Takes orders, loads models and moves KV cache. */
export class EngineOrders {
  readonly #options: Options;
  #holding: orders.Holding;
  #loads = 0;
  readonly #taken: orders.Fenced[] = [];

  constructor(options: Options) {
    this.#options = options;
    this.#holding = {
      models: [{ model: options.model, version: "1" }],
      role: "both",
      token: 0,
      loading: false,
    };
  }

  get fencing(): orders.Fencing {
    return this.#options.fencing;
  }

  get holding(): orders.Holding {
    return { ...this.#holding, loading: this.#loads > 0 };
  }

  get taken(): readonly orders.Fenced[] {
    return this.#taken;
  }

  /** Serves a path of orders or KV; false when it is none. */
  serve(incoming: server.Incoming): boolean | Promise<boolean> {
    const { method, url: { pathname } } = incoming;
    const handler = this.#handlers[`${method} ${pathname}`];
    if (handler !== undefined) {
      const done = handler(incoming);
      return done === undefined ? true : done.then(() => true);
    }
    if (!pathname.startsWith(HANDLES)) return false;
    this.#chain(pathname.slice(HANDLES.length), incoming.reply);
    return true;
  }

  readonly #handlers: Record<
    string,
    (incoming: server.Incoming) => void | Promise<void>
  > = {
    "GET /v1/orders": ({ reply }) => reply.json(200, this.holding),
    "POST /v1/orders": ({ body, reply }) => {
      const fenced = JSON.parse(body) as orders.Fenced;
      if (!orders.accepts(this.#holding, fenced, this.fencing)) {
        return reply.json(409, { token: this.#holding.token });
      }
      this.#take(fenced);
      reply.json(202, {});
    },
    "POST /v1/kv/export": ({ body, reply }) => {
      const { prefix } = JSON.parse(body) as { prefix: string };
      if (this.#options.cache.chain(prefix) === undefined) {
        return reply.json(404, { detail: "This prefix is not held" });
      }
      reply.json(200, { handle: prefix });
    },
    "POST /v1/kv/import": async ({ body, reply }) => {
      const asked = JSON.parse(body) as { handle: string; from: string };
      const { statusCode, body: found } = await undici.request(
        `${asked.from}${HANDLES}${asked.handle}`,
      );
      const { hashes = [] } = await found.json() as { hashes?: string[] };
      if (statusCode !== 200) {
        return reply.json(404, { detail: "This handle has gone" });
      }
      this.#options.changed(this.#options.cache.store(hashes));
      reply.json(200, { blocks: hashes.length });
    },
  };

  #chain(handle: string, reply: server.Reply): void {
    const hashes = this.#options.cache.chain(handle);
    if (hashes === undefined) {
      return reply.json(404, { detail: "This handle has gone" });
    }
    reply.json(200, { hashes });
  }

  #take(fenced: orders.Fenced): void {
    this.#taken.push(fenced);
    const { token } = fenced;
    const seen = Math.max(this.#holding.token, token);
    this.#holding = { ...this.#holding, token: seen };
    if (fenced.order.type !== "load") return this.#carryOut(fenced);
    this.#loads++;
    this.#fetch(fenced, fenced.order);
  }

  #carryOut(fenced: orders.Fenced): void {
    this.#holding = orders.apply(this.#holding, fenced);
  }

  async #fetch(fenced: orders.Fenced, model: orders.Model): Promise<void> {
    const wait = await this.#wait(model);
    if (wait > 0) {
      this.#options.clock.after(wait, () => this.#fetch(fenced, model));
      return;
    }
    this.#loads--;
    this.#carryOut(fenced);
  }

  /** Fetches weights; milliseconds to wait when they could not be had. */
  async #wait({ model, version = "1" }: orders.Model): Promise<number> {
    const { weights } = this.#options;
    if (weights === undefined) return 0;
    try {
      const { statusCode, headers, body } = await undici.request(
        `${weights}/v1/weights/${model}/${version}`,
      );
      await body.dump();
      if (statusCode === 200) return 0;
      return Number(headers["retry-after"] ?? 0) * 1000 || WEIGHTS_RETRY;
    } catch {
      return WEIGHTS_RETRY;
    }
  }
}
