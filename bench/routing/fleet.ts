/** Hosts that send calls to fake engines in virtual time.
 * @module */

import * as routing from "../../src/routing/mod.ts";
import * as runtime from "../../src/runtime/mod.ts";
import * as engine from "./engine.ts";
import * as fixture from "./fixture.ts";

/** A way to choose an engine; undefined lets the call wait in its host. */
export interface Pick {
  name: string;
  choose(
    host: Host,
    call: routing.endpointChoice.Call,
    now: number,
  ): string | undefined;
}

/** What is played. */
export interface Setup {
  seed: number;
  pick: Pick;
  hosts: number;
  engines: number;
  slots: number;
  /** Load over what the engines can do without cached prefixes. */
  load: number;
  /** Milliseconds that a report is old when it comes. */
  lag: number;
  /** Engines that are ten times slower than the others. */
  slow: number;
}

/** Times of all calls, and how many found their prefix cached. */
export interface Outcome {
  times: number[];
  hits: number;
}

/** One host with what the choices know. */
export interface Host {
  group: routing.endpointGroup.EndpointGroup;
  random: runtime.Random;
  turn: number;
  reported: Map<string, number>;
  waiting: Waiting[];
}

interface Waiting {
  call: routing.endpointChoice.Call;
  arrived: number;
}

/** Milliseconds of arrivals that are played. */
const TIME = 60_000;
/** Milliseconds that are played before times count. */
const WARM_UP = 10_000;
/** Milliseconds between two reports of an engine. */
const INTERVAL = 250;
/** Mean work of a call, and the prefill in it. */
const WORK = 1000;
const PREFILL = 400;
/** Prompts that come again and again. */
const FAMILIES = 60;
const PROMPTS = Array.from(
  { length: FAMILIES },
  (_, pos) => fixture.prompt(pos, 0),
);
/** Share of the cache events that are lost. */
const LOST = 0.02;

/** The choices that are compared. */
export const picks: readonly Pick[] = [
  {
    name: "round robin",
    choose: (host) => ids(host)[host.turn++ % host.group.size],
  },
  {
    name: "least own calls",
    choose: (host) =>
      least(host, (id) => host.group.member(id)?.load.ownCalls ?? 0),
  },
  {
    name: "least reported",
    choose: (host) => least(host, (id) => host.reported.get(id) ?? 0),
  },
  {
    name: "whole scan",
    choose: (host, call, now) => fixture.scan(host.group, call, now),
  },
  {
    name: "routing without affinity",
    choose: (host, call, now) =>
      routing.endpointChoice.choose(host.group, { ...call, prefix: [] }, now)
        ?.endpoint,
  },
  {
    name: "routing",
    choose: (host, call, now) =>
      routing.endpointChoice.choose(host.group, call, now)?.endpoint,
  },
];

/** Plays one setup to the end of all its calls. */
export function play(setup: Setup): Outcome {
  return new Fleet(setup).run();
}

class Fleet {
  #setup: Setup;
  #clock = new runtime.FakeClock();
  #random: runtime.Random;
  #engines: Map<string, engine.Engine>;
  #hosts: Host[];
  #outcome: Outcome = { times: [], hits: 0 };

  constructor(setup: Setup) {
    this.#setup = setup;
    this.#random = runtime.createRandom(setup.seed);
    this.#engines = new Map(Array.from({ length: setup.engines }, (_, pos) => {
      const { id } = fixture.endpoint(pos);
      const slowness = pos < setup.slow ? 10 : 1;
      const options = { slots: setup.slots, clock: this.#clock, slowness };
      return [id, new engine.Engine(id, options)];
    }));
    this.#hosts = Array.from(
      { length: setup.hosts },
      (_, pos) => createHost(setup, pos),
    );
  }

  run(): Outcome {
    this.#arrive();
    for (const one of this.#engines.values()) {
      const start = this.#random.next() * INTERVAL;
      this.#clock.after(start, () => this.#publish(one));
    }
    this.#clock.advance(3 * TIME);
    return this.#outcome;
  }

  /** Calls come at random, to a random host. */
  #arrive(): void {
    const { engines, slots, load, hosts } = this.#setup;
    const mean = WORK * 1.5 / (engines * slots * load);
    const gap = -Math.log(1 - this.#random.next()) * mean;
    this.#clock.after(gap, () => {
      const host = this.#hosts[this.#random.below(hosts)];
      const arrived = this.#clock.now();
      host.waiting.push({ call: this.#call(), arrived });
      this.#drain(host);
      if (arrived < TIME) this.#arrive();
    });
  }

  #call(): routing.endpointChoice.Call {
    // A few families of prompts make up most of the calls.
    const family = Math.floor(FAMILIES * this.#random.next() ** 2);
    const spread = -Math.log(1 - this.#random.next());
    const work = PREFILL + (WORK - PREFILL) * spread;
    const call = fixture.call(PROMPTS[family]);
    return { ...call, work, prefill: PREFILL };
  }

  #drain(host: Host): void {
    while (host.waiting.length > 0) {
      const [first] = host.waiting;
      const now = this.#clock.now();
      const id = this.#setup.pick.choose(host, first.call, now);
      const chosen = this.#engines.get(id ?? "");
      if (chosen === undefined) return;
      host.waiting.shift();
      this.#send(host, chosen, first);
    }
  }

  #send(host: Host, to: engine.Engine, { call, arrived }: Waiting): void {
    const sent = this.#clock.now();
    host.group.startCall(to.id, call.prefix, sent);
    const done = (cached: boolean) => {
      const now = this.#clock.now();
      const service = now - sent;
      const slowness = service / call.work;
      host.group.endCall(to.id, {
        observation: { ok: true, slowness },
        serviceTime: service,
      }, now);
      if (arrived >= WARM_UP) this.#outcome.times.push(now - arrived);
      if (arrived >= WARM_UP && cached) this.#outcome.hits++;
      this.#drain(host);
    };
    to.take({ work: call.work, prefill: PREFILL, prefix: call.prefix, done });
  }

  #publish(from: engine.Engine): void {
    const at = this.#clock.now();
    const load = { ...from.load, kvUsed: 0.5, at };
    const changes = from.changes();
    for (const host of this.#hosts) {
      const lost = this.#random.next() < LOST;
      this.#clock.after(this.#setup.lag, () => {
        const now = this.#clock.now();
        host.group.reportLoad(from.id, load, now);
        host.reported.set(from.id, load.running + load.waiting);
        if (!lost) host.group.prefixIndex.applyEvent(from.id, changes, now);
        this.#drain(host);
      });
    }
    if (at < 3 * TIME) this.#clock.after(INTERVAL, () => this.#publish(from));
  }
}

function createHost(setup: Setup, pos: number): Host {
  const random = runtime.createRandom(1000 * setup.seed + pos);
  const group = routing.endpointGroup.EndpointGroup.create({
    dataCentre: "here",
    random,
  });
  for (let count = 0; count < setup.engines; count++) {
    group.upsert({ ...fixture.endpoint(count), dataCentre: "here" });
  }
  const reported = new Map<string, number>();
  return { group, random, turn: pos, reported, waiting: [] };
}

function ids(host: Host): string[] {
  return [...host.group.ids()];
}

function least(host: Host, value: (id: string) => number): string {
  return ids(host).reduce((best, id) => value(id) < value(best) ? id : best);
}
