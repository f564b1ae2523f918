/** Hosts with control in one process, on virtual time, for tests.
 * @module */

import * as runtime from "../../runtime/mod.ts";
import * as storage from "../../storage/mod.ts";
import * as telemetry from "../../telemetry/mod.ts";
import * as control from "./mod.ts";

/** Hosts that vote. */
export const VOTERS: readonly string[] = ["a", "b", "c"];
/** All hosts of the usual fleet. */
export const HOSTS: readonly string[] = [...VOTERS, "d", "e", "f"];

/** Which hosts a fleet has beside its voters. */
export interface Options {
  hosts?: readonly string[];
  observers?: readonly string[];
}

const SEED = {
  row: "account/seed",
  column: "weight" as const,
  version: 0,
  value: 5,
};

/** Hosts whose messages take a millisecond. */
export class FakeFleet {
  readonly clock = new runtime.FakeClock();
  readonly hosts = new Map<string, control.Control>();
  readonly isolated = new Set<string>();
  /** Whether each host found a quorum when it started. */
  readonly caughtUp = new Map<string, Promise<boolean>>();
  readonly #disks = new Map(
    VOTERS.map((id) => [id, storage.MemoryStorage.create()]),
  );
  /** Lines of the logs of all hosts. */
  readonly lines: Record<string, unknown>[] = [];
  /** Hosts that each host has sent watch messages to. */
  readonly watchTargets = new Map<string, Set<string>>();
  readonly #links = new Set<string>();
  readonly #observers: readonly string[];
  #incarnation = 1;

  private constructor(observers: readonly string[]) {
    this.#observers = observers;
  }

  /** Starts all hosts, and waits until they have the table. */
  static async start(
    { hosts = HOSTS, observers = [] }: Options = {},
  ): Promise<FakeFleet> {
    const fleet = new FakeFleet(observers);
    for (const id of hosts) await fleet.startHost(id);
    await fleet.run(2_000);
    return fleet;
  }

  /** Starts a host, on its disk if it votes. */
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
      initialEdits: [{ operation: "first", actor: "planner", changes: [SEED] }],
      onFailure: (failure) => {
        throw failure;
      },
    });
    this.hosts.set(self, host);
    await host.start();
    this.caughtUp.set(self, host.catchUp());
  }

  /** Stops a host without a word, as a kill does. */
  kill(id: string): void {
    this.hosts.get(id)!.stop();
    this.hosts.delete(id);
    const disk = this.#disks.get(id);
    if (disk !== undefined) this.#disks.set(id, disk.crash());
  }

  /** Takes the disk of a killed host away. */
  wipeDisk(id: string): void {
    this.#disks.set(id, storage.MemoryStorage.create());
  }

  /** Host that leads the log. */
  get leader(): string {
    return [...this.hosts].find(([, host]) => host.leaseHeld())![0];
  }

  /** Revision in force at each host. */
  revisions(): number[] {
    return [...this.hosts.values()].map((host) => host.view().revision);
  }

  /** Lets time pass; disks write between the milliseconds. */
  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed++) {
      this.clock.advance(1);
      await settle();
    }
  }

  /** Cuts the link between two hosts. */
  cutLink(one: string, other: string): void {
    this.#links.add(linkOf(one, other));
  }

  /** Waits for `promise` while time passes. */
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
      if (this.#links.has(linkOf(from, to))) return;
      this.hosts.get(to)?.receive(envelope);
    });
  }
}

function linkOf(one: string, other: string): string {
  return [one, other].sort().join(" ");
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 4; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
