/** Drawn floods of client accounts, hosts that are lost, cut off, started again
 * or of the previous release, in virtual time, against the modules that keep
 * shares, as they are. Checked is what each account gets in any three seconds.
 * @module */

import * as accountShares from "../../src/account_shares/mod.ts";
import * as runtime from "../../src/runtime/mod.ts";
import type * as schema from "../../src/schema/fleet_types.ts";
import * as telemetry from "../../src/telemetry/mod.ts";
import * as networks from "../fuzz_world/network.ts";
import * as judges from "./judge.ts";
import * as schedules from "./schedule.ts";
import * as services from "./service.ts";

export type { Seen } from "./judge.ts";

/** What is played. */
export interface Options {
  readonly seed: number;
  /** Entry hosts; drawn when absent. */
  readonly entries?: number;
  /** A way to break the rule, to show that it is noticed. */
  readonly breakage?: "admits-all";
  readonly logger?: telemetry.Logger;
}

const SERVICE = "service";
const SYNC_MS = 600;
const HELLO_MS = 400;
/** What callers have left for a request. */
const DEADLINE_MS = 9000;
const MAX_REPEATS = 3;
/** Least part of its declared cost that a prompt takes after correction. */
const MIN_CORRECTION = 0.6;

interface Core {
  readonly name: string;
  readonly isOld: boolean;
  coordinator: accountShares.ShareCoordinator;
}

interface Entry {
  readonly name: string;
  readonly isOld: boolean;
  client: accountShares.AccountShares;
}

interface Request {
  readonly account: schedules.Account;
  readonly declared: number;
  /** Cost as it is known after admission. */
  readonly cost: number;
  readonly attempts: number;
  readonly event: judges.Event;
}

/** Plays a schedule; throws a `Violation`. */
export async function runSchedule(options: Options): Promise<judges.Seen> {
  return await new World(options).play();
}

class World {
  readonly #options: Options;
  readonly #clock = new runtime.FakeClock();
  readonly #random: runtime.Random;
  readonly #network: networks.Network;
  readonly #schedule: schedules.Schedule;
  readonly #service: services.Service;
  readonly #cores: Core[];
  readonly #entries: Entry[];
  readonly #requests: judges.Event[] = [];
  readonly #refusals: { at: number; wait: number }[] = [];
  readonly #unsound: { from: number; to: number }[] = [];
  #deniedCount = 0;
  #firstDeniedAt = Infinity;

