/** Seeded faults against shares of limits, and a checker: at no moment may
 * hosts together use more than a limit.
 * @module */

import * as fakeFleet from "../../src/membership/fake_fleet.ts";
import * as runtime from "../../src/runtime/mod.ts";
import * as fakeHost from "../../src/shares/fake_host.ts";
import type * as shares from "../../src/shares/mod.ts";
import * as violations from "./violation.ts";

const HOSTS = 6;
const LIMITS: readonly shares.Limit[] = [
  { row: "account/a", column: "rate", limit: 100 },
  { row: "account/b", column: "concurrency", limit: 40 },
  { row: "account/c", column: "concurrency", limit: 4 },
];
/** Faults in a schedule, milliseconds between two, and between two checks. */
const FAULTS = 60;
const STEP = 1000;
const CHECK = 40;
/** Length of the control lease, and its length by the leader's own clock. */
const CONTROL_LEASE = 1500;
const OWN_LEASE = CONTROL_LEASE * 0.95;
const RENEWAL = 500;
const SETTLE = 15_000;

/** One run. */
export interface Options {
  seed: number;
  /** Most that the clock of a host is wrong, as a share. */
  drift?: number;
  /** Called at each check with hosts' shares of each limit. */
  watch?: (row: string, sum: number) => void;
}

/** Runs one schedule; throws a violation when a limit is passed. */
export function run({ seed, drift = 0.009, watch }: Options): void {
  const world = new World(seed, drift);
  const check = () => world.check(watch);
  for (let fault = 0; fault < FAULTS; fault++) {
    world.fault();
    world.run(STEP, check);
  }
  world.mend();
  world.run(SETTLE, check);
  world.checkUse();
}

class World {
  readonly fleet: fakeFleet.FakeFleet<fakeHost.FakeHost>;
  readonly #random: runtime.Random;
  readonly #drift: number;
  #starts = 0;
  #leader = "";
  #term = 0;
  /** When no host can have the control lease any more. */
  #leaseEnd = 0;

  constructor(seed: number, drift: number) {
    this.#random = runtime.createRandom(seed);
    this.#drift = drift;
    this.fleet = new fakeFleet.FakeFleet(this.#random);
    for (let number = 1; number <= HOSTS; number++) this.#start(`h${number}`);
    this.#control();
  }

  fault(): void {
    const names = Object.keys(this.#faults);
    this.#faults[names[this.#random.below(names.length)]]();
  }

  mend(): void {
    this.fleet.faults = { drop: 0, duplicate: 0, delay: [1, 3] };
    this.fleet.reaches = () => true;
    for (let number = 1; number <= HOSTS; number++) {
      this.fleet.resume(`h${number}`, false);
      if (!this.fleet.has(`h${number}`)) this.#start(`h${number}`);
      this.#demand(`h${number}`, 500);
    }
  }

  run(ms: number, check: () => void): void {
    for (let passed = 0; passed < ms; passed += CHECK) {
      this.fleet.run(CHECK);
      check();
    }
  }

  check(watch?: (row: string, sum: number) => void): void {
    for (const { row, limit } of LIMITS) {
      const sum = this.#sum(row);
      watch?.(row, sum);
      violations.ensure(
        sum <= limit + 1e-6,
        `hosts may use ${sum} of ${row}, whose limit is ${limit}`,
      );
    }
  }

  /** With demand everywhere and no fault, most of each limit is in use. */
  checkUse(): void {
    for (const { row, limit } of LIMITS) {
      const sum = this.#sum(row);
      violations.ensure(sum >= limit * 0.9, `only ${sum} of ${row} is in use`);
    }
  }

  #sum(row: string): number {
    let sum = 0;
    for (const id of this.fleet.ids) {
      // A paused host uses nothing.
      this.fleet.call(id, (host, now) => {
        sum += host.shareOf(row, now);
        return [];
      });
    }
    return sum;
  }

  #start(id: string): void {
    const seed = ++this.#starts * HOSTS + Number(id.slice(1));
    const host = new fakeHost.FakeHost({ limits: LIMITS, hosts: HOSTS, seed });
    const rate = 1 + this.#drift * (2 * this.#random.next() - 1);
    this.fleet.start(id, host, rate);
    // A new run of the leader does not lead under its last term.
    if (id === this.#leader) this.#leader = "";
    this.#demand(id, this.#random.below(200));
  }

  #demand(id: string, demand: number): void {
    if (!this.fleet.has(id)) return;
    this.fleet.get(id).demands = LIMITS.map(({ row, column }) => {
      return { row, column, demand };
    });
  }

  /** Stands in for the replicated log: one leader at a time, which keeps its
   * lease while it reaches most hosts; hosts hear of it if it reaches them. */
  #control(): void {
    const now = this.fleet.clock.now();
    if (this.#reached(this.#leader).length > HOSTS / 2) this.#lead();
    else if (now >= this.#leaseEnd) this.#elect();
    this.fleet.clock.after(RENEWAL, () => this.#control());
  }

  #elect(): void {
    const able = this.fleet.ids.filter((id) => {
      return this.#reached(id).length > HOSTS / 2;
    });
    if (able.length === 0) return;
    this.#leader = able[this.#random.below(able.length)];
    this.#term++;
    this.#lead();
  }

  #lead(): void {
    const term = Math.max(1, this.#term);
    const leader = this.#leader;
    this.#leaseEnd = this.fleet.clock.now() + CONTROL_LEASE;
    this.fleet.call(leader, (host, now) => {
      return host.allocate({ type: "lead", term, until: now + OWN_LEASE }, now);
    });
    for (const id of this.#reached(leader)) {
      if (this.#random.next() < this.fleet.faults.drop) continue;
      this.fleet.call(id, (host, now) => {
        return host.hold({ type: "allocator", host: leader, term }, now);
      });
    }
  }

  /** Hosts that a running host reaches, and that reach it. */
  #reached(id: string): string[] {
    let running = false;
    this.fleet.call(id, () => {
      running = true;
      return [];
    });
    if (!running) return [];
    const { reaches } = this.fleet;
    return this.fleet.ids.filter((other) => {
      return reaches(id, other) && reaches(other, id);
    });
  }

  #host(): string {
    return `h${1 + this.#random.below(HOSTS)}`;
  }

  readonly #faults: Record<string, () => void> = {
    crash: () => this.fleet.crash(this.#host()),
    restart: () => this.#start(this.#host()),
    pause: () => this.fleet.pause(this.#host()),
    resume: () => {
      for (const id of this.fleet.ids) this.fleet.resume(id, false);
    },
    part: () => {
      const side = new Set(
        this.fleet.ids.filter(() => this.#random.next() < 0.4),
      );
      this.fleet.reaches = (from, to) => side.has(from) === side.has(to);
    },
    join: () => {
      this.fleet.reaches = () => true;
    },
    lose: () => {
      const drop = this.#random.next() * 0.3;
      const duplicate = this.#random.next() * 0.2;
      const longest = this.#random.next() * 1500;
      this.fleet.faults = { drop, duplicate, delay: [1, 1 + longest] };
    },
    calm: () => {
      this.fleet.faults = { drop: 0, duplicate: 0, delay: [1, 3] };
    },
    ask: () => this.#demand(this.#host(), this.#random.below(200)),
    askNothing: () => this.#demand(this.#host(), 0),
  };
}
