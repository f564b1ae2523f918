/** Hosts with control planes in one process and on a fake clock, for tests.
 * @module */

import * as runtime from "../../runtime/mod.ts";
import * as storage from "../../storage/mod.ts";
import * as telemetry from "../../telemetry/mod.ts";
import * as control from "./mod.ts";

/** Ids of the voters. */
export const VOTERS: readonly string[] = ["a", "b", "c"];
/** Ids of all hosts of the default fleet. */
export const HOSTS: readonly string[] = [...VOTERS, "d", "e", "f"];

/** Hosts and observers of a fleet. */
export interface Options {
  hosts?: readonly string[];
  observers?: readonly string[];
}

const INITIAL_CELL = {
  row: "account/seed",
  column: "weight" as const,
  version: 0,
  value: 5,
};

/** Hosts on a fake network with a latency of 1 ms. */
export class FakeFleet {
  readonly clock = new runtime.FakeClock();
  readonly hosts = new Map<string, control.Control>();
  readonly isolated = new Set<string>();
  /** Results of `catchUp` by host. */
  readonly caughtUp = new Map<string, Promise<boolean>>();
  readonly #disks = new Map(
    VOTERS.map((id) => [id, storage.MemoryStorage.create()]),
  );
  /** Log lines of all hosts. */
  readonly lines: Record<string, unknown>[] = [];
  /** Hosts to which each host has sent watch messages. */
  readonly watchTargets = new Map<string, Set<string>>();
  readonly #cutLinks = new Set<string>();
  readonly #observers: readonly string[];
  #incarnation = 1;

  private constructor(observers: readonly string[]) {
    this.#observers = observers;
  }

  /** Starts all hosts and waits until they have the table. */
  static async start(
    { hosts = HOSTS, observers = [] }: Options = {},
  ): Promise<FakeFleet> {
    const fleet = new FakeFleet(observers);
    for (const id of hosts) await fleet.startHost(id);
    await fleet.run(2_000);
    return fleet;
  }

  /** Starts a host; a voter starts from its disk. */
  async startHost(
    self: string,
    incarnation = this.#incarnation++,
  ): Promise<void> {
    const host = control.Control.create({
      self,
      incarnation,
      voters: VOTERS,
      observers: this.#observers,
      clock: this.clock,
      random: runtime.createRandom(this.#incarnation),
      transport: {
        send: (envelope) => this.#send(envelope),
        redial: () => {},
      },
      storage: this.#disks.get(self),
      metrics: telemetry.noMetrics,
      logger: telemetry.createLogger({
        host: self,
        destination: { write: (line) => this.lines.push(JSON.parse(line)) },
      }),
      initialEdits: [{
        operation: "first",
        actor: "planner",
        changes: [INITIAL_CELL],
      }],
      onFailure: (failure) => {
        throw failure;
      },
    });
    this.hosts.set(self, host);
    await host.start();
    this.caughtUp.set(self, host.catchUp());
  }

  /** Stops a host as a kill of its process does: without notice to others and
   * with a crash of its disk. */
  kill(id: string): void {
    this.hosts.get(id)!.stop();
    this.hosts.delete(id);
    const disk = this.#disks.get(id);
    if (disk !== undefined) this.#disks.set(id, disk.crash());
  }

  /** Replaces the disk of a killed host by an empty one. */
  wipeDisk(id: string): void {
    this.#disks.set(id, storage.MemoryStorage.create());
  }

  /** Host that holds the leader lease of the log. */
  get leader(): string {
    return [...this.hosts].find(([, host]) => host.leaseHeld())![0];
  }

  /** Revision of the table at each host. */
  revisions(): number[] {
    return [...this.hosts.values()].map((host) => host.view().revision);
  }

  /** Advances the clock by `ms` milliseconds; pending disk writes complete
   * after each one. */
  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed++) {
      this.clock.advance(1);
      await flushPromises();
    }
  }

  /** Drops all messages between two hosts from now on. */
  cutLink(one: string, other: string): void {
    this.#cutLinks.add(linkKey(one, other));
  }

  /** Advances the clock until `promise` has settled. */
  async runUntil<T>(promise: Promise<T>): Promise<T> {
    let done = false;
    void promise.finally(() => done = true);
    while (!done) await this.run(10);
    return promise;
  }

  #send(envelope: runtime.Envelope): void {
    const { from, to, channel } = envelope;
    if (channel === "watch" && from !== to) {
      const known = this.watchTargets.get(from) ?? new Set();
      this.watchTargets.set(from, known.add(to));
    }
    this.clock.after(1, () => {
      if (from !== to && (this.isolated.has(from) || this.isolated.has(to))) {
        return;
      }
      if (this.#cutLinks.has(linkKey(from, to))) return;
      this.hosts.get(to)?.receive(envelope);
    });
  }
}

function linkKey(one: string, other: string): string {
  return [one, other].sort().join(" ");
}

async function flushPromises(): Promise<void> {
  for (let turn = 0; turn < 4; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
