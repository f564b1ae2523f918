/** Seeded faults against membership and registry, and a checker: once the
 * faults end, all hosts agree on what is true, and keep to it.
 * @module */

import * as fakeHost from "../../src/endpoints/fake_host.ts";
import * as fakeFleet from "../../src/membership/fake_fleet.ts";
import * as runtime from "../../src/runtime/mod.ts";
import * as endpoints from "./endpoints.ts";
import * as violations from "./violation.ts";

const HOSTS = 6;
const ENDPOINTS = 8;
/** Faults in a schedule, and milliseconds between two. */
const FAULTS = 60;
const STEP = 1000;
/** Time to agree after the last fault, then time to stay so. */
const SETTLE = 60_000;
const STABLE = 30_000;

/** One run. */
export interface Options {
  seed: number;
  /** Messages that are always lost, to see that the checker notices. */
  sabotage?: (envelope: runtime.Envelope) => boolean;
}

/** Runs one schedule; throws a violation when hosts end up wrong. */
export function run({ seed, sabotage }: Options): void {
  const world = new World(seed);
  if (sabotage !== undefined) world.fleet.loses = sabotage;
  for (let fault = 0; fault < FAULTS; fault++) {
    world.fault();
    world.fleet.run(STEP);
  }
  world.mend();
  world.fleet.run(SETTLE);
  world.checkAgreement();
  const before = world.losses();
  world.fleet.run(STABLE);
  world.checkAgreement();
  violations.ensure(world.losses() === before, "a live host or endpoint flaps");
  world.checkOrder();
}

class World {
  readonly fleet: fakeFleet.FakeFleet<fakeHost.FakeHost>;
  readonly #endpoints: endpoints.Endpoints;
  readonly #random: runtime.Random;
  #incarnation = 0;

  constructor(seed: number) {
    this.#random = runtime.createRandom(seed);
    this.fleet = new fakeFleet.FakeFleet(this.#random);
    this.#endpoints = new endpoints.Endpoints(this.fleet, this.#random);
    for (let number = 1; number <= HOSTS; number++) this.#start(number);
    this.fleet.run(5000);
  }

  /** Does one random thing. */
  fault(): void {
    const names = Object.keys(this.#faults);
    this.#faults[names[this.#random.below(names.length)]]();
  }

  /** Ends all faults; hosts that are down stay down, but one runs. */
  mend(): void {
    this.fleet.faults = { drop: 0, duplicate: 0, delay: [1, 3] };
    this.fleet.reaches = () => true;
    this.#endpoints.longestWay = 20;
    for (const id of this.fleet.ids) this.fleet.resume(id, false);
    if (this.fleet.ids.length === 0) this.#start(1);
    // A fleet without any seed cannot be found by those that come.
    if (!this.fleet.has("h1") && !this.fleet.has("h2")) this.#start(1);
  }

  checkAgreement(): void {
    const hosts = [...this.fleet.ids].sort().join();
    for (const host of this.fleet.programs) {
      const live = host.membership.live.map(({ id }) => id).join();
      violations.ensure(
        live === hosts,
        `${host.id} has hosts ${live}, running are ${hosts}`,
      );
      const known = host.registry.serving
        .map(({ id, declared, phase }) => `${id}:${declared}:${phase}`)
        .sort()
        .join();
      violations.ensure(
        known === this.#endpoints.truth,
        `${host.id} has endpoints ${known}, true is ${this.#endpoints.truth}`,
      );
    }
  }

  /** Number of hosts and endpoints that any host has lost so far. */
  losses(): number {
    return this.fleet.programs
      .flatMap(({ changes }) => changes)
      .filter(({ type }) => type === "died" || type === "expired").length;
  }

  /** An endpoint that left comes back with a later generation only. */
  checkOrder(): void {
    for (const { changes } of this.fleet.programs) {
      const generations = new Map<string, number>();
      const left = new Set<string>();
      for (const change of changes) {
        if (change.type === "left" && "id" in change) left.add(change.id);
        if (!("entry" in change)) continue;
        const { id, generation } = change.entry;
        const last = generations.get(id) ?? -1;
        violations.ensure(
          left.has(id) ? generation > last : generation >= last,
          `${id} came back with generation ${generation} after ${last}`,
        );
        generations.set(id, generation);
        left.delete(id);
      }
    }
  }

  #start(number: number): void {
    const incarnation = ++this.#incarnation;
    const id = `h${number}`;
    const host = new fakeHost.FakeHost({
      id,
      dataCentre: endpoints.dataCentreOf(number),
      incarnation,
      seeds: ["h1", "h2"],
      lease: endpoints.LEASE,
      seed: incarnation * HOSTS + number,
    });
    this.fleet.start(id, host);
  }

  #host(): string {
    return `h${1 + this.#random.below(HOSTS)}`;
  }

  #endpoint(): string {
    const { ids } = this.#endpoints;
    return ids[this.#random.below(Math.max(1, ids.length))] ?? "";
  }

  readonly #faults: Record<string, () => void> = {
    crash: () => this.fleet.crash(this.#host()),
    start: () => {
      const id = this.#host();
      if (!this.fleet.has(id)) this.#start(Number(id.slice(1)));
    },
    restart: () => this.#start(Number(this.#host().slice(1))),
    leave: () => {
      const id = this.#host();
      this.fleet.call(
        id,
        (host, now) => host.stepMembership({ type: "leave" }, now),
      );
      this.fleet.crash(id);
    },
    pause: () => this.fleet.pause(this.#host()),
    resume: () => {
      const clockStopped = this.#random.next() < 0.5;
      for (const id of this.fleet.ids) this.fleet.resume(id, clockStopped);
    },
    part: () => {
      const side = new Set(
        this.fleet.ids.filter(() => this.#random.next() < 0.5),
      );
      this.fleet.reaches = (from, to) => side.has(from) === side.has(to);
    },
    deafen: () => {
      const deaf = this.#host();
      this.fleet.reaches = (_, to) => to !== deaf;
    },
    join: () => {
      this.fleet.reaches = () => true;
    },
    lose: () => {
      const drop = this.#random.next() * 0.3;
      const duplicate = this.#random.next() * 0.2;
      const longest = this.#random.next() * 400;
      this.fleet.faults = { drop, duplicate, delay: [1, 1 + longest] };
    },
    calm: () => {
      this.fleet.faults = { drop: 0, duplicate: 0, delay: [1, 3] };
    },
    serve: () => this.#endpoints.start(this.#random.below(ENDPOINTS)),
    serveAgain: () => this.#endpoints.start(this.#random.below(ENDPOINTS)),
    drain: () => this.#endpoints.drain(this.#endpoint()),
    kill: () => this.#endpoints.kill(this.#endpoint()),
    depart: () => this.#endpoints.leave(this.#endpoint()),
  };
}
