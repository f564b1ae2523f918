/** Calls engines over HTTP. The lease is looked at again as the body of an
 * order is written, also after a pause while the connection was opened.
 * @module */

import * as undici from "undici";
import * as check from "../../schema/check.ts";
import type * as schema from "../../schema/orders_types.ts";
import * as validators from "../../schema/orders_validators.ts";
import * as errors from "./errors.ts";
import type * as events from "./reconciler_event.ts";
import * as orders from "./reconciler_state.ts";
import type * as plans from "./plan.ts";

/** Bytes of the largest answer. */
const MOST_ANSWER = 1024 * 1024;

/** What a caller needs. */
export interface EngineClientOptions {
  dispatcher?: undici.Dispatcher;
  /** Bearer token that engines expect, if they do. */
  token?: string;
  /** Whether the lease with this fencing token is held now, by a fresh look
   * at the clock. */
  holdsLease(token: number): boolean;
}

/** Reads and orders engines. */
export class EngineClient {
  readonly #options: EngineClientOptions;

  private constructor(options: EngineClientOptions) {
    this.#options = options;
  }

  /** A caller through `options.dispatcher`, or undici's own. */
  static create(options: EngineClientOptions): EngineClient {
    return new EngineClient(options);
  }

  /** What the engine has loaded; undefined when it cannot be read. */
  async readReport({ url }: plans.Engine): Promise<schema.Report | undefined> {
    try {
      const { statusCode, body } = await this.#request(url, { method: "GET" });
      const answer = await readJson(body);
      if (statusCode !== 200) return undefined;
      return check.check<schema.Report>(validators.validate, answer);
    } catch {
      return undefined;
    }
  }

  /** Sends an order unless the lease has ended. */
  async sendOrder(
    { url }: plans.Engine,
    token: number,
    { order }: { order: schema.Order },
  ): Promise<events.Answer> {
    const written = { any: false };
    const body = this.#body(token, { order, written });
    try {
      const answer = await this.#request(url, { method: "POST", body });
      return await answerOf(answer, token);
    } catch {
      return { type: written.any ? "lost" : "unsent" };
    }
  }

  async *#body(
    token: number,
    { order, written }: { order: schema.Order; written: { any: boolean } },
  ): AsyncGenerator<string> {
    if (!this.#options.holdsLease(token)) {
      throw new errors.OrderError("The lease ended before the order was sent");
    }
    written.any = true;
    yield JSON.stringify({ token, order });
  }

  #request(
    url: string,
    { method, body }: { method: "GET" | "POST"; body?: AsyncGenerator<string> },
  ): Promise<undici.Dispatcher.ResponseData> {
    const { dispatcher, token } = this.#options;
    const headers: Record<string, string> = {
      "content-type": "application/json",
    };
    if (token !== undefined) headers.authorization = `Bearer ${token}`;
    return undici.request(`${url}/v1/orders`, {
      dispatcher,
      method,
      headers,
      body: body as unknown as undici.Dispatcher.RequestOptions["body"],
      signal: AbortSignal.timeout(orders.CALL_TIMEOUT),
    });
  }
}

async function answerOf(
  { statusCode, body }: undici.Dispatcher.ResponseData,
  token: number,
): Promise<events.Answer> {
  if (statusCode === 409) {
    const { token: newer } = await readJson(body) as { token?: unknown };
    return { type: "fenced", token: typeof newer === "number" ? newer : token };
  }
  await body.dump();
  if (statusCode >= 200 && statusCode < 300) return { type: "accepted" };
  // A server error does not say whether the order was taken.
  return { type: statusCode >= 500 ? "lost" : "refused" };
}

async function readJson(
  body: undici.Dispatcher.ResponseData["body"],
): Promise<unknown> {
  let text = "";
  for await (const chunk of body.setEncoding("utf8")) {
    text += chunk;
    if (text.length > MOST_ANSWER) {
      throw new errors.OrderError("The answer of an engine is too large");
    }
  }
  return JSON.parse(text);
}
