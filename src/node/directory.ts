/** Runs the registry of announced endpoints: connects its state machine to the
 * clock, the transport and the callers' interface.
 * @module */

import * as endpoints from "../endpoints/mod.ts";
import type * as membership from "../membership/mod.ts";
import type * as request from "../request/mod.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/registry_types.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Options and dependencies of a directory. */
export interface DirectoryOptions extends endpoints.Options {
  clock: runtime.Clock;
  transport: runtime.Transport;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
  /** Called when the serving endpoints have changed. */
  onChange(): void;
}

/** Changes within this time after a published one are published together, so
 * that many endpoints announced at once do not each rebuild the list. */
const CHANGE_DEBOUNCE_MS = 20;

type Handler<T> = (effect: Extract<endpoints.Effect, { type: T }>) => void;

/** Tracks announced endpoints. */
export class Directory {
  readonly #options: DirectoryOptions;
  readonly #wakeTimer: runtime.Timer;
  readonly #changeTimer: runtime.Timer;
  #registry: endpoints.Registry;
  /** Result of the announcement being processed. */
  #noticeResult: request.NoticeResult | undefined;
  #changedAt = -Infinity;
  #stopped = false;

  private constructor(options: DirectoryOptions) {
    this.#options = options;
    this.#registry = endpoints.Registry.create(options);
    this.#wakeTimer = runtime.Timer.create(
      options.clock,
      () => this.#step({ type: "wake" }),
    );
    this.#changeTimer = runtime.Timer.create(
      options.clock,
      () => this.#publishChange(),
    );
  }

  /** A directory without endpoints. */
  static create(options: DirectoryOptions): Directory {
    return new Directory(options);
  }

  /** Serving endpoints, including draining ones. */
  get serving(): endpoints.ServingEntry[] {
    return this.#registry.serving;
  }

  /** Whether this host's registry has once matched that of another host. */
  get hasSynced(): boolean {
    return this.#registry.hasSynced;
  }

  /** Starts synchronizing the registry with other hosts. */
  start(): void {
    this.#step({ type: "wake" });
  }

  /** Updates the live hosts. */
  setHosts({ live, neighbours }: membership.Membership): void {
    const hosts = live.map(({ id, dataCentre, drain }) => ({
      id,
      dataCentre,
      draining: drain !== undefined,
    }));
    this.#step({ type: "hosts", hosts, neighbours });
  }

  /** Handles a registry message from another host. */
  receive(from: string, body: schema.RegistryMessage): void {
    this.#step({ type: "message", from, body });
  }

  /** Applies an endpoint's announcement or leave notice. */
  applyNotice(notice: request.Notice): Promise<request.NoticeResult> {
    const { metrics } = this.#options;
    if (notice.type === "leave") {
      const { endpoint: id, incarnation } = notice;
      this.#step({ type: "depart", id, incarnation });
      return Promise.resolve({ type: "taken", lease: 0 });
    }
    const { endpoint: id, announcement } = notice;
    metrics.count("endpoint.renewed");
    this.#noticeResult = undefined;
    this.#step({ type: "announce", id, announcement });
    const detail = "The announcement was not answered";
    return Promise.resolve(this.#noticeResult ?? { type: "rejected", detail });
  }

  /** Cancels all timers and ignores further events. */
  stop(): void {
    this.#wakeTimer.cancel();
    this.#changeTimer.cancel();
    this.#stopped = true;
  }

  /** Registry state for the state dump. */
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
    const due = this.#changedAt + CHANGE_DEBOUNCE_MS;
    if (now >= due) this.#publishChange();
    else this.#changeTimer.set(due);
  }

  #publishChange(): void {
    const { clock, metrics, onChange } = this.#options;
    this.#changedAt = clock.now();
    metrics.gauge("endpoint.known", this.serving.length);
    onChange();
  }

  readonly #handlers: { [T in endpoints.Effect["type"]]: Handler<T> } = {
    send: ({ to, body }) => {
      const { host: from, transport } = this.#options;
      transport.send({ from, to, channel: "registry", body });
    },
    wake: ({ at }) => this.#wakeTimer.set(at),
    accept: ({ lease }) => {
      this.#noticeResult = { type: "taken", lease };
    },
    refuse: ({ reason }) => {
      this.#options.metrics.count("endpoint.rejected");
      this.#noticeResult = { type: "rejected", detail: refusals[reason] };
    },
    notify: ({ change }) => this.#recordChange(change),
  };

  #recordChange(change: endpoints.Change): void {
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
