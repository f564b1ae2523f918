/** A simulated host that runs membership and registry, for tests and
 * benchmarks.
 * @module */

import * as membership from "../membership/mod.ts";
import type * as fakeFleet from "../membership/fake_fleet.ts";
import * as runtime from "../runtime/mod.ts";
import type * as announcements from "../schema/endpoint_types.ts";
import type * as members from "../schema/membership_types.ts";
import type * as schema from "../schema/registry_types.ts";
import * as registry from "./registry.ts";
import type * as states from "./state.ts";

/** Options of a fake host. */
export interface Options {
  id: string;
  dataCentre: string;
  incarnation: number;
  seeds: readonly string[];
  /** Minimum lease of an endpoint in milliseconds. */
  lease: number;
  seed: number;
}

/** Connects membership and registry in the same way as a node. */
export class FakeHost implements fakeFleet.Program {
  readonly id: string;
  membership: membership.Membership;
  registry: registry.Registry;
  /** Changes of hosts and endpoints, in order. */
  readonly changes: (membership.Change | states.Change)[] = [];
  /** Replies to endpoints, in order. */
  readonly answers: states.Effect[] = [];
  #membershipWakeAt = 0;
  #registryWakeAt = 0;
  #started = false;

  constructor({ id, seeds, lease, seed, ...self }: Options) {
    const random = runtime.createRandom(seed);
    const address = { address: "127.0.0.1", port: 1 };
    this.id = id;
    this.membership = membership.Membership.create({
      self: { id, ...self, ...address },
      seeds,
      random,
    });
    this.registry = registry.Registry.create({ host: id, lease, random });
  }

  get wakeAt(): number {
    return Math.min(this.#membershipWakeAt, this.#registryWakeAt);
  }

  receive({ from, channel, body }: runtime.Envelope, now: number) {
    if (channel === "membership") {
      const message = body as members.MembershipMessage;
      return this.stepMembership({ type: "message", from, body: message }, now);
    }
    const message = body as schema.RegistryMessage;
    return this.stepRegistry({ type: "message", from, body: message }, now);
  }

  wake(now: number): fakeFleet.OutgoingMessage[] {
    const outgoing: fakeFleet.OutgoingMessage[] = [];
    // Without other hosts, membership never reports a change.
    if (!this.#started) outgoing.push(...this.#updateHosts(now));
    this.#started = true;
    if (now >= this.#membershipWakeAt) {
      outgoing.push(...this.stepMembership({ type: "wake" }, now));
    }
    if (now >= this.#registryWakeAt) {
      outgoing.push(...this.stepRegistry({ type: "wake" }, now));
    }
    return outgoing;
  }

  /** Passes an event to membership. */
  stepMembership(
    event: membership.Event,
    now: number,
  ): fakeFleet.OutgoingMessage[] {
    const { state, effects } = this.membership.step(event, now);
    this.membership = state;
    const outgoing: fakeFleet.OutgoingMessage[] = [];
    let changed = false;
    for (const effect of effects) {
      if (effect.type === "wake") this.#membershipWakeAt = effect.at;
      else if (effect.type === "send") {
        outgoing.push({ ...effect, channel: "membership" });
      } else {
        this.changes.push(effect.change);
        changed = true;
      }
    }
    if (changed) outgoing.push(...this.#updateHosts(now));
    return outgoing;
  }

  /** Passes an event to the registry. */
  stepRegistry(event: states.Event, now: number): fakeFleet.OutgoingMessage[] {
    const { state, effects } = this.registry.step(event, now);
    this.registry = state;
    const outgoing: fakeFleet.OutgoingMessage[] = [];
    for (const effect of effects) {
      if (effect.type === "wake") this.#registryWakeAt = effect.at;
      else if (effect.type === "notify") this.changes.push(effect.change);
      else if (effect.type !== "send") this.answers.push(effect);
      else outgoing.push({ ...effect, channel: "registry" });
    }
    return outgoing;
  }

  /** Passes the announcement of an endpoint to the registry. */
  announce(
    id: string,
    announcement: announcements.Announcement,
    now: number,
  ): fakeFleet.OutgoingMessage[] {
    return this.stepRegistry({ type: "announce", id, announcement }, now);
  }

  #updateHosts(now: number): fakeFleet.OutgoingMessage[] {
    const { live, neighbours } = this.membership;
    const hosts = live.map(({ id, dataCentre, drain }) => {
      return { id, dataCentre, draining: drain !== undefined };
    });
    return this.stepRegistry({ type: "hosts", hosts, neighbours }, now);
  }
}
