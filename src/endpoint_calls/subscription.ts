/** Subscription to the events of one endpoint, with reconnects.
 * @module */

import * as eventsource from "eventsource-parser";
import * as stringDecoder from "node:string_decoder";
import type * as undici from "undici";
import * as clockOffset from "./clock_offset.ts";
import * as exchange from "./exchange.ts";
import * as endpointEvents from "./endpoint_events.ts";
import type * as request from "../request/event.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Event of an endpoint, as passed to the dispatcher. */
export type EndpointEvent = request.Event & { type: "load" | "cache" };

/** Dependencies of subscriptions. */
export interface Options {
  dispatcher: undici.Dispatcher;
  clock: runtime.Clock;
  random: runtime.Random;
  metrics: telemetry.Metrics;
  take(event: EndpointEvent): void;
}

/** An endpoint that may publish events. */
export interface Publisher {
  id: string;
  /** Base URL, without a final slash. */
  url: string;
}

/** Time without a byte after which the connection is replaced. */
const IDLE_TIMEOUT_MS = 5000;
/** Delay of the next request to an endpoint that does not publish events. */
const UNSUPPORTED_RETRY_MS = 60_000;
/** Base of the backoff before reconnects, doubled after each failure. */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 10_000;
/** Characters of the largest event: a cache change names some thousand hashes. */
const MAX_EVENT_CHARACTERS = 1024 * 1024;
const EVENT_STREAM = "text/event-stream";

type EventHandler = (data: string) => boolean;

/** Subscription to one endpoint. */
export class Subscription implements exchange.Receiver {
  readonly #endpoint: Publisher;
  readonly #options: Options;
  readonly #clockOffset = clockOffset.ClockOffset.create();
  #decoder = new stringDecoder.StringDecoder("utf8");
  #parser: eventsource.EventSourceParser;
  #exchange: exchange.Exchange | undefined;
  #lastSequence: number | undefined;
  #failureCount = 0;
  #isStreaming = false;
  #isClosed = false;
  #cancelTimer: runtime.Cancel = () => {};

  private constructor(endpoint: Publisher, options: Options) {
    this.#endpoint = endpoint;
    this.#options = options;
    this.#parser = this.#createParser();
  }

  static start(endpoint: Publisher, options: Options): Subscription {
    const subscription = new Subscription(endpoint, options);
    subscription.#open();
    return subscription;
  }

  get url(): string {
    return this.#endpoint.url;
  }

  /** Ends the subscription and closes its connection. */
  close(): void {
    this.#isClosed = true;
    this.#cancelTimer();
    this.#exchange?.cancel();
  }

  head(status: number, headers: exchange.Headers): void {
    const type = String(headers["content-type"] ?? "");
    this.#isStreaming = status === 200 && type.startsWith(EVENT_STREAM);
    if (this.#isStreaming) {
      return this.#options.metrics.count("endpoint.subscribed");
    }
    this.#exchange?.cancel();
    // Other than with 429 and 5xx, the endpoint is up but publishes no events.
    if (status < 500 && status !== 429) this.#openAfter(UNSUPPORTED_RETRY_MS);
    else this.#reopen();
  }

  data(chunk: Buffer): void {
    if (this.#isStreaming) this.#parser.feed(this.#decoder.write(chunk));
  }

  end(): void {
    this.#reopen();
  }

  fail(_broken: exchange.ExchangeFailure): void {
    this.#reopen();
  }

  /** Replaces the connection of an endpoint whose event has no end. */
  #endOversized(): void {
    this.#isStreaming = false;
    this.#exchange?.cancel();
    this.#options.metrics.count("endpoint.event_oversized");
    this.#reopen();
  }

  #open(): void {
    if (this.#isClosed) return;
    this.#decoder = new stringDecoder.StringDecoder("utf8");
    this.#parser = this.#createParser();
    const { dispatcher, clock } = this.#options;
    const headers = { accept: EVENT_STREAM };
    const sent = { method: "GET", path: "/v1/events", headers };
    this.#exchange = exchange.Exchange.start(sent, {
      dispatcher,
      clock,
      url: this.url,
      deadline: Infinity,
      idleTimeout: IDLE_TIMEOUT_MS,
      maxBytes: Infinity,
      receiver: this,
    });
  }

  /** Reconnects after a backoff with jitter, so that hosts do not reconnect at
   * the same time. */
  #reopen(): void {
    const doubled = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** this.#failureCount++,
    );
    this.#openAfter(INITIAL_BACKOFF_MS + this.#options.random.next() * doubled);
  }

  #openAfter(delay: number): void {
    if (this.#isClosed) return;
    this.#cancelTimer();
    this.#cancelTimer = this.#options.clock.after(delay, () => this.#open());
  }

  #createParser(): eventsource.EventSourceParser {
    return eventsource.createParser({
      maxBufferSize: MAX_EVENT_CHARACTERS,
      onError: ({ type }) => {
        if (type === "max-buffer-size-exceeded") this.#endOversized();
      },
      onEvent: ({ event = "", data }) => {
        const take = this.#eventHandlers[event];
        if (this.#isClosed || take === undefined) return;
        this.#failureCount = 0;
        if (take(data)) return;
        this.#options.metrics.count("endpoint.event_malformed");
      },
    });
  }

  readonly #eventHandlers: Readonly<Record<string, EventHandler>> = {
    load: (data) => {
      const read = endpointEvents.parseLoad(data);
      if (read === undefined) return false;
      const { clock, take } = this.#options;
      const at = this.#clockOffset.toHost(read.at, clock.now());
      const load = { ...read, at };
      take({ type: "load", endpoint: this.#endpoint.id, load });
      return true;
    },
    cache: (data) => {
      const read = endpointEvents.parseCache(data);
      if (read === undefined) return false;
      const { metrics, take } = this.#options;
      const { sequence } = read;
      if (
        this.#lastSequence !== undefined && sequence !== this.#lastSequence + 1
      ) {
        metrics.count("endpoint.cache_gap");
      }
      this.#lastSequence = sequence;
      take({ type: "cache", endpoint: this.#endpoint.id, ...read });
      return true;
    },
  };
}
