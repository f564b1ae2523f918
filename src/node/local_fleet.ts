/** Hosts of one fleet in one process, over loopback sockets and on one clock
 * that is moved by hand, for tests.
 * @module */

import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as relays from "../peers/tcp_proxy.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/settings_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as node from "./node.ts";

/** Milliseconds of the clock between two looks at the sockets. */
const STEP = 5;

interface Dump {
  peers: { port: number };
}

/** What stands for the dump of a host that does not run. */
const NONE: Dump = { peers: { port: 1 } };

/** What the hosts of a local fleet are made from. */
export interface Options {
  /** Ids of the hosts that vote. */
  voters: readonly string[];
  /** Ids of further hosts. */
  others?: readonly string[];
  settings?: Partial<schema.Settings>;
  /** Changes to hosts of the list. */
  hosts?: Readonly<Record<string, Partial<schema.Host>>>;
  /** Called each time that the clock has moved. */
  onAdvance?(): void;
}

/** Hosts that run. */
export class LocalFleet {
  readonly clock = new runtime.FakeClock();
  readonly hosts = new Map<string, node.Node>();
  readonly #folder = fs.mkdtempSync(path.join(os.tmpdir(), "chicoryloft-"));
  readonly #options: Options;
  /** Relays in front of each host, by the host that dials. */
  readonly #relays = new Map<string, Map<string, relays.TcpProxy>>();

  private constructor(options: Options) {
    this.#options = options;
  }

  /** Starts all hosts and waits until they serve callers. */
  static async start(options: Options): Promise<LocalFleet> {
    const fleet = new LocalFleet(options);
    try {
      await fleet.#start();
    } catch (error) {
      await fleet.stop();
      throw error;
    }
    return fleet;
  }

  async #start(): Promise<void> {
    const { voters, others = [] } = this.#options;
    const hosts = [...voters, ...others].map((id) => hostOf(id, this.#options));
    for (const { id } of hosts) {
      const started = node.Node.start({
        settings: await this.#settingsOf(id, hosts),
        clock: this.clock,
        random: runtime.createRandom(this.hosts.size + 1),
        logger: telemetry.noLogger,
        environment: {},
      });
      this.hosts.set(id, await this.advanceUntilSettled(started));
    }
    const ready = [...this.hosts.values()].map((host) => host.ready);
    await this.advanceUntilSettled(Promise.all(ready));
  }

  /** A host that runs. */
  get(id: string): node.Node {
    return this.hosts.get(id)!;
  }

  /** Lets time pass until `done`. */
  async advanceUntil(done: () => boolean): Promise<void> {
    while (!done()) {
      this.clock.advance(STEP);
      this.#options.onAdvance?.();
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
  }

  /** Lets time pass until `promise` is settled. */
  async advanceUntilSettled<T>(promise: Promise<T>): Promise<T> {
    let done = false;
    const settled = Promise.allSettled([promise]).then(() => done = true);
    await this.advanceUntil(() => done);
    await settled;
    return await promise;
  }

  /** Cuts a host off from all others for good. */
  async isolate(id: string): Promise<void> {
    for (const [from, dialled] of this.#relays) {
      for (const [to, relay] of dialled) {
        if (from === id || to === id) await relay.close();
      }
    }
  }

  /** Stops all hosts and removes their folders. */
  async stop(): Promise<void> {
    const hosts = [...this.hosts.values()];
    this.hosts.clear();
    await this.advanceUntilSettled(
      Promise.all(hosts.map((host) => host.stop())),
    );
    for (const dialled of this.#relays.values()) {
      for (const relay of dialled.values()) await relay.close();
    }
    fs.rmSync(this.#folder, { recursive: true });
  }

  /** Port that a host listens on for others. */
  #portOf(id: string): number {
    const { peers } = this.hosts.get(id)?.dump() as Dump | undefined ?? NONE;
    return peers.port;
  }

  async #settingsOf(
    id: string,
    hosts: readonly schema.Host[],
  ): Promise<schema.Settings> {
    const dialled = new Map<string, relays.TcpProxy>();
    this.#relays.set(id, dialled);
    for (const { id: to } of hosts) {
      if (to === id) continue;
      dialled.set(to, await relays.TcpProxy.create(() => this.#portOf(to)));
    }
    const [first, ...rest] = hosts.map((host) => {
      return { ...host, port: dialled.get(host.id)?.port ?? host.port };
    });
    const { voters, settings } = this.#options;
    return {
      host: id,
      folder: voters.includes(id) ? path.join(this.#folder, id) : undefined,
      fleet: { hosts: [first, ...rest] },
      listen: { callers: { port: 0 }, operators: { port: 0 } },
      services: [{ name: "billing", kind: "plain" }],
      pipelines: [],
      ...settings,
    };
  }
}

function hostOf(id: string, { voters, hosts }: Options): schema.Host {
  const place = { dataCentre: "hall", address: "127.0.0.1", port: 0 };
  return { id, ...place, voter: voters.includes(id), ...hosts?.[id] };
}
