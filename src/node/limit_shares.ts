/** This host's shares of limits of the whole fleet: the shell of holder and
 * allocator. Every host holds shares; the one that leads the log gives them
 * out.
 * @module */

import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/shares_types.ts";
import type * as settings from "../schema/settings_types.ts";
import * as shares from "../shares/mod.ts";
import type * as tableSource from "./table_source.ts";

/** Milliseconds between looks at who leads the log. */
const LOOK = 200;

/** What the shell needs of its host. */
export interface Options {
  settings: settings.Settings;
  clock: runtime.Clock;
  random: runtime.Random;
  transport: runtime.Transport;
  source: tableSource.TableSource;
  /** Shares of this host changed. */
  onChange(): void;
}

/** Shares of one host. */
export class LimitShares {
  /** Watches what callers ask. */
  readonly meter = shares.meter.Meter.create();
  readonly #options: Options;
  readonly #look: runtime.Timer;
  readonly #report: runtime.Timer;
  readonly #expiry: runtime.Timer;
  readonly #round: runtime.Timer;
  #limits: readonly shares.Limit[] = [];
  #holder: shares.holder.Holder;
  #allocator = shares.allocator.Allocator.create();
  #shares: ReadonlyMap<string, number> = new Map();
  #leading = false;
  #stopped = false;

  private constructor(options: Options) {
    const { clock, random, settings: { fleet } } = options;
    const hosts = fleet.hosts.length;
    this.#options = options;
    this.#holder = shares.holder.Holder.create({ hosts, random });
    this.#look = runtime.Timer.create(clock, () => this.#lookAround());
    this.#report = runtime.Timer.create(clock, () => this.#tellDemand());
    this.#expiry = runtime.Timer.create(
      clock,
      () => this.#hold({ type: "wake" }),
    );
    this.#round = runtime.Timer.create(clock, () => {
      this.#followLease();
      this.#allocate({ type: "wake" });
    });
    this.setHosts(hosts);
  }

  /** Shares of a host that has not begun to claim any. */
  static create(options: Options): LimitShares {
    return new LimitShares(options);
  }

  /** What this host may use of a limit now. A host that is alone has all. */
  share({ row, column, limit }: shares.Limit): number {
    if (this.#alone) return limit;
    return this.#shares.get(keyOf(row, column)) ?? 0;
  }

  /** Begins to claim shares. */
  start(): void {
    if (this.#alone) return;
    this.#lookAround();
    this.#tellDemand();
  }

  /** Follows the limits in the table. */
  setLimits(limits: readonly shares.Limit[]): void {
    this.#limits = limits;
    this.meter.setLimits(limits);
    this.#hold({ type: "limits", limits });
    this.#allocate({ type: "limits", limits });
  }

  /** Follows the number of hosts that may be running. */
  setHosts(count: number): void {
    this.#hold({ type: "hosts", count });
    this.#allocate({ type: "hosts", count });
  }

  /** Takes a message of another host. */
  receive(from: string, body: schema.SharesMessage): void {
    const event = { type: "message" as const, from, body };
    if (body.type !== "report") return this.#hold(event);
    this.#followLease();
    this.#allocate(event);
  }

  /** Takes no further part. */
  stop(): void {
    this.#stopped = true;
    for (
      const alarm of [this.#look, this.#report, this.#expiry, this.#round]
    ) alarm.cancel();
  }

  /** State for people. */
  dump(): unknown {
    const allocator = this.#leading ? this.#allocator.toJSON() : undefined;
    return { holder: this.#holder.toJSON(), allocator };
  }

  get #alone(): boolean {
    return this.#options.settings.fleet.hosts.length === 1;
  }

  #lookAround(): void {
    const { source, clock } = this.#options;
    this.#followLease();
    const { leader } = source;
    if (leader !== undefined) this.#hold({ type: "leader", host: leader });
    this.#look.set(clock.now() + LOOK);
  }

  #followLease(): void {
    const lease = this.#options.source.lease();
    if (lease !== undefined) {
      const { token: term, until } = lease;
      this.#allocate({ type: "lead", term, until });
    } else if (this.#leading) this.#allocate({ type: "yield" });
    this.#leading = lease !== undefined;
  }

  #tellDemand(): void {
    const now = this.#options.clock.now();
    const demands = this.meter.read(this.#limits, now);
    this.#hold({ type: "demand", demands });
    this.#report.set(now + shares.holder.REPORT_INTERVAL);
  }

  #hold(event: shares.holder.Event): void {
    if (this.#stopped) return;
    const now = this.#options.clock.now();
    const { state, effects } = this.#holder.step(event, now);
    this.#holder = state;
    for (const effect of effects) {
      (this.#holding[effect.type] as Handler<string>)(effect as never);
    }
  }

  #allocate(event: shares.allocator.Event): void {
    if (this.#stopped) return;
    const now = this.#options.clock.now();
    const { state, effects } = this.#allocator.step(event, now);
    this.#allocator = state;
    for (const effect of effects) {
      if (effect.type === "send") this.#send(effect);
      else if (effect.at === Infinity) this.#round.cancel();
      else this.#round.set(effect.at);
    }
  }

  readonly #holding: { [T in HolderEffect["type"]]: Handler<T> } = {
    send: (effect) => this.#send(effect),
    notify: (effect) => {
      this.#shares = new Map(effect.shares.map(({ row, column, share }) => {
        return [keyOf(row, column), share];
      }));
      this.#options.onChange();
    },
    wake: ({ at }) => this.#expiry.set(at),
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
