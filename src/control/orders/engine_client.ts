/** HTTP client of the engines. It checks the lease again when it writes the body
 * of an order, so that an order is not sent after the lease has ended while the
 * connection was being opened.
 * @module */

import * as undici from "undici";
import * as check from "../../schema/check.ts";
import type * as schema from "../../schema/orders_types.ts";
import * as validators from "../../schema/orders_validators.ts";
import * as errors from "./errors.ts";
import type * as events from "./reconciler_event.ts";
import * as states from "./reconciler_state.ts";
import type * as plans from "./plan.ts";

/** Maximum length of a response, in characters. */
const MAX_ANSWER_LENGTH = 1024 * 1024;

/** Options of an `EngineClient`. */
export interface EngineClientOptions {
  dispatcher?: undici.Dispatcher;
  /** Bearer token for the engines, if they require one. */
  token?: string;
  /** Whether the lease with this fencing token is held now; reads the clock on
   * each call. */
  holdsLease(token: number): boolean;
}

/** Reads the reports of engines and sends orders to them. */
export class EngineClient {
  readonly #options: EngineClientOptions;

  private constructor(options: EngineClientOptions) {
    this.#options = options;
  }

  /** Creates a client that uses `options.dispatcher`, or undici's default. */
  static create(options: EngineClientOptions): EngineClient {
    return new EngineClient(options);
  }

  /** Returns the report of what an engine has loaded; undefined if the call
   * fails. */
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

  /** Sends an order, unless the lease has ended. */
  async sendOrder(
    { url }: plans.Engine,
    token: number,
    { order }: { order: schema.Order },
  ): Promise<events.Answer> {
    const written = { any: false };
    const body = this.#orderBody(token, { order, written });
    try {
      const answer = await this.#request(url, { method: "POST", body });
      return await parseAnswer(answer, token);
    } catch {
      return { type: written.any ? "lost" : "unsent" };
    }
  }

  async *#orderBody(
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
      signal: AbortSignal.timeout(states.CALL_TIMEOUT_MS),
    });
  }
}

async function parseAnswer(
  { statusCode, body }: undici.Dispatcher.ResponseData,
  token: number,
): Promise<events.Answer> {
  if (statusCode === 409) {
    const { token: newer } = await readJson(body) as { token?: unknown };
    return { type: "fenced", token: typeof newer === "number" ? newer : token };
  }
  await body.dump();
  if (statusCode >= 200 && statusCode < 300) return { type: "accepted" };
  // After a server error the order may have been accepted or not.
  return { type: statusCode >= 500 ? "lost" : "refused" };
}

async function readJson(
  body: undici.Dispatcher.ResponseData["body"],
): Promise<unknown> {
  let text = "";
  for await (const chunk of body.setEncoding("utf8")) {
    text += chunk;
    if (text.length > MAX_ANSWER_LENGTH) {
      throw new errors.OrderError(
        "The response of an engine exceeds the maximum length",
      );
    }
  }
  return JSON.parse(text);
}
