/** What all stand-ins of endpoints share: server, faults, load reports, and
 * the routes to read and steer them.
 * @module */

import * as endpoint from "../src/schema/endpoint_types.ts";
import * as runtime from "../src/runtime/mod.ts";
import * as call from "./call.ts";
import * as faults from "./faults.ts";
import type * as ledger from "./ledger.ts";
import * as server from "./server.ts";

/** Load as it is reported. */
export interface Load {
  /** The stand-in's own clock, milliseconds. */
  at: number;
  running: number;
  waiting: number;
  kvUsed: number;
}

/** What a stand-in is made of. */
export interface Options {
  id: string;
  service: string;
  dataCentre: string;
  ledger: ledger.Ledger;
  clock: runtime.Clock;
  /** Seed of its random numbers. */
  seed: number;
  /** Milliseconds between two load reports. */
  reportEvery?: number;
  /** Milliseconds by which a load report lags. */
  reportLag?: number;
}

/** Answer remembered so that it can be handed to another call. */
interface Delivered {
  echo: call.Echo;
  value: unknown;
}

const REPORT_EVERY = 500;
const REPORT_LAG = 300;
/** Milliseconds after the deadline at which a late answer leaves. */
const LATE_BY = 150;
/** Own clocks differ by up to this many milliseconds. */
const CLOCK_SPREAD = 1e6;
const RETRY_AFTER = "1";

/** Whether nobody can take the answer of a call. */
export function spoils({ hit, incoming }: call.Call): boolean {
  const { hang, crossed, late, drop } = hit;
  return hang || crossed || late || drop || incoming.reply.silent;
}

/** A server that plays one endpoint. */
export abstract class StandIn {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  abstract readonly kind: endpoint.EndpointKind;
  protected readonly ledger: ledger.Ledger;
  protected readonly clock: runtime.Clock;
  protected readonly random: runtime.Random;
  readonly #faults: faults.Faults;
  readonly #server: server.Server;
  readonly #offset: number;
  readonly #every: number;
  readonly #lag: number;
  readonly #watchers = new Set<server.Reply>();
  #reports: Load[] = [];
  #stopReports: runtime.Cancel | undefined;
  #keys = 0;
  #last: Delivered | undefined;
  #crossed = 0;

  constructor(options: Options) {
    this.id = options.id;
    this.service = options.service;
    this.dataCentre = options.dataCentre;
    this.ledger = options.ledger;
    this.clock = options.clock;
    this.random = runtime.createRandom(options.seed);
    this.#faults = new faults.Faults(this.random);
    this.#offset = this.random.below(CLOCK_SPREAD);
    this.#every = options.reportEvery ?? REPORT_EVERY;
    this.#lag = options.reportLag ?? REPORT_LAG;
    this.#server = new server.Server((incoming) => this.#route(incoming));
  }

  /** Base URL; known once it has started. */
  get url(): string {
    return this.#server.url;
  }

  /** Requests that arrived on silent connections. */
  get swallowed(): number {
    return this.#server.swallowed;
  }

  /** Listens on `port`, or on a free one. */
  async start(port = 0): Promise<void> {
    await this.#server.start(port);
    this.#report();
  }

  /** Breaks all connections and stops. */
  async stop(): Promise<void> {
    this.#stopReports?.();
    await this.#server.stop();
  }

  /** Switches a fault on. */
  fault(fault: faults.Fault): void {
    if (fault.type === "silent") this.silence(fault.share ?? 1);
    else this.#faults.set(fault, this.clock.now());
  }

  /** Switches one fault off, or all. */
  clear(type?: faults.FaultName): void {
    this.#faults.clear(type);
  }

  /** Makes a share of the open connections silent for good. */
  silence(share: number): void {
    this.#server.silence(() => this.random.next() < share);
  }

  /** Breaks all connections; new ones work. */
  disconnect(): void {
    this.#server.disconnect();
  }

  /** What it says of itself. */
  abstract announcement(): endpoint.Announcement;
  /** Load at this moment, without `at`. */
  protected abstract load(): Omit<Load, "at">;
  /** Serves a call for which no fault stood in the way. */
  protected abstract serve(call: call.Call): void;

  /** Serves paths beside the calls; true when it did. */
  protected extra(_incoming: server.Incoming): boolean | Promise<boolean> {
    return false;
  }

