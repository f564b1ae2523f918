/** One endpoint's events, asked for again whenever they stop.
 * @module */

import * as eventsource from "eventsource-parser";
import * as stringDecoder from "node:string_decoder";
import type * as undici from "undici";
import * as clockOffset from "./clock_offset.ts";
import * as exchange from "./exchange.ts";
import * as published from "./endpoint_events.ts";
import type * as request from "../request/event.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Events that a dispatcher is told of. */
export type EndpointEvent = request.Event & { type: "load" | "cache" };

/** Parts of subscriptions. */
export interface Options {
  dispatcher: undici.Dispatcher;
  clock: runtime.Clock;
  random: runtime.Random;
  metrics: telemetry.Metrics;
  take(heard: EndpointEvent): void;
}

/** An endpoint that may publish. */
export interface Publisher {
  id: string;
  /** Base URL, without a final slash. */
  url: string;
}

/** Milliseconds without an event after which a connection counts as silent. */
const SILENCE = 5000;
/** Milliseconds until an endpoint that publishes nothing is asked again. */
const UNPUBLISHED = 60_000;
/** Milliseconds before the first reconnect, doubled for each further one. */
const BACKOFF = 100;
const MOST_BACKOFF = 10_000;
const EVENT_STREAM = "text/event-stream";

type Take = (data: string) => boolean;

/** Subscription to one endpoint. */
export class Subscription implements exchange.Receiver {
  readonly #publisher: Publisher;
  readonly #options: Options;
  readonly #offset = clockOffset.ClockOffset.create();
  #decoder = new stringDecoder.StringDecoder("utf8");
  #parser: eventsource.EventSourceParser;
  #exchange: exchange.Exchange | undefined;
  #sequence: number | undefined;
  #failures = 0;
  #published = false;
  #closed = false;
  #cancelTimer: runtime.Cancel = () => {};

  private constructor(publisher: Publisher, options: Options) {
    this.#publisher = publisher;
    this.#options = options;
    this.#parser = this.#createParser();
  }

  static start(publisher: Publisher, options: Options): Subscription {
    const started = new Subscription(publisher, options);
    started.#open();
    return started;
  }

  get url(): string {
    return this.#publisher.url;
  }

  /** Ends it, and closes its connection. */
  close(): void {
    this.#closed = true;
    this.#cancelTimer();
    this.#exchange?.cancel();
  }

  head(status: number, headers: exchange.Headers): void {
    const type = String(headers["content-type"] ?? "");
    this.#published = status === 200 && type.startsWith(EVENT_STREAM);
    if (this.#published) {
      return this.#options.metrics.count("endpoint.subscribed");
    }
    this.#exchange?.cancel();
    // It is there and has no events; anything else may pass.
    if (status < 500 && status !== 429) this.#openAfter(UNPUBLISHED);
    else this.#reopen();
  }

  data(chunk: Buffer): void {
    if (this.#published) this.#parser.feed(this.#decoder.write(chunk));
  }

  end(): void {
    this.#reopen();
  }

  fail(_broken: exchange.ExchangeFailure): void {
    this.#reopen();
  }

  #open(): void {
    if (this.#closed) return;
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
      idleTimeout: SILENCE,
      maxBytes: Infinity,
      receiver: this,
    });
  }

  /** Backs off with full jitter, so that hosts don't come back together. */
  #reopen(): void {
    const doubled = Math.min(MOST_BACKOFF, BACKOFF * 2 ** this.#failures++);
    this.#openAfter(BACKOFF + this.#options.random.next() * doubled);
  }

  #openAfter(delay: number): void {
    if (this.#closed) return;
    this.#cancelTimer();
    this.#cancelTimer = this.#options.clock.after(delay, () => this.#open());
  }

  #createParser(): eventsource.EventSourceParser {
    return eventsource.createParser({
      onEvent: ({ event = "", data }) => {
        const take = this.#takers[event];
        if (this.#closed || take === undefined) return;
        this.#failures = 0;
        if (take(data)) return;
        this.#options.metrics.count("endpoint.event_malformed");
      },
    });
  }

  readonly #takers: Readonly<Record<string, Take>> = {
    load: (data) => {
      const read = published.parseLoad(data);
      if (read === undefined) return false;
      const { clock, take } = this.#options;
      const at = this.#offset.toHost(read.at, clock.now());
      const load = { ...read, at };
      take({ type: "load", endpoint: this.#publisher.id, load });
      return true;
    },
    cache: (data) => {
      const read = published.parseCache(data);
      if (read === undefined) return false;
      const { metrics, take } = this.#options;
      const { sequence } = read;
      if (this.#sequence !== undefined && sequence !== this.#sequence + 1) {
        metrics.count("endpoint.cache_gap");
      }
      this.#sequence = sequence;
      take({ type: "cache", endpoint: this.#publisher.id, ...read });
      return true;
    },
  };
}
