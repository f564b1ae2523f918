/** Tracks the other hosts of the fleet: connects the membership state machine to
 * the clock and the transport.
 * @module */

import * as membership from "../membership/mod.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/membership_types.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Options and dependencies of members. */
export interface MembersOptions extends membership.Options {
  clock: runtime.Clock;
  transport: runtime.Transport;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
  /** Called when the live hosts or their metadata have changed. */
  onChange(): void;
}

type Handler<T> = (effect: Extract<membership.Effect, { type: T }>) => void;

/** Tracks the other hosts. */
export class Members {
  readonly #options: MembersOptions;
  readonly #wakeTimer: runtime.Timer;
  #membership: membership.Membership;
  #hasLeft = false;

  private constructor(options: MembersOptions) {
    this.#options = options;
    this.#membership = membership.Membership.create(options);
    this.#wakeTimer = runtime.Timer.create(
      options.clock,
      () => this.#step({ type: "wake" }),
    );
  }

  /** Creates members that are not contacted before `start`. */
  static create(options: MembersOptions): Members {
    return new Members(options);
  }

  /** Current membership as this host sees it. */
  get membership(): membership.Membership {
    return this.#membership;
  }

  /** Joins the other hosts. */
  start(): void {
    this.#step({ type: "wake" });
    this.#options.onChange();
  }

  /** Handles a membership message from another host. */
  receive(from: string, body: schema.MembershipMessage): void {
    this.#step({ type: "message", from, body });
  }

  /** Announces to the other hosts that this host accepts no new work. */
  drain(reason: string): void {
    this.#step({ type: "drain", reason });
  }

  /** Announces that this host leaves the fleet, and ignores further events. */
  leave(): void {
    this.#step({ type: "leave" });
    this.#wakeTimer.cancel();
    this.#hasLeft = true;
  }

  #step(event: membership.Event): void {
    // Messages received after leaving must not set the timer again.
    if (this.#hasLeft) return;
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
    wake: ({ at }) => this.#wakeTimer.set(at),
    notify: ({ change }) => {
      const { type, member: { id: member } } = change;
      const { logger, metrics } = this.#options;
      if (type === "died") metrics.count("member.failed");
      logger.info({ member, change: type }, "host changed");
    },
  };
}