  /** Says that a call was not started. */
  protected refuse(made: call.Call, status: 429 | 503 = 503): void {
    this.ledger.refuse(this.service);
    made.incoming.reply.json(status, { detail: "The call was not started" }, {
      ...call.echo(made),
      "x-outcome": "not-run",
      "retry-after": RETRY_AFTER,
    });
  }

  /** Sends a JSON answer, changed by the faults that hit the call. */
  protected deliver(made: call.Call, value: Record<string, unknown>): void {
    const { hit, incoming: { reply } } = made;
    if (hit.late) {
      const wait = this.lateness(made);
      const on = { ...made, hit: { ...hit, late: false } };
      this.clock.after(wait, () => this.deliver(on, value));
      return;
    }
    const sent = hit.crossed ? this.#cross(made, value) : {
      echo: made,
      value: { id: call.id(made), ...value },
    };
    this.#last = { echo: made, value: { id: call.id(made), ...value } };
    const text = JSON.stringify(sent.value);
    reply.head(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
      ...call.echo(sent.echo),
    });
    if (!hit.drop) return reply.end(text);
    reply.write(text.slice(0, text.length >>> 1));
    this.clock.after(1, () => reply.destroy());
  }

  /** Another request's answer: by turns all of it, or under this call's
   * headers. */
  #cross(
    made: call.Call,
    value: Record<string, unknown>,
  ): Delivered {
    const madeUp = { request: "another", stage: made.stage, attempt: "1" };
    const other = this.#last?.echo.request === made.request
      ? undefined
      : this.#last;
    const from = other ??
      { echo: madeUp, value: { ...value, id: call.id(madeUp) } };
    const whole = this.#crossed++ % 2 === 0;
    return { echo: whole ? from.echo : made, value: from.value };
  }

  /** Milliseconds until the call's deadline has surely passed. */
  protected lateness({ at, deadline = 0 }: call.Call): number {
    return Math.max(0, at + deadline + LATE_BY - this.clock.now());
  }

  /** Sends an event to all who subscribed. */
  protected publish(name: string, data: unknown): void {
    for (const watcher of this.#watchers) watcher.event(data, name);
  }

  #route(incoming: server.Incoming): void | Promise<void> {
    const { method, url: { pathname } } = incoming;
    const handler = this.#steering[`${method} ${pathname}`];
    if (handler !== undefined) return handler(incoming);
    const extra = this.extra(incoming);
    if (extra === true) return;
    if (extra === false) return this.#call(incoming);
    return extra.then((served) => {
      if (!served) this.#call(incoming);
    });
  }

  readonly #steering: Record<string, (incoming: server.Incoming) => void> = {
    "GET /v1/events": ({ reply }) => this.#subscribe(reply),
    "POST /faults": ({ body, reply }) => {
      const fault: unknown = JSON.parse(body);
      if (!faults.isFault(fault)) {
        return reply.json(400, { detail: "This is not a fault" });
      }
      this.fault(fault);
      reply.json(200, {});
    },
    "DELETE /faults": ({ reply }) => {
      this.clear();
      reply.json(200, {});
    },
    "GET /ledger": ({ reply }) => reply.json(200, this.ledger.totals()),
  };

  #call(incoming: server.Incoming): void {
    const at = this.clock.now();
    const hit = this.#faults.hit(at);
    const key = String(this.#keys++);
    const made = call.read(incoming, { key, at, hit });
    if (hit.refuse) this.refuse(made);
    else this.serve(made);
  }

  #subscribe(reply: server.Reply): void {
    reply.head(200, { "content-type": "text/event-stream" });
    reply.event(this.#reports[0] ?? this.#now(), "load");
    this.#watchers.add(reply);
    reply.onCancel(() => this.#watchers.delete(reply));
  }

  #now(): Load {
    return { at: this.clock.now() + this.#offset, ...this.load() };
  }

  #report(): void {
    const now = this.#now();
    const reports = [...this.#reports, now];
    const old = reports.findLastIndex(({ at }) => at <= now.at - this.#lag);
    this.#reports = reports.slice(Math.max(0, old));
    this.publish("load", this.#reports[0]);
    this.#stopReports = this.clock.after(this.#every, () => this.#report());
  }
}