  constructor(options: Options) {
    this.#options = options;
    const random = runtime.createMixedRandom(options.seed);
    this.#random = random;
    this.#network = new networks.Network(this.#clock, random);
    this.#schedule = schedules.draw(random, options);
    const { entries, cores, oldEntries, oldCores } = this.#schedule;
    this.#service = new services.Service({
      clock: this.#clock,
      slots: this.#schedule.slots,
      slotRate: this.#schedule.slotRate,
      maxQueue: this.#schedule.maxQueue,
    });
    this.#cores = Array.from({ length: cores }, (_, number) => ({
      name: `core-${number}`,
      isOld: number < oldCores,
      coordinator: undefined!,
    }));
    this.#entries = Array.from({ length: entries }, (_, number) => ({
      name: `entry-${number}`,
      isOld: number < oldEntries,
      client: undefined!,
    }));
  }

  async play(): Promise<judges.Seen> {
    this.#cores.forEach((core) => {
      this.#startCore(core);
      this.#after(this.#random.next() * HELLO_MS, () => this.#greet(core));
    });
    this.#entries.forEach((entry) => {
      this.#after(this.#random.next() * SYNC_MS, () => {
        this.#startEntry(entry);
        this.#sync(entry);
      });
    });
    const { accounts, capacityChanges, disturbances } = this.#schedule;
    accounts.forEach((account) => this.#after(1000, () => this.#ask(account)));
    for (const { at, slots } of capacityChanges) {
      this.#after(at, () => this.#service.slots = slots);
    }
    for (const each of disturbances) {
      this.#after(each.at, () => this.#disturb(each));
    }
    const end = schedules.LENGTH_MS + DEADLINE_MS;
    while (this.#clock.now() < end && this.#clock.step()) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    return judges.judge({
      seed: this.#options.seed,
      schedule: this.#schedule,
      requests: this.#requests,
      refusals: this.#refusals,
      deniedCount: this.#deniedCount,
      firstDeniedAt: this.#firstDeniedAt,
      unsound: this.#unsound,
    });
  }

  #after(delay: number, callback: () => void): void {
    this.#clock.after(delay, callback);
  }

  #common(name: string) {
    const prefix = { host: name };
    const { logger = telemetry.noLogger } = this.#options;
    return {
      clock: this.#clock,
      random: this.#random,
      logger: {
        ...logger,
        info: (fields: object, message: string) =>
          logger.info(
            { at: this.#clock.now(), ...prefix, ...fields },
            message,
          ),
      },
      metrics: telemetry.noMetrics,
      calls: this.#network.callsOf(name),
    };
  }

  #startCore(core: Core): void {
    const coordinator = accountShares.ShareCoordinator.create({
      ...this.#common(core.name),
      self: core.name,
    });
    core.coordinator = coordinator;
    this.#network.join(core.name, {
      answer: (question, from): schema.Reply =>
        question.type === "shares" && !core.isOld
          ? coordinator.answer(question, from)
          : { type: "failed", reason: "not-served" },
      hear(notice, from) {
        if (notice.type !== "hello" || core.isOld) return;
        coordinator.merge(notice.contended ?? [], from);
      },
    });
  }

  #greet(core: Core): void {
    const { watched } = core.coordinator;
    core.coordinator.tick();
    const hello = {
      type: "hello" as const,
      dataCentre: "",
      cores: [],
      hosts: [],
      ...(watched.length > 0 && { contended: watched }),
    };
    const calls = this.#network.callsOf(core.name);
    for (const { name } of this.#cores) {
      if (name !== core.name) calls.cast(name, hello);
    }
    this.#after(HELLO_MS, () => this.#greet(core));
  }

  #startEntry(entry: Entry): void {
    entry.client?.stop();
    entry.client = accountShares.AccountShares.create({
      ...this.#common(entry.name),
      controlHosts: () => this.#cores.map(({ name }) => name),
    });
    this.#network.join(entry.name, {
      answer: () => ({ type: "failed", reason: "not-served" }),
      hear() {},
    });
  }

  #sync(entry: Entry): void {
    const core = this.#cores[this.#random.below(this.#cores.length)];
    const isCut = [entry.name, core.name].some((name) =>
      this.#network.isCut(name)
    );
    if (!isCut) {
      entry.client.setContended(core.isOld ? [] : core.coordinator.contended);
    }
    this.#after(SYNC_MS, () => this.#sync(entry));
  }

  #disturb(
    { length, isCore, isRestart }: schedules.Schedule["disturbances"][number],
  ): void {
    const hosts = isCore ? this.#cores : this.#entries;
    const host = hosts[this.#random.below(hosts.length)];
    const from = this.#clock.now();
    this.#unsound.push({ from, to: from + (isRestart ? 0 : length) });
    if (!isRestart) {
      this.#network.setCut(host.name, true);
      this.#after(length, () => this.#network.setCut(host.name, false));
    } else if (isCore) this.#startCore(host as Core);
    else if ((host as Entry).client) this.#startEntry(host as Entry);
  }

  /** Sends a request of an account and schedules its next one. */
  #ask(account: schedules.Account): void {
    const { floodAt = Infinity, minCost, maxCost } = this.#schedule;
    const now = this.#clock.now();
    const declared = minCost + this.#random.next() * (maxCost - minCost);
    const cost = declared * this.#drawCorrection();
    const mean = (minCost + maxCost) / 2;
    const rate = now < floodAt ? account.before : account.during;
    if (now >= schedules.LENGTH_MS) return;
    const event = { at: now, account: account.name, cost };
    this.#requests.push(event);
    this.#send({ account, declared, cost, event, attempts: 0 });
    const pause = -Math.log(1 - this.#random.next()) * 1000 * mean / rate;
    this.#after(pause, () => this.#ask(account));
  }

  #send(request: Request): void {
    const { account, declared, event, attempts } = request;
    const entry = this.#entries[this.#random.below(this.#entries.length)];
    if (entry.client === undefined) return;
    const isOpen = entry.isOld || this.#options.breakage === "admits-all";
    if (isOpen) return this.#run(request);
    const admission = entry.client.admit({
      service: SERVICE,
      rank: account.rank,
      account: account.name,
      cost: declared,
      priorWait: attempts > 0 ? this.#clock.now() - event.at : 0,
    });
    if (admission.type === "admitted") {
      return this.#run(request, admission.charge);
    }
    this.#refusals.push({ at: this.#clock.now(), wait: admission.wait });
    this.#retry(request, admission.wait);
  }

  #run(request: Request, charge?: accountShares.Charge): void {
    const { declared, cost, event } = request;
    if (cost !== declared) charge?.correct(cost);
    this.#service.run(cost, (outcome) => {
      charge?.end(outcome);
      if (outcome !== "denied") {
        event.answeredAt = this.#clock.now();
        return;
      }
      this.#deniedCount++;
      const { floodAt = Infinity } = this.#schedule;
      if (this.#clock.now() >= floodAt) {
        this.#firstDeniedAt = Math.min(this.#firstDeniedAt, this.#clock.now());
      }
      this.#retry(request, 500 + this.#random.next() * 500);
    });
  }

  /** Cost of a request relative to its declared cost. Calls cost what they
   * declare. */
  #drawCorrection(): number {
    const { minCost, maxCost } = this.#schedule;
    if (minCost === maxCost) return 1;
    return MIN_CORRECTION + this.#random.next() * (1 - MIN_CORRECTION);
  }

  #retry(request: Request, wait: number): void {
    const { account: { manner }, attempts, event } = request;
    const next = { ...request, attempts: attempts + 1 };
    const left = DEADLINE_MS - (this.#clock.now() - event.at);
    if (manner === "returns" && wait <= left / 3) {
      this.#after(wait, () => this.#send(next));
    } else if (manner === "repeats" && attempts < MAX_REPEATS) {
      this.#after(1, () => this.#send(next));
    }
  }
}
