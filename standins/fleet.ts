/** All stand-ins of a deployment, with one ledger.
 * @module */

import * as runtime from "../src/runtime/mod.ts";
import * as announcer from "./announcer.ts";
import type * as deployments from "./deployments.ts";
import * as engine from "./engine.ts";
import type * as faults from "./faults.ts";
import * as ledger from "./ledger.ts";
import type * as orders from "./orders.ts";
import * as simple from "./simple.ts";
import type * as standIn from "./stand_in.ts";
import * as weightStore from "./weight_store.ts";

/** How a fleet of stand-ins is set up. */
export interface Options {
  deployment: deployments.Deployment;
  /** Base URLs of the hosts' callers' ports. */
  hosts: readonly string[];
  /** Endpoint token. */
  token?: string;
  clock?: runtime.Clock;
  /** Seed of all random numbers; 1 when absent. */
  seed?: number;
  /** Changes to the engines. */
  engine?: Pick<engine.Options, "speed" | "cacheBlocks" | "gaps" | "cacheLag">;
  /** Fencing of the engines; `checks` when absent. */
  fencing?: orders.Fencing;
  /** Changes to the pace of simple stand-ins, by service. */
  paces?: Readonly<Record<string, Partial<simple.Pace>>>;
}

/** Which stand-ins something is meant for; all when empty. */
export interface Selection {
  service?: string;
  endpoint?: string;
  dataCentre?: string;
  /** How many of them, the first ones. */
  first?: number;
}

/** A stand-in and what announces it. */
interface Member {
  standIn: standIn.StandIn;
  announcer: announcer.Announcer;
}

const WEIGHT_RATE = 2;
const WEIGHT_BURST = 4;
const GAPS = 0.02;

/** Stand-ins that start, announce themselves and stop together. */
export class Fleet {
  readonly ledger = new ledger.Ledger();
  readonly weights: weightStore.WeightStore;
  readonly #options: Options;
  readonly #clock: runtime.Clock;
  #members: Member[] = [];

  constructor(options: Options) {
    this.#options = options;
    this.#clock = options.clock ?? runtime.systemClock;
    this.weights = new weightStore.WeightStore({
      clock: this.#clock,
      rate: WEIGHT_RATE,
      burst: WEIGHT_BURST,
    });
  }

  /** The stand-ins of a selection. */
  select(selection: Selection = {}): standIn.StandIn[] {
    return this.#select(selection).map(({ standIn }) => standIn);
  }

  /** Starts all stand-ins and announces them. */
  async start(): Promise<void> {
    await this.weights.start();
    this.#members = this.#create();
    await Promise.all(this.#members.map(({ standIn }) => standIn.start()));
    await Promise.all(this.#members.map(({ announcer }) => announcer.start()));
  }

  /** Leaves and stops all. */
  async stop(): Promise<void> {
    await Promise.all(this.#members.map(async ({ standIn, announcer }) => {
      await announcer.leave();
      await standIn.stop();
    }));
    await this.weights.stop();
  }

  /** Switches a fault on. */
  fault(fault: faults.Fault, selection: Selection = {}): void {
    for (const standIn of this.select(selection)) standIn.fault(fault);
  }

  /** Switches all faults off. */
  clear(selection: Selection = {}): void {
    for (const standIn of this.select(selection)) standIn.clear();
  }

  /** Tells the hosts that the selected ones leave; they go on serving. */
  async leave(selection: Selection): Promise<void> {
    await Promise.all(
      this.#select(selection).map(({ announcer }) => announcer.leave()),
    );
  }

  /** Announces the selected ones anew, as after a restart. */
  async rejoin(selection: Selection): Promise<void> {
    const { length } = this.#members;
    await Promise.all(
      this.#select(selection).map(async (member) => {
        member.announcer.vanish();
        member.announcer = this.#member(member.standIn, length).announcer;
        await member.announcer.start();
      }),
    );
  }

  /** Ends the selected ones without a word. */
  async kill(selection: Selection): Promise<void> {
    await Promise.all(
      this.#select(selection).map(async ({ standIn, announcer }) => {
        announcer.vanish();
        await standIn.stop();
      }),
    );
  }

  #select({ service, endpoint, dataCentre, first }: Selection): Member[] {
    return this.#members.filter(({ standIn }) =>
      (service === undefined || standIn.service === service) &&
      (endpoint === undefined || standIn.id === endpoint) &&
      (dataCentre === undefined || standIn.dataCentre === dataCentre)
    ).slice(0, first);
  }

  #create(): Member[] {
    const { services, dataCentres } = this.#options.deployment;
    const members: Member[] = [];
    for (const service of services) {
      for (let pos = 0; pos < service.endpoints; pos++) {
        const seed = (this.#options.seed ?? 1) * 1000 + members.length;
        const standIn = this.#createOne(service, {
          id: `${service.name}-${pos + 1}`,
          service: service.name,
          dataCentre: dataCentres[pos % dataCentres.length],
          ledger: this.ledger,
          clock: this.#clock,
          seed,
        });
        members.push(this.#member(standIn, members.length));
      }
    }
    return members;
  }

  #createOne(
    { name, kind, model }: deployments.Service,
    options: standIn.Options,
  ): standIn.StandIn {
    const { engine: changes, fencing = "checks", paces } = this.#options;
    if (kind !== "engine") {
      return new simple.Simple({ ...options, kind, pace: paces?.[name] ?? {} });
    }
    return new engine.Engine({
      ...options,
      gaps: GAPS,
      ...changes,
      fencing,
      weights: this.weights.url,
      ...(model === undefined ? {} : { model }),
    });
  }

  #member(standIn: standIn.StandIn, first: number): Member {
    const { hosts, token } = this.#options;
    return {
      standIn,
      announcer: new announcer.Announcer({
        id: standIn.id,
        announcement: () => standIn.announcement(),
        hosts,
        ...(token === undefined ? {} : { token }),
        clock: this.#clock,
        first,
      }),
    };
  }
}
