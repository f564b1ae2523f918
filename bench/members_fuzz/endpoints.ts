/** Endpoints of a fuzzed fleet: they renew, leave, drain and die, and know
 * what is true of themselves.
 * @module */

import type * as fakeHost from "../../src/endpoints/fake_host.ts";
import type * as fakeFleet from "../../src/membership/fake_fleet.ts";
import type * as runtime from "../../src/runtime/mod.ts";
import type * as announcements from "../../src/schema/endpoint_types.ts";

/** Lease that hosts give to an endpoint, milliseconds. */
export const LEASE = 1500;
const DATA_CENTRES = ["west", "east"];

type Fleet = fakeFleet.FakeFleet<fakeHost.FakeHost>;

/** Data centre of the host or endpoint with this number. */
export function dataCentreOf(number: number): string {
  return DATA_CENTRES[number % DATA_CENTRES.length];
}

/** All endpoints that announce themselves to one fleet. */
export class Endpoints {
  /** Longest that a renewal is on its way, milliseconds. */
  longestWay = 1000;
  readonly #fleet: Fleet;
  readonly #random: runtime.Random;
  readonly #running = new Map<string, announcements.Announcement>();
  #incarnation = 0;

  constructor(fleet: Fleet, random: runtime.Random) {
    this.#fleet = fleet;
    this.#random = random;
  }

  /** Starts an endpoint, or starts it again. */
  start(number: number): void {
    const id = `e${number}`;
    const known = this.#running.has(id);
    this.#running.set(id, {
      service: "lm",
      kind: "engine",
      url: `http://10.0.0.1/${id}`,
      dataCentre: dataCentreOf(number),
      incarnation: ++this.#incarnation,
    });
    if (!known) this.#renew(id);
  }

  /** Lets an endpoint finish its calls. */
  drain(id: string): void {
    const announcement = this.#running.get(id);
    if (announcement === undefined) return;
    this.#running.set(id, { ...announcement, state: "draining" });
  }

  /** Ends an endpoint without a word. */
  kill(id: string): void {
    this.#running.delete(id);
  }

  /** Ends an endpoint after it said so. */
  leave(id: string): void {
    const announcement = this.#running.get(id);
    if (announcement === undefined) return;
    this.kill(id);
    const { incarnation } = announcement;
    this.#send(announcement, (host, now) => {
      return host.stepRegistry({ type: "depart", id, incarnation }, now);
    });
  }

  get ids(): string[] {
    return [...this.#running.keys()];
  }

  /** What every host should know. */
  get truth(): string {
    return [...this.#running]
      .map(([id, { state, incarnation }]) => {
        return `${id}:${incarnation}:${state ?? "ready"}`;
      })
      .sort()
      .join();
  }

  #renew(id: string): void {
    const announcement = this.#running.get(id);
    if (announcement === undefined) return;
    const way = this.#random.next() * this.longestWay;
    this.#fleet.clock.after(way, () => {
      this.#send(announcement, (host, now) => {
        return host.announce(id, announcement, now);
      });
    });
    this.#fleet.clock.after(LEASE / 3, () => this.#renew(id));
  }

  /** Reaches a host of its data centre, or another when there is none. */
  #send(
    { dataCentre }: announcements.Announcement,
    action: (
      host: fakeHost.FakeHost,
      now: number,
    ) => fakeFleet.OutgoingMessage[],
  ): void {
    const { ids } = this.#fleet;
    const near = ids.filter((id) => {
      return dataCentreOf(Number(id.slice(1))) === dataCentre;
    });
    const hosts = near.length > 0 ? near : ids;
    if (hosts.length === 0) return;
    this.#fleet.call(hosts[this.#random.below(hosts.length)], action);
  }
}
