/** Stand-ins for the wire: requests, answers and calls that stay in memory.
 * @module */

import * as events from "node:events";
import type * as http from "node:http";
import type * as undici from "undici";
import type * as gateway from "../../src/gateway/mod.ts";

/** A request without a body, as the gateway reads it. */
export function request(ask: gateway.IncomingRequest): http.IncomingMessage {
  const once = (name: string, hear: () => void) => {
    if (name === "end") queueMicrotask(hear);
  };
  const socket = new events.EventEmitter();
  const made = {
    ask,
    headers: {},
    complete: true,
    on() {},
    off() {},
    once,
    resume() {},
    socket,
  };
  return made as unknown as http.IncomingMessage;
}

/** What a caller hears. */
export interface Hearer {
  head(status: number, headers: Record<string, string>): void;
  event(): void;
  end(): void;
}

/** An answer that a hearer hears; `leave` says that the caller has left. */
export class Response extends events.EventEmitter {
  readonly #hearer: Hearer;
  #isOver = false;
  /** Streams are sent in chunks, as callers of HTTP/1.1 get them. */
  readonly chunkedEncoding = true;
  useChunkedEncodingByDefault = true;

  constructor(hearer: Hearer) {
    super();
    this.#hearer = hearer;
  }

  writeHead(status: number, headers: Record<string, string>): this {
    if (!this.#isOver) this.#hearer.head(status, headers);
    return this;
  }

  write(): boolean {
    if (!this.#isOver) this.#hearer.event();
    return true;
  }

  end(): this {
    this.#close();
    return this;
  }

  destroy(): this {
    this.#close();
    return this;
  }

  leave(): void {
    this.#isOver = true;
    this.emit("close");
  }

  #close(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#hearer.end();
    this.emit("close");
  }
}

/** What is sent to an endpoint. */
export interface Sent {
  readonly address: string;
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** How an endpoint answers. */
export interface Reply {
  head(headers?: Record<string, string>): void;
  data(text: string): void;
  end(): void;
  fail(): void;
}

/** A dispatcher that hands all calls to `serve`, which returns what is done
 * when the call is given up. */
export function dispatcher(
  serve: (sent: Sent, reply: Reply) => () => void,
): undici.Dispatcher {
  const dispatch = (
    { origin, headers, body }: undici.Dispatcher.DispatchOptions,
    handler: undici.Dispatcher.DispatchHandler,
  ) => {
    let cancel = () => {};
    let isAborted = false;
    const abort = () => {
      isAborted = true;
      cancel();
    };
    const controller = {
      abort,
    } as unknown as undici.Dispatcher.DispatchController;
    handler.onRequestStart!(controller, undefined);
    if (isAborted) {
      handler.onResponseError!(controller, new Error("aborted"));
      return true;
    }
    const reply: Reply = {
      head: (more = {}) =>
        handler.onResponseStart!(controller, statusOf(more), {
          "transfer-encoding": "chunked",
          ...more,
        }),
      data: (text) => handler.onResponseData!(controller, Buffer.from(text)),
      end: () => handler.onResponseEnd!(controller, {}),
      fail: () => handler.onResponseError!(controller, new Error("broken")),
    };
    cancel = serve({
      address: `${origin}`.slice("http://".length),
      headers: headers as Record<string, string>,
      body: `${body ?? ""}`,
    }, reply);
    return true;
  };
  return { dispatch } as unknown as undici.Dispatcher;
}

/** The protocol of these calls. */
export const protocol: gateway.GatewayProtocol = {
  decodeRequest: (sent) => ({
    type: "ask",
    request: (sent as unknown as { ask: gateway.IncomingRequest }).ask,
  }),
  isReadinessProbe: () => false,
  callHeaders: ({ id }, { endpoint, inputs, urgency, fetchFrom }) => ({
    attempt: id,
    endpoint,
    urgency: `${urgency}`,
    ...(inputs !== undefined && { inputs: inputs.join(",") }),
    ...(fetchFrom !== undefined && { source: fetchFrom }),
  }),
  decodeReply: (status, headers) => ({
    status,
    attempt: headers.attempt as string | undefined,
    signature: headers.attempt as string | undefined,
    isNotRun: headers["not-run"] !== undefined,
    isMisdirected: headers.misdirected !== undefined,
    lacksInput: headers["lacks-input"] !== undefined,
    leaving: headers.leaving === undefined ? undefined : "announced",
    retryAfter: delayOf(headers["retry-after"]),
    headers: {},
  }),
  batchCall: (endpoint, orders) => ({
    method: "POST",
    path: "/make",
    headers: { call: "make", endpoint },
    body: JSON.stringify(orders),
  }),
  decodeItemResults: (body) => JSON.parse(body.toString()),
  releaseCall: (handles) => ({
    method: "POST",
    path: "/release",
    headers: { call: "release" },
    body: JSON.stringify(handles),
  }),
  holderOf: (handle) => handle.slice(0, handle.indexOf("/")),
};

/** Milliseconds of a delay in seconds. */
function delayOf(
  text: string | string[] | undefined,
): number | "unreadable" | undefined {
  if (text === undefined) return undefined;
  const seconds = Number(text);
  return seconds >= 0 ? 1000 * seconds : "unreadable";
}

function statusOf(headers: Record<string, string>): number {
  return headers["not-run"] === undefined ? 200 : 503;
}
