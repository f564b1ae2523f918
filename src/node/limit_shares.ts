/** This host's shares of fleet-wide limits. Connects the state machines of the
 * share holder and the share allocator to the clock and the transport: every
 * host holds shares, and the lease holder of the log allocates them.
 * @module */

import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/shares_types.ts";
import type * as settings from "../schema/settings_types.ts";
import * as shares from "../shares/mod.ts";
import type * as tableSource from "./table_source.ts";

/** Interval at which the leader of the log is looked up. */
const LEADER_POLL_INTERVAL_MS = 200;

/** Options and dependencies of limit shares. */
export interface Options {
  settings: settings.Settings;
  clock: runtime.Clock;
  random: runtime.Random;
  transport: runtime.Transport;
  source: tableSource.TableSource;
  /** Called when the shares of this host have changed. */
  onChange(): void;
}

/** The shares of one host. */
export class LimitShares {
  /** Measures the demand of callers for each limit. */
  readonly meter = shares.meter.DemandMeter.create();
  readonly #options: Options;
  readonly #leaderTimer: runtime.Timer;
  readonly #reportTimer: runtime.Timer;
  readonly #expiryTimer: runtime.Timer;
  readonly #allocationTimer: runtime.Timer;
  #limits: readonly shares.Limit[] = [];
  #holder: shares.holder.Holder;
  #allocator = shares.allocator.Allocator.create();
  #shares: ReadonlyMap<string, number> = new Map();
  #isLeaseHolder = false;
  #stopped = false;

  private constructor(options: Options) {
    const { clock, random, settings: { fleet } } = options;
    const hosts = fleet.hosts.length;
    this.#options = options;
    this.#holder = shares.holder.Holder.create({ hosts, random });
    this.#leaderTimer = runtime.Timer.create(clock, () => this.#pollLeader());
    this.#reportTimer = runtime.Timer.create(clock, () => this.#reportDemand());
    this.#expiryTimer = runtime.Timer.create(
      clock,
      () => this.#stepHolder({ type: "wake" }),
    );
    this.#allocationTimer = runtime.Timer.create(clock, () => {
      this.#updateLease();
      this.#stepAllocator({ type: "wake" });
    });
    this.setHosts(hosts);
  }

  /** Creates shares that are not claimed before `start`. */
  static create(options: Options): LimitShares {
    return new LimitShares(options);
  }

  /** This host's current share of a limit; the whole limit when the fleet has
   * a single host. */
  share({ row, column, limit }: shares.Limit): number {
    if (this.#isSingleHost) return limit;
    return this.#shares.get(keyOf(row, column)) ?? 0;
  }

  /** Starts reporting demand and claiming shares. */
  start(): void {
    if (this.#isSingleHost) return;
    this.#pollLeader();
    this.#reportDemand();
  }

  /** Updates the limits from the table. */
  setLimits(limits: readonly shares.Limit[]): void {
    this.#limits = limits;
    this.meter.setLimits(limits);
    this.#stepHolder({ type: "limits", limits });
    this.#stepAllocator({ type: "limits", limits });
  }

  /** Updates the number of hosts that may be running. */
  setHosts(count: number): void {
    this.#stepHolder({ type: "hosts", count });
    this.#stepAllocator({ type: "hosts", count });
  }

  /** Handles a shares message from another host. */
  receive(from: string, body: schema.SharesMessage): void {
    const event = { type: "message" as const, from, body };
    if (body.type !== "report") return this.#stepHolder(event);
    this.#updateLease();
    this.#stepAllocator(event);
  }

  /** Cancels all timers and ignores further events. */
  stop(): void {
    this.#stopped = true;
    for (
      const timer of [
        this.#leaderTimer,
        this.#reportTimer,
        this.#expiryTimer,
        this.#allocationTimer,
      ]
    ) timer.cancel();
  }

  /** State of holder and allocator for the state dump. */
  dump(): unknown {
    const allocator = this.#isLeaseHolder
      ? this.#allocator.toJSON()
      : undefined;
    return { holder: this.#holder.toJSON(), allocator };
  }

  get #isSingleHost(): boolean {
    return this.#options.settings.fleet.hosts.length === 1;
  }

  #pollLeader(): void {
    const { source, clock } = this.#options;
    this.#updateLease();
    const { leader } = source;
    if (leader !== undefined) {
      this.#stepHolder({ type: "leader", host: leader });
    }
    this.#leaderTimer.set(clock.now() + LEADER_POLL_INTERVAL_MS);
  }

  #updateLease(): void {
    const lease = this.#options.source.lease();
    if (lease !== undefined) {
      const { token: term, until } = lease;
      this.#stepAllocator({ type: "lead", term, until });
    } else if (this.#isLeaseHolder) this.#stepAllocator({ type: "yield" });
    this.#isLeaseHolder = lease !== undefined;
  }

  #reportDemand(): void {
    const now = this.#options.clock.now();
    const demands = this.meter.read(this.#limits, now);
    this.#stepHolder({ type: "demand", demands });
    this.#reportTimer.set(now + shares.holder.REPORT_INTERVAL_MS);
  }

  #stepHolder(event: shares.holder.Event): void {
    if (this.#stopped) return;
    const now = this.#options.clock.now();
    const { state, effects } = this.#holder.step(event, now);
    this.#holder = state;
    for (const effect of effects) {
      (this.#holderHandlers[effect.type] as Handler<string>)(effect as never);
    }
  }

  #stepAllocator(event: shares.allocator.Event): void {
    if (this.#stopped) return;
    const now = this.#options.clock.now();
    const { state, effects } = this.#allocator.step(event, now);
    this.#allocator = state;
    for (const effect of effects) {
      if (effect.type === "send") this.#send(effect);
      else if (effect.at === Infinity) this.#allocationTimer.cancel();
      else this.#allocationTimer.set(effect.at);
    }
  }

  readonly #holderHandlers: { [T in HolderEffect["type"]]: Handler<T> } = {
    send: (effect) => this.#send(effect),
    notify: (effect) => {
      this.#shares = new Map(effect.shares.map(({ row, column, share }) => {
        return [keyOf(row, column), share];
      }));
      this.#options.onChange();
    },
    wake: ({ at }) => this.#expiryTimer.set(at),
  };

  #send({ to, body }: { to: string; body: schema.SharesMessage }): void {
    const { settings: { host: from }, transport } = this.#options;
    transport.send({ from, to, channel: "shares", body });
  }
}

type HolderEffect = shares.holder.Effect;

type Handler<T> = (effect: Extract<HolderEffect, { type: T }>) => void;

function keyOf(row: string, column: string): string {
  return `${row} ${column}`;
}
