/** Shares of client accounts on control hosts. Rendezvous hashing selects the
 * control host that coordinates a service. Its state consists of what entry
 * hosts report, so another control host can take over without a transfer.
 * @module */

import * as rendezvous from "../routing/rendezvous.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as contentions from "./contention.ts";

/** Time after the first report of a service without limits. All hosts report
 * within an interval, and by the timeout of a coordinator that was lost. */
const SETTLE_MS = 700;
/** Time for which a service counts as watched by another control host after its
 * last message, so that all hosts report until the successor of a lost
 * coordinator has settled. */
const HEARD_LIFETIME_MS = 2000;
/** Time after the last message of a control host that goes before this one in a
 * service that it watches, in which this host sets no limits: three intervals of
 * these messages. Hosts whose questions to the coordinator are lost ask this
 * host, which knows too little to set limits while the coordinator is alive. */
const YIELD_MS = 1200;

/** Dependencies of a `ShareCoordinator`. */
export interface ShareCoordinatorOptions {
  readonly self: string;
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
}

/** The services that one control host coordinates, and those that others
 * watch. Mutable. */
export class ShareCoordinator {
  readonly #options: ShareCoordinatorOptions;
  readonly #services = new Map<string, contentions.Contention>();
  /** When other control hosts were last heard to watch a service. */
  readonly #heardAt = new Map<string, number>();
  /** The same of those that go before this host in the service. */
  readonly #yieldedAt = new Map<string, number>();

  private constructor(options: ShareCoordinatorOptions) {
    this.#options = options;
  }

  static create(options: ShareCoordinatorOptions): ShareCoordinator {
    return new ShareCoordinator(options);
  }

  /** Records a host's report and returns the limits for that host. */
  answer(
    { service, span, admitted, denied, accounts }: schema.SharesQuestion,
    from: string,
  ): schema.SharesReply {
    const now = this.#options.clock.now();
    const contention = this.#contentionOf(service, now);
    const use = { span, admitted, denied, accounts };
    const yieldedAt = this.#yieldedAt.get(service) ?? -Infinity;
    const isDeferred = now - yieldedAt <= YIELD_MS;
    contention.record(from, use, { now, isDeferred });
    const { capacity } = contention;
    this.#gauge(service, contention);
    return {
      type: "shares",
      watched: this.#isHeard(service, now) || contention.isWatched(now),
      decided: !isDeferred && !contention.isSettling(now),
      ...(capacity !== undefined && { capacity }),
      limits: contention.limitsOf(from, now),
    };
  }

  /** Services that this host watches, for the other control hosts. */
  get watched(): string[] {
    const now = this.#options.clock.now();
    return [...this.#services]
      .filter(([, contention]) => contention.isWatched(now))
      .map(([service]) => service);
  }

  /** Services that any control host watches, for entry hosts. */
  get contended(): string[] {
    const now = this.#options.clock.now();
    const heard = [...this.#heardAt.keys()].filter((service) =>
      this.#isHeard(service, now)
    );
    return [...new Set([...this.watched, ...heard])];
  }

  /** Records the services that another control host watches. */
  merge(services: readonly string[], from: string): void {
    const { self, clock } = this.#options;
    const now = clock.now();
    for (const service of services) {
      this.#heardAt.set(service, now);
      const [first] = rendezvous.rank(service, [self, from]);
      if (first === from) this.#yieldedAt.set(service, now);
    }
  }

  /** Removes services of which no host has reported lately. */
  tick(): void {
    const now = this.#options.clock.now();
    for (const [service, contention] of this.#services) {
      this.#gauge(service, contention);
      if (!contention.isAbandoned(now)) continue;
      this.#services.delete(service);
      this.#options.metrics.gauge("shares.capacity", 0, { service });
    }
    for (const service of this.#heardAt.keys()) {
      if (this.#isHeard(service, now)) continue;
      this.#heardAt.delete(service);
      this.#yieldedAt.delete(service);
    }
  }

  /** State for the state dump. */
  dump(): unknown {
    const now = this.#options.clock.now();
    return {
      services: [...this.#services.values()].map((each) => each.dump(now)),
      watchedElsewhere: [...this.#heardAt].map(([service, at]) => ({
        service,
        ageMs: Math.round(now - at),
      })),
    };
  }

  #contentionOf(service: string, now: number): contentions.Contention {
    const known = this.#services.get(service);
    // Reports of hosts that have stopped reporting are too old to begin with.
    if (known !== undefined && !known.isAbandoned(now)) return known;
    const { logger } = this.#options;
    const created = contentions.Contention.create({
      service,
      logger,
      decidedBy: "coordinator",
      settleMs: SETTLE_MS,
    }, now);
    this.#services.set(service, created);
    return created;
  }

  #isHeard(service: string, now: number): boolean {
    const at = this.#heardAt.get(service);
    return at !== undefined && now - at <= HEARD_LIFETIME_MS;
  }

  #gauge(service: string, { capacity = 0 }: contentions.Contention): void {
    this.#options.metrics.gauge("shares.capacity", capacity, { service });
  }
}
