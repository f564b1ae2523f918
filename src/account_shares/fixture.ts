/** Entry hosts and control hosts that share accounts, in virtual time, for
 * tests.
 * @module */

import type * as peers from "../peers/mod.ts";
import * as rendezvous from "../routing/rendezvous.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as accountShares from "./account_shares.ts";
import type * as admissions from "./admission.ts";
import * as coordinators from "./coordinator.ts";

/** The only service. */
export const SERVICE = "s";

/** Requests per second by account. */
export type Demand = Readonly<Record<string, number>>;

/** Requests of one account that were admitted, served and refused. */
export interface Tally {
  served: number;
  denied: number;
  readonly waits: number[];
}

/** Size of a fleet. */
export interface FleetOptions {
  readonly hosts?: number;
  /** Control hosts, the coordinator of the service first. */
  readonly cores?: number;
  /** Requests per second that the service serves. */
  readonly capacity?: number;
}

interface Core {
  coordinator: coordinators.ShareCoordinator;
  /** `old` hosts do not know the question. */
  state: "sound" | "lost" | "old";
}

const STEP_MS = 10;
const HELLO_MS = 400;
const SYNC_MS = 600;

/** A fleet before a service that denies what exceeds its capacity. Mutable. */
export class Fleet {
  readonly clock = new runtime.FakeClock();
  readonly hosts: readonly accountShares.AccountShares[];
  /** Control hosts in the order in which they coordinate the service. */
  readonly cores: readonly Core[];
  /** Questions by the number of the host that sent them. */
  readonly questions: { host: number; question: schema.SharesQuestion }[] = [];
  capacity: number;
  /** Names of the control hosts in that order. */
  readonly names: readonly string[];
  readonly #due = new Map<string, number>();
  #room = 0;
  #nextHost = 0;

  private constructor({ hosts = 4, cores = 3, capacity = 100 }: FleetOptions) {
    this.capacity = capacity;
    this.names = rendezvous.rank(
      SERVICE,
      Array.from({ length: cores }, (_, number) => `core-${number}`),
    );
    this.cores = this.names.map((self) => ({
      coordinator: this.#createCoordinator(self),
      state: "sound",
    }));
    this.hosts = Array.from(
      { length: hosts },
      (_, host) =>
        accountShares.AccountShares.create({
          ...this.#context,
          random: runtime.createRandom(host),
          calls: { ask: (to, question) => this.#answer(host, to, question) },
          controlHosts: () => this.names,
        }),
    );
    this.#repeat(HELLO_MS, () => this.#greet());
    this.#repeat(SYNC_MS, () => this.#sync());
  }

  static create(options: FleetOptions = {}): Fleet {
    return new Fleet(options);
  }

  /** Restarts a control host, which forgets everything. */
  restart(position: number): void {
    this.cores[position].coordinator = this.#createCoordinator(
      this.names[position],
    );
    this.cores[position].state = "sound";
  }

  /** Sends requests at even intervals for some time, to the hosts in turn or to
   * some of them; returns what each account got. */
  async run(
    ms: number,
    demand: Demand,
    { hosts = this.hosts.map((_, host) => host) }: {
      hosts?: readonly number[];
    } = {},
  ): Promise<Record<string, Tally>> {
    const tallies: Record<string, Tally> = {};
    for (const account of Object.keys(demand)) {
      tallies[account] = { served: 0, denied: 0, waits: [] };
    }
    for (let elapsed = 0; elapsed < ms; elapsed += STEP_MS) {
      this.clock.advance(STEP_MS);
      await new Promise(setImmediate);
      const gained = this.capacity * STEP_MS / 1000;
      // A queue of 0.2 s.
      this.#room = Math.min(0.2 * this.capacity, this.#room + gained);
      for (const [account, rate] of Object.entries(demand)) {
        const due = (this.#due.get(account) ?? 0) + rate * STEP_MS / 1000;
        this.#due.set(account, due % 1);
        for (let count = Math.floor(due); count > 0; count--) {
          const host = hosts[this.#nextHost++ % hosts.length];
          this.#send(host, account, tallies[account]);
        }
      }
    }
    return tallies;
  }

  /** Admits one request of an account on a host. */
  admit(
    host: number,
    change: Partial<admissions.ShareRequest> = {},
  ): admissions.ShareAdmission {
    return this.hosts[host].admit({
      service: SERVICE,
      rank: 0,
      cost: 1,
      priorWait: 0,
      ...change,
    });
  }

  get #context() {
    return {
      clock: this.clock,
      logger: telemetry.noLogger,
      metrics: telemetry.noMetrics,
    };
  }

  #createCoordinator(self: string): coordinators.ShareCoordinator {
    return coordinators.ShareCoordinator.create({ ...this.#context, self });
  }

  #repeat(interval: number, callback: () => void): void {
    this.clock.after(interval, () => {
      callback();
      this.#repeat(interval, callback);
    });
  }

  #send(host: number, account: string, tally: Tally): void {
    const admission = this.admit(host, { account });
    if (admission.type === "refused") {
      tally.waits.push(admission.wait);
      return;
    }
    const isServed = this.#room >= 1;
    if (isServed) this.#room--;
    tally[isServed ? "served" : "denied"]++;
    admission.charge.end(isServed ? "served" : "denied");
  }

  #answer(
    host: number,
    to: string,
    question: schema.Question,
  ): ReturnType<peers.Rpc["ask"]> {
    const { coordinator, state } = this.cores[this.names.indexOf(to)];
    if (state === "lost" || question.type !== "shares") {
      return Promise.reject(new Error("no answer"));
    }
    if (state === "old") {
      return Promise.resolve({ type: "failed", reason: "not-served" });
    }
    this.questions.push({ host, question });
    return Promise.resolve(coordinator.answer(question, `host-${host}`));
  }

  #greet(): void {
    for (const [position, { coordinator, state }] of this.cores.entries()) {
      if (state !== "sound") continue;
      coordinator.tick();
      for (const other of this.cores) {
        if (other.coordinator === coordinator || other.state !== "sound") {
          continue;
        }
        other.coordinator.merge(coordinator.watched, this.names[position]);
      }
    }
  }

  #sync(): void {
    const source = this.cores.findLast(({ state }) => state === "sound");
    if (source === undefined) return;
    this.hosts.forEach((host) =>
      host.setContended(source.coordinator.contended)
    );
  }
}
