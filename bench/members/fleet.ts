/** A fleet of a given size on virtual time, with endpoints that renew.
 * @module */

import * as fakeHost from "../../src/endpoints/fake_host.ts";
import * as fakeFleet from "../../src/membership/fake_fleet.ts";
import * as runtime from "../../src/runtime/mod.ts";

const DATA_CENTRES = 8;
const LEASE = 1500;
const SEEDS = ["h0", "h1", "h2"];
const POLL = 20;

/** Traffic of all hosts in a window. */
export interface Window {
  /** Bytes a host sends in a second, on average and at most. */
  bytes: number;
  mostBytes: number;
  /** Messages a host sends in a second, on average. */
  messages: number;
  /** Milliseconds of processor time for one host in a second. */
  cpu: number;
}

/** Hosts with endpoints spread evenly over data centres. */
export class Fleet {
  readonly hosts: fakeFleet.FakeFleet<fakeHost.FakeHost>;
  readonly size: number;
  readonly #random = runtime.createRandom(7);
  readonly #endpoints = new Map<string, number>();
  #incarnation = 0;

  constructor(size: number, endpoints: number) {
    this.size = size;
    this.hosts = new fakeFleet.FakeFleet(this.#random, false);
    this.hosts.faults = { drop: 0, duplicate: 0, delay: [1, 5] };
    for (let number = 0; number < size; number++) this.startHost(number);
    this.hosts.run(30_000);
    for (let number = 0; number < endpoints; number++) {
      const wait = 10_000 * number / endpoints;
      this.hosts.clock.after(wait, () => this.startEndpoint(number));
    }
    this.hosts.run(30_000);
  }

  startHost(number: number): void {
    const incarnation = ++this.#incarnation;
    const id = `h${number}`;
    const options = {
      id,
      dataCentre: dataCentreOf(number),
      incarnation,
      seeds: SEEDS,
      lease: LEASE,
      seed: incarnation,
    };
    this.hosts.start(id, new fakeHost.FakeHost(options));
  }

  /** A host leaves, and comes back two seconds later. */
  restartHost(number: number): void {
    const id = `h${number}`;
    this.hosts.call(
      id,
      (host, now) => host.stepMembership({ type: "leave" }, now),
    );
    this.hosts.crash(id);
    this.hosts.clock.after(2000, () => this.startHost(number));
  }

  startEndpoint(number: number): void {
    const id = `e${number}`;
    const known = this.#endpoints.has(id);
    this.#endpoints.set(id, ++this.#incarnation);
    if (!known) this.#renew(number);
  }

  stopEndpoint(number: number): void {
    const id = `e${number}`;
    const incarnation = this.#endpoints.get(id);
    this.#endpoints.delete(id);
    this.hosts.call(this.#near(number), (host, now) => {
      return host.stepRegistry({ type: "depart", id, incarnation }, now);
    });
  }

  /** All hosts and endpoints of a data centre end at once. */
  loseDataCentre(): number {
    const lost = this.hosts.ids.filter((id) => isFirst(id));
    lost.forEach((id) => this.hosts.crash(id));
    for (const id of [...this.#endpoints.keys()].filter(isFirst)) {
      this.#endpoints.delete(id);
    }
    return lost.length;
  }

  /** Milliseconds until `holds` at all hosts; Infinity when it never does. */
  until(holds: (host: fakeHost.FakeHost) => boolean, most: number): number {
    for (let passed = 0; passed < most; passed += POLL) {
      if (this.hosts.programs.every(holds)) return passed;
      this.hosts.run(POLL);
    }
    return Infinity;
  }

  /** Whether a host knows of exactly what runs. */
  agrees(host: fakeHost.FakeHost): boolean {
    return host.membership.live.length === this.hosts.ids.length &&
      host.registry.serving.length === this.#endpoints.size;
  }

  /** Measures the traffic of `seconds`. */
  measure(seconds: number): Window {
    this.hosts.traffic.clear();
    const before = process.cpuUsage();
    this.hosts.run(seconds * 1000);
    const { user, system } = process.cpuUsage(before);
    const hosts = [...this.hosts.traffic.values()];
    const all = hosts.reduce((sum, { bytes }) => sum + bytes, 0);
    const messages = hosts.reduce((sum, { messages }) => sum + messages, 0);
    const most = Math.max(...hosts.map(({ bytes }) => bytes));
    return {
      bytes: all / this.size / seconds,
      mostBytes: most / seconds,
      messages: messages / this.size / seconds,
      cpu: (user + system) / 1000 / this.size / seconds,
    };
  }

  #renew(number: number): void {
    const id = `e${number}`;
    const incarnation = this.#endpoints.get(id);
    if (incarnation === undefined) return;
    const announcement = {
      service: "course-model",
      kind: "engine" as const,
      url: `http://10.20.30.40:8000/${id}`,
      dataCentre: dataCentreOf(number),
      slots: 16,
      fencing: "checks" as const,
      role: "both" as const,
      models: ["course-large"],
      incarnation,
    };
    let lease = LEASE;
    this.hosts.call(this.#near(number), (host, now) => {
      const outgoing = host.announce(id, announcement, now);
      const answer = host.answers.pop();
      if (answer?.type === "accept") lease = answer.lease;
      return outgoing;
    });
    this.hosts.clock.after(lease / 3, () => this.#renew(number));
  }

  /** A host of the endpoint's data centre, as a balancer picks it. */
  #near(number: number): string {
    const { size } = this;
    const place = number % DATA_CENTRES;
    const count = Math.floor((size - 1 - place) / DATA_CENTRES) + 1;
    const near = place + DATA_CENTRES * this.#random.below(Math.max(1, count));
    if (this.hosts.has(`h${near}`)) return `h${near}`;
    const { ids } = this.hosts;
    return ids[this.#random.below(ids.length)];
  }
}

function dataCentreOf(number: number): string {
  return `hall-${number % DATA_CENTRES}`;
}

function isFirst(id: string): boolean {
  return Number(id.slice(1)) % DATA_CENTRES === 0;
}
