/** Makes calls to endpoints, through one handler for each kind.
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

/** Parts and bounds. */
export interface Options {
  clock: runtime.Clock;
  metrics: telemetry.Metrics;
  /** Largest answer in bytes; 16 MiB when absent. */
  answerBytes?: number;
  /** Milliseconds to make a connection; 1000 when absent. */
  connectTimeout?: number;
}

const ANSWER_BYTES = 16 * 1024 * 1024;
const CONNECT_TIME = 1000;

const handlers: {
  [T in call.Input["type"]]: handler.Handler<call.Input & { type: T }>;
} = {
  engine: engine.engine,
  encoder: json.encoder,
  retriever: json.retriever,
  reranker: json.reranker,
  plain: plain.plain,
};

/** Connections to all endpoints. */
export class EndpointClient {
  readonly #options: Options;
  readonly #agent: undici.Agent;

  private constructor(options: Options) {
    this.#options = options;
    const { connectTimeout: connectTime = CONNECT_TIME } = options;
    // No pipelining: a connection carries one call at a time.
    this.#agent = new undici.Agent({
      pipelining: 1,
      connect: connector.create({ timeout: connectTime }),
    });
  }

  static create(options: Options): EndpointClient {
    return new EndpointClient(options);
  }

  /** Starts a call; the returned function cancels it without another word. */
  call(made: call.Call, listener: call.Listener): runtime.Cancel {
    const { clock, metrics, answerBytes = ANSWER_BYTES } = this.#options;
    const chosen = handlers[made.input.type] as handler.Handler;
    const hears = new receiver.CallReceiver(made, {
      listener,
      metrics,
      clock,
      handler: chosen,
    });
    const sent = chosen.build(made.input, made);
    Object.assign(sent.headers, headersOf(made, clock.now()));
    metrics.count("call.started");
    const started = exchange.Exchange.start(sent, {
      dispatcher: this.#agent,
      clock,
      url: made.url,
      deadline: made.deadline,
      idleTimeout: made.idleTimeout,
      maxBytes: answerBytes,
      receiver: hears,
    });
    hears.attach(started);
    return () => {
      metrics.count("call.cancelled");
      started.cancel();
    };
  }

  /** Listens to what endpoints publish, once it is told of endpoints. */
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

function headersOf(made: call.Call, now: number): Record<string, string> {
  const { attempt, stage, deadline, priority } = made;
  return {
    "x-request-id": attempt.request,
    "x-stage": stage,
    "x-attempt": String(attempt.attempt),
    "x-deadline": String(Math.max(0, Math.floor(deadline - now))),
    "x-priority": String(priority),
  };
}
