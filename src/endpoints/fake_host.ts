/** A host with membership and registry on a fake fleet, for tests and
 * benches.
 * @module */

import * as membership from "../membership/mod.ts";
import type * as fakeFleet from "../membership/fake_fleet.ts";
import * as runtime from "../runtime/mod.ts";
import type * as announcements from "../schema/endpoint_types.ts";
import type * as members from "../schema/membership_types.ts";
import type * as schema from "../schema/registry_types.ts";
import * as registry from "./registry.ts";
import type * as states from "./state.ts";

/** What a fake host starts with. */
export interface Options {
  id: string;
  dataCentre: string;
  incarnation: number;
  seeds: readonly string[];
  /** Shortest lease of an endpoint, milliseconds. */
  lease: number;
  seed: number;
}

/** Membership and registry wired as a node wires them. */
export class FakeHost implements fakeFleet.Program {
  readonly id: string;
  membership: membership.Membership;
  registry: registry.Registry;
  /** Changes of hosts and of endpoints, in order. */
  readonly changes: (membership.Change | states.Change)[] = [];
  /** Answers to endpoints, in order. */
  readonly answers: states.Effect[] = [];
  #memberAt = 0;
  #registryAt = 0;
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
    return Math.min(this.#memberAt, this.#registryAt);
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
    // A host that is alone never hears of a change.
    if (!this.#started) outgoing.push(...this.#takeHosts(now));
    this.#started = true;
    if (now >= this.#memberAt) {
      outgoing.push(...this.stepMembership({ type: "wake" }, now));
    }
    if (now >= this.#registryAt) {
      outgoing.push(...this.stepRegistry({ type: "wake" }, now));
    }
    return outgoing;
  }

  /** Gives an event to membership. */
  stepMembership(
    event: membership.Event,
    now: number,
  ): fakeFleet.OutgoingMessage[] {
    const { state, effects } = this.membership.step(event, now);
    this.membership = state;
    const outgoing: fakeFleet.OutgoingMessage[] = [];
    let changed = false;
    for (const effect of effects) {
      if (effect.type === "wake") this.#memberAt = effect.at;
      else if (effect.type === "send") {
        outgoing.push({ ...effect, channel: "membership" });
      } else {
        this.changes.push(effect.change);
        changed = true;
      }
    }
    if (changed) outgoing.push(...this.#takeHosts(now));
    return outgoing;
  }

  /** Gives an event to the registry. */
  stepRegistry(event: states.Event, now: number): fakeFleet.OutgoingMessage[] {
    const { state, effects } = this.registry.step(event, now);
    this.registry = state;
    const outgoing: fakeFleet.OutgoingMessage[] = [];
    for (const effect of effects) {
      if (effect.type === "wake") this.#registryAt = effect.at;
      else if (effect.type === "notify") this.changes.push(effect.change);
      else if (effect.type !== "send") this.answers.push(effect);
      else outgoing.push({ ...effect, channel: "registry" });
    }
    return outgoing;
  }

  /** An endpoint announces itself or renews here. */
  announce(
    id: string,
    announcement: announcements.Announcement,
    now: number,
  ): fakeFleet.OutgoingMessage[] {
    return this.stepRegistry({ type: "announce", id, announcement }, now);
  }

  #takeHosts(now: number): fakeFleet.OutgoingMessage[] {
    const { live, neighbours } = this.membership;
    const hosts = live.map(({ id, dataCentre, drain }) => {
      return { id, dataCentre, draining: drain !== undefined };
    });
    return this.stepRegistry({ type: "hosts", hosts, neighbours }, now);
  }
}
