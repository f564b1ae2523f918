/** Faults every few seconds: hosts die and pause, endpoints fail and leave.
 * @module */

import type * as runtime from "../../src/runtime/mod.ts";
import type * as faults from "../../standins/faults.ts";
import type * as audit from "./audit.ts";
import * as fleets from "./fleet.ts";
import * as sites from "./site.ts";

/** What chaos needs. */
export interface Options {
  site: sites.Site;
  random: runtime.Random;
  clock: runtime.Clock;
  /** Hosts that may be killed. */
  mortal: readonly string[];
  /** Hosts that may be paused; none when absent. */
  pausable?: readonly string[];
  /** Whether endpoints fail too. */
  endpoints: boolean;
  /** Least and most milliseconds between two faults. */
  interval: readonly [number, number];
}

type Action = (chaos: Chaos) => Promise<void>;

/** Milliseconds that a killed host stays away, and that a pause lasts. */
const ABSENCE: readonly [number, number] = [500, 3_000];
const PAUSE: readonly [number, number] = [1_000, 5_000];
/** Milliseconds that a fault of an endpoint lasts. */
const FAULT: readonly [number, number] = [1_000, 5_000];
/** Milliseconds in which a host that came back may still break what it had. */
const AFTERMATH = 2_000;
/** Share of calls that a fault hits. */
const SHARE = 0.5;

const FAULTS: readonly faults.FaultName[] = [
  "slow",
  "hang",
  "crossed",
  "late",
  "drop",
  "refuse",
  "silent",
];

/** Makes faults until it is stopped. */
export class Chaos {
  /** Faults made, by name. */
  readonly counts: Record<string, number> = {};
  /** Times in which hosts were away, by base URL. */
  readonly disturbances: audit.Disturbance[] = [];
  readonly #options: Options;
  readonly #underWay = new Set<Promise<void>>();
  readonly #failures: unknown[] = [];
  #hostAway = false;
  #stopped = false;

  constructor(options: Options) {
    this.#options = options;
  }

  /** Makes faults; resolves when all is mended after `stop`. */
  async run(): Promise<void> {
    const { interval } = this.#options;
    while (!this.#stopped) {
      await fleets.pause(this.#between(interval));
      if (!this.#stopped) this.#begin();
    }
    await Promise.all(this.#underWay);
    if (this.#failures.length > 0) throw this.#failures[0];
  }

  /** Makes no more faults. */
  stop(): void {
    this.#stopped = true;
  }

  #begin(): void {
    const names = this.#names();
    const name = names[this.#options.random.below(names.length)];
    this.counts[name] = (this.counts[name] ?? 0) + 1;
    const done = actions[name](this)
      .catch((error) => void this.#failures.push(error))
      .finally(() => this.#underWay.delete(done));
    this.#underWay.add(done);
  }

  /** Actions that may begin now; at most one host is away at a time. */
  #names(): string[] {
    const { endpoints, pausable = [] } = this.#options;
    const names = endpoints ? [...FAULTS, "leave"] : [];
    if (this.#hostAway) return names.length > 0 ? names : ["rest"];
    // Hosts are hit about as often as endpoints.
    const weight = endpoints ? FAULTS.length / 2 : 1;
    for (let count = 0; count < weight; count++) {
      names.push("kill");
      if (pausable.length > 0) names.push("pause");
    }
    return names;
  }

  /** Kills a host, and starts it again. */
  async kill(): Promise<void> {
    const { site: { fleet }, mortal } = this.#options;
    await this.#away(this.#pick(mortal), async (host) => {
      await fleet.kill(host);
      await fleets.pause(this.#between(ABSENCE));
      await fleet.start(host);
    });
  }

  /** Stops a host for a while, as a full machine does. */
  async pause(): Promise<void> {
    const { site: { fleet }, pausable = [] } = this.#options;
    await this.#away(this.#pick(pausable), async (host) => {
      fleet.daemon(host).signal("SIGSTOP");
      await fleets.pause(this.#between(PAUSE));
      fleet.daemon(host).signal("SIGCONT");
    });
  }

  /** Lets an endpoint leave, and come back. */
  async leave(): Promise<void> {
    const { standIns } = this.#options.site;
    const { id: endpoint } = this.#pick(standIns.select());
    sites.tell(`leave ${endpoint}`);
    await standIns.leave({ endpoint });
    await fleets.pause(this.#between(FAULT));
    await standIns.rejoin({ endpoint });
  }

  /** Switches a fault of an endpoint on for a while. */
  fault(type: faults.FaultName): Promise<void> {
    const { standIns } = this.#options.site;
    const { id: endpoint } = this.#pick(standIns.select());
    const time = this.#between(FAULT);
    sites.tell(`${type} ${endpoint}`);
    standIns.fault({ type, share: SHARE, for: time }, { endpoint });
    return Promise.resolve();
  }

  async #away(
    host: string,
    act: (host: string) => Promise<void>,
  ): Promise<void> {
    const { site, clock } = this.#options;
    const disturbance = {
      host: site.fleet.callersUrl(host),
      from: clock.now(),
      to: Infinity,
    };
    this.disturbances.push(disturbance);
    this.#hostAway = true;
    sites.tell(`${host} goes`);
    await act(host);
    sites.tell(`${host} is back`);
    this.#hostAway = false;
    disturbance.to = clock.now() + AFTERMATH;
  }

  #pick<T>(from: readonly T[]): T {
    return from[this.#options.random.below(from.length)];
  }

  #between([least, most]: readonly [number, number]): number {
    return least + this.#options.random.next() * (most - least);
  }
}

const actions: Readonly<Record<string, Action>> = {
  kill: (chaos) => chaos.kill(),
  pause: (chaos) => chaos.pause(),
  leave: (chaos) => chaos.leave(),
  rest: () => Promise.resolve(),
  ...Object.fromEntries(
    FAULTS.map((type): [string, Action] => [
      type,
      (chaos) => chaos.fault(type),
    ]),
  ),
};
