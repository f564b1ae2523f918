/** A host with a holder and an allocator on a fake fleet, for tests and
 * benchmarks.
 * @module */

import type * as fakeFleet from "../membership/fake_fleet.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/shares_types.ts";
import * as allocators from "./allocator.ts";
import * as holders from "./holder.ts";
import type * as limits from "./limit.ts";

/** Options of a `FakeHost`. */
export interface Options {
  limits: readonly limits.Limit[];
  hosts: number;
  seed: number;
}

/** A holder and an allocator, connected as in a node. */
export class FakeHost implements fakeFleet.Program {
  holder: holders.Holder;
  allocator = allocators.Allocator.create();
  /** Demand of the clients of this host. */
  demands: readonly holders.Demand[] = [];
  #demandAt: number;
  #allocatorAt = Infinity;

  constructor({ limits, hosts, seed }: Options) {
    const random = runtime.createRandom(seed);
    this.holder = holders.Holder.create({ hosts, random });
    this.hold({ type: "limits", limits }, 0);
    this.allocate({ type: "limits", limits }, 0);
    this.allocate({ type: "hosts", count: hosts }, 0);
    this.#demandAt = random.below(holders.REPORT_INTERVAL_MS);
  }

  get wakeAt(): number {
    return Math.min(this.#demandAt, this.#allocatorAt);
  }

  receive({ from, body }: runtime.Envelope, now: number) {
    const message = body as schema.SharesMessage;
    const event = { type: "message" as const, from, body: message };
    if (message.type === "grant") return this.hold(event, now);
    return this.allocate(event, now);
  }

  wake(now: number): fakeFleet.OutgoingMessage[] {
    const outgoing: fakeFleet.OutgoingMessage[] = [];
    if (now >= this.#allocatorAt) {
      outgoing.push(...this.allocate({ type: "wake" }, now));
    }
    if (now >= this.#demandAt) {
      this.#demandAt = now + holders.REPORT_INTERVAL_MS;
      const { demands } = this;
      outgoing.push(...this.hold({ type: "demand", demands }, now));
    }
    return outgoing;
  }

  /** Passes an event to the holder; returns the messages to send. */
  hold(event: holders.Event, now: number): fakeFleet.OutgoingMessage[] {
    const { state, effects } = this.holder.step(event, now);
    this.holder = state;
    return effects.flatMap((effect) => {
      if (effect.type !== "send") return [];
      return [{ ...effect, channel: "shares" as const }];
    });
  }

  /** Passes an event to the allocator; returns the messages to send. */
  allocate(event: allocators.Event, now: number): fakeFleet.OutgoingMessage[] {
    const { state, effects } = this.allocator.step(event, now);
    this.allocator = state;
    const outgoing: fakeFleet.OutgoingMessage[] = [];
    for (const effect of effects) {
      if (effect.type === "wake") this.#allocatorAt = effect.at;
      else outgoing.push({ ...effect, channel: "shares" });
    }
    return outgoing;
  }

  /** Returns the share of a limit that this host may use at `now`. */
  shareOf(row: string, now: number): number {
    this.hold({ type: "wake" }, now);
    return this.holder.shares.find((share) => share.row === row)?.share ?? 0;
  }
}
