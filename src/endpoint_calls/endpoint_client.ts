/** Client for calls to endpoints, with one handler for each kind.
 * @module */

import * as undici from "undici";
import type * as call from "./call.ts";
import * as engine from "./engine.ts";
import * as connector from "./connector.ts";
import * as exchange from "./exchange.ts";
import type * as handler from "./handler.ts";
import * as json from "./json.ts";
import * as plain from "./plain.ts";
import * as receiver from "./receiver.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as subscription from "./subscription.ts";
import * as subscriptions from "./subscriptions.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Dependencies and limits of a client. */
export interface Options {
  clock: runtime.Clock;
  metrics: telemetry.Metrics;
  /** Maximum size of an answer in bytes; 16 MiB when absent. */
  answerBytes?: number;
  /** Timeout of connecting in milliseconds; 1000 when absent. */
  connectTimeout?: number;
}

const DEFAULT_MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const DEFAULT_CONNECT_TIMEOUT_MS = 1000;

const handlers: {
  [T in call.Input["type"]]: handler.Handler<call.Input & { type: T }>;
} = {
  engine: engine.engine,
  encoder: json.encoder,
  retriever: json.retriever,
  reranker: json.reranker,
  plain: plain.plain,
};

/** Client for all endpoints of a host. */
export class EndpointClient {
  readonly #options: Options;
  readonly #agent: undici.Agent;

  private constructor(options: Options) {
    this.#options = options;
    const { connectTimeout = DEFAULT_CONNECT_TIMEOUT_MS } = options;
    // No HTTP pipelining: a connection carries one call at a time.
    this.#agent = new undici.Agent({
      pipelining: 1,
      connect: connector.create({ timeout: connectTimeout }),
    });
  }

  static create(options: Options): EndpointClient {
    return new EndpointClient(options);
  }

  /** Starts a call; the returned function cancels it without notifying the
   * listener. */
  call(call: call.Call, listener: call.Listener): runtime.Cancel {
    const { clock, metrics, answerBytes = DEFAULT_MAX_ANSWER_BYTES } =
      this.#options;
    const callHandler = handlers[call.input.type] as handler.Handler;
    const callReceiver = new receiver.CallReceiver(call, {
      listener,
      metrics,
      clock,
      handler: callHandler,
    });
    const sent = callHandler.build(call.input, call);
    Object.assign(sent.headers, headersOf(call, clock.now()));
    metrics.count("call.started");
    const callExchange = exchange.Exchange.start(sent, {
      dispatcher: this.#agent,
      clock,
      url: call.url,
      deadline: call.deadline,
      idleTimeout: call.idleTimeout,
      maxBytes: answerBytes,
      receiver: callReceiver,
    });
    callReceiver.attach(callExchange);
    return () => {
      metrics.count("call.cancelled");
      callExchange.cancel();
    };
  }

  /** Creates subscriptions to endpoints' events, without any endpoint yet. */
  listen(
    { random, take }: Pick<subscription.Options, "random" | "take">,
  ): subscriptions.Subscriptions {
    const { clock, metrics } = this.#options;
    const dispatcher = this.#agent;
    const options = { dispatcher, clock, metrics, random, take };
    return subscriptions.Subscriptions.create(options);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

function headersOf(call: call.Call, now: number): Record<string, string> {
  const { attempt, stage, deadline, priority } = call;
  return {
    "x-request-id": attempt.request,
    "x-stage": stage,
    "x-attempt": String(attempt.attempt),
    "x-deadline": String(Math.max(0, Math.floor(deadline - now))),
    "x-priority": String(priority),
  };
}
