/** The endpoints that announce themselves: the shell of the registry.
 * @module */

import * as endpoints from "../endpoints/mod.ts";
import type * as membership from "../membership/mod.ts";
import type * as request from "../request/mod.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/registry_types.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** What the shell needs of its host. */
export interface DirectoryOptions extends endpoints.Options {
  clock: runtime.Clock;
  transport: runtime.Transport;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
  /** The endpoints that serve changed. */
  onChange(): void;
}

/** Milliseconds over which changes gather after one was told: many endpoints
 * that come at once must not have the list made anew for each. */
const GATHER = 20;

type Handler<T> = (effect: Extract<endpoints.Effect, { type: T }>) => void;

/** Keeps track of announced endpoints. */
export class Directory {
  readonly #options: DirectoryOptions;
  readonly #alarm: runtime.Timer;
  readonly #gathered: runtime.Timer;
  #registry: endpoints.Registry;
  /** Answer to the announcement under way. */
  #answer: request.NoticeResult | undefined;
  #toldAt = -Infinity;
  #stopped = false;

  private constructor(options: DirectoryOptions) {
    this.#options = options;
    this.#registry = endpoints.Registry.create(options);
    this.#alarm = runtime.Timer.create(
      options.clock,
      () => this.#step({ type: "wake" }),
    );
    this.#gathered = runtime.Timer.create(options.clock, () => this.#tell());
  }

  /** A directory without endpoints. */
  static create(options: DirectoryOptions): Directory {
    return new Directory(options);
  }

  /** Endpoints that serve, draining ones included. */
  get serving(): endpoints.Serving[] {
    return this.#registry.serving;
  }

  /** Whether this copy has once equalled that of another host. */
  get hasSynced(): boolean {
    return this.#registry.hasSynced;
  }

  /** Begins to compare notes with other hosts. */
  start(): void {
    this.#step({ type: "wake" });
  }

  /** Follows the hosts that live. */
  setHosts({ live, neighbours }: membership.Membership): void {
    const hosts = live.map(({ id, dataCentre, drain }) => ({
      id,
      dataCentre,
      draining: drain !== undefined,
    }));
    this.#step({ type: "hosts", hosts, neighbours });
  }

  /** Takes a message of another host. */
  receive(from: string, body: schema.RegistryMessage): void {
    this.#step({ type: "message", from, body });
  }

  /** Takes what an endpoint says of itself. */
  applyNotice(notice: request.Notice): Promise<request.NoticeResult> {
    const { metrics } = this.#options;
    if (notice.type === "leave") {
      const { endpoint: id, incarnation } = notice;
      this.#step({ type: "depart", id, incarnation });
      return Promise.resolve({ type: "taken", lease: 0 });
    }
    const { endpoint: id, announcement } = notice;
    metrics.count("endpoint.renewed");
    this.#answer = undefined;
    this.#step({ type: "announce", id, announcement });
    const detail = "The announcement was not answered";
    return Promise.resolve(this.#answer ?? { type: "rejected", detail });
  }

  /** Takes no further part. */
  stop(): void {
    this.#alarm.cancel();
    this.#gathered.cancel();
    this.#stopped = true;
  }

  /** State for people. */
  dump(): unknown {
    return this.#registry.toJSON();
  }

  #step(event: endpoints.Event): void {
    if (this.#stopped) return;
    const now = this.#options.clock.now();
    const { state, effects } = this.#registry.step(event, now);
    this.#registry = state;
    for (const effect of effects) {
      (this.#handlers[effect.type] as Handler<string>)(effect as never);
    }
    if (!effects.some(({ type }) => type === "notify")) return;
    const due = this.#toldAt + GATHER;
    if (now >= due) this.#tell();
    else this.#gathered.set(due);
  }

  #tell(): void {
    const { clock, metrics, onChange } = this.#options;
    this.#toldAt = clock.now();
    metrics.gauge("endpoint.known", this.serving.length);
    onChange();
  }

  readonly #handlers: { [T in endpoints.Effect["type"]]: Handler<T> } = {
    send: ({ to, body }) => {
      const { host: from, transport } = this.#options;
      transport.send({ from, to, channel: "registry", body });
    },
    wake: ({ at }) => this.#alarm.set(at),
    accept: ({ lease }) => {
      this.#answer = { type: "taken", lease };
    },
    refuse: ({ reason }) => {
      this.#options.metrics.count("endpoint.rejected");
      this.#answer = { type: "rejected", detail: refusals[reason] };
    },
    notify: ({ change }) => this.#note(change),
  };

  #note(change: endpoints.Change): void {
    const { logger, metrics } = this.#options;
    const endpoint = "id" in change ? change.id : change.entry.id;
    if (change.type === "joined") metrics.count("endpoint.announced");
    if (change.type === "left") metrics.count("endpoint.left");
    if (change.type === "expired") metrics.count("endpoint.expired");
    logger.info({ endpoint, change: change.type }, "endpoint changed");
  }
}

const refusals: Record<endpoints.Refusal, string> = {
  left: "The endpoint has left",
  stale: "The endpoint has started again since",
};
