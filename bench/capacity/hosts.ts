/** Fleets of hosts with membership and registry in virtual time, for what they
 * cost at rest and after a failure.
 * @module */

import * as fakeHost from "../../src/endpoints/fake_host.ts";
import * as fakeFleet from "../../src/membership/fake_fleet.ts";
import * as runtime from "../../src/runtime/mod.ts";
import type * as announcements from "../../src/schema/endpoint_types.ts";

/** Data centres of the target. */
const DATA_CENTRES = 8;
const LEASE = 3000;
const SEEDS = ["h0", "h1", "h2"];
const SECOND = 1000;
/** Milliseconds that a fleet gets to join and to agree. */
const SETTLE = 60_000;
/** An announcement renews three times in a lease. */
const RENEWALS = 3;

/** What an average host of a fleet sends in a second. */
export interface Rate {
  messages: number;
  bytes: number;
}

const settled = new Map<string, Fleet>();

/** A fleet that has settled. Slopes share it, since it takes a minute to join
 * the largest; what one of them lost is one host or a few endpoints. */
export function settle(size: number, endpoints = 0): Fleet {
  const key = `${size} ${endpoints}`;
  const fleet = settled.get(key) ?? Fleet.create(size, endpoints);
  settled.set(key, fleet);
  return fleet;
}

/** Hosts that run membership and registry, and endpoints that renew. */
export class Fleet {
  readonly fake: fakeFleet.FakeFleet<fakeHost.FakeHost>;
  readonly #random = runtime.createRandom(1);
  readonly #announced = new Map<string, announcements.Announcement>();
  #incarnation = 0;

  private constructor() {
    this.fake = new fakeFleet.FakeFleet(this.#random, false);
  }

  /** A fleet that has settled. */
  static create(hosts: number, endpoints = 0): Fleet {
    const fleet = new Fleet();
    for (let pos = 0; pos < hosts; pos++) fleet.start(pos);
    fleet.fake.run(SETTLE);
    for (let pos = 0; pos < endpoints; pos++) fleet.announce(pos);
    if (endpoints > 0) fleet.fake.run(SETTLE);
    return fleet;
  }

  /** Starts a host, or starts it again. */
  start(pos: number): void {
    const id = `h${pos}`;
    const incarnation = ++this.#incarnation;
    const dataCentre = `data-centre-${pos % DATA_CENTRES}`;
    const seed = incarnation;
    const host = { id, dataCentre, incarnation, seeds: SEEDS, seed };
    this.fake.start(id, new fakeHost.FakeHost({ ...host, lease: LEASE }));
  }

  /** An endpoint announces itself, and renews from then on. */
  announce(pos: number): void {
    const id = `engine-${pos}`;
    this.#announced.set(id, {
      service: `model-${pos % 12}`,
      kind: "engine",
      url: `http://10.0.${pos >>> 8}.${pos % 256}:8000`,
      dataCentre: `data-centre-${pos % DATA_CENTRES}`,
      slots: 64,
      fencing: "checks",
      models: [`model-${pos % 12}`],
      incarnation: 1764697457,
    });
    const lease = this.#leaseOf(id);
    this.fake.clock.after(
      this.#random.next() * lease / RENEWALS,
      () => this.#renew(id),
    );
  }

  /** Ends an endpoint after it said so. */
  depart(pos: number): void {
    const id = `engine-${pos}`;
    this.#announced.delete(id);
    this.fake.call(this.#hostOf(), (host, now) => {
      return host.stepRegistry({ type: "depart", id }, now);
    });
  }

  /** What an average host sends in a second, over `ms`. */
  rate(ms: number, channel?: string): Rate {
    const { messages, bytes } = this.count(ms, channel);
    const hosts = this.fake.ids.length;
    const each = hosts * ms / SECOND;
    return { messages: messages / each, bytes: bytes / each };
  }

  /** All that the hosts send over `ms`, on one channel if given. */
  count(ms: number, channel?: string): Rate {
    const sum = { messages: 0, bytes: 0 };
    const { loses } = this.fake;
    this.fake.loses = (envelope) => {
      if (channel === undefined || envelope.channel === channel) {
        sum.messages++;
        sum.bytes += JSON.stringify(envelope).length;
      }
      return false;
    };
    this.fake.run(ms);
    this.fake.loses = loses;
    return sum;
  }

  #renew(id: string): void {
    const announcement = this.#announced.get(id);
    if (announcement === undefined) return;
    this.fake.call(this.#hostOf(), (host, now) => {
      return host.announce(id, announcement, now);
    });
    const wait = this.#leaseOf(id) / RENEWALS;
    this.fake.clock.after(wait, () => this.#renew(id));
  }

  /** The lease that a host stretches when it has many endpoints. */
  #leaseOf(id: string): number {
    const { ids } = this.fake;
    const answers = this.fake.get(ids[id.length % ids.length]).answers;
    const last = answers.findLast(({ type }) => type === "accept");
    return last?.type === "accept" ? last.lease : LEASE;
  }

  #hostOf(): string {
    const { ids } = this.fake;
    return ids[this.#random.below(ids.length)];
  }
}
