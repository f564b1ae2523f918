/** The hosts of the system around this one: the shell of membership.
 * @module */

import * as membership from "../membership/mod.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/membership_types.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** What the shell needs of its host. */
export interface MembersOptions extends membership.Options {
  clock: runtime.Clock;
  transport: runtime.Transport;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
  /** The live hosts, or what they say of themselves, changed. */
  onChange(): void;
}

type Handler<T> = (effect: Extract<membership.Effect, { type: T }>) => void;

/** Keeps track of the other hosts. */
export class Members {
  readonly #options: MembersOptions;
  readonly #alarm: runtime.Timer;
  #membership: membership.Membership;
  #left = false;

  private constructor(options: MembersOptions) {
    this.#options = options;
    this.#membership = membership.Membership.create(options);
    this.#alarm = runtime.Timer.create(
      options.clock,
      () => this.#step({ type: "wake" }),
    );
  }

  /** Members that this host has not begun to look for. */
  static create(options: MembersOptions): Members {
    return new Members(options);
  }

  /** The view of the hosts as it is now. */
  get membership(): membership.Membership {
    return this.#membership;
  }

  /** Joins the other hosts. */
  start(): void {
    this.#step({ type: "wake" });
    this.#options.onChange();
  }

  /** Takes a message of another host. */
  receive(from: string, body: schema.MembershipMessage): void {
    this.#step({ type: "message", from, body });
  }

  /** Tells the others that this host takes no new work. */
  drain(reason: string): void {
    this.#step({ type: "drain", reason });
  }

  /** Tells the others that this host goes, and takes no further part. */
  leave(): void {
    this.#step({ type: "leave" });
    this.#alarm.cancel();
    this.#left = true;
  }

  #step(event: membership.Event): void {
    // News that comes in after the host has left must not set the alarm again.
    if (this.#left) return;
    const now = this.#options.clock.now();
    const { state, effects } = this.#membership.step(event, now);
    this.#membership = state;
    for (const effect of effects) {
      (this.#handlers[effect.type] as Handler<string>)(effect as never);
    }
    if (effects.some(({ type }) => type === "notify")) {
      this.#options.metrics.gauge("member.alive", state.live.length);
      this.#options.onChange();
    }
  }

  readonly #handlers: { [T in membership.Effect["type"]]: Handler<T> } = {
    send: ({ to, body }) => {
      const { self, transport } = this.#options;
      transport.send({ from: self.id, to, channel: "membership", body });
    },
    wake: ({ at }) => this.#alarm.set(at),
    notify: ({ change }) => {
      const { type, member: { id: member } } = change;
      const { logger, metrics } = this.#options;
      if (type === "died") metrics.count("member.failed");
      logger.info({ member, change: type }, "host changed");
    },
  };
}
