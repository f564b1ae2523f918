/** A fleet of hosts in one process, connected over loopback sockets and driven
 * by one fake clock, for tests.
 * @module */

import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as tcpProxy from "../peers/tcp_proxy.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/settings_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as node from "./node.ts";

/** Step of the fake clock; the sockets are served between two steps. */
const CLOCK_STEP_MS = 5;

interface Dump {
  peers: { port: number };
}

/** Dump assumed for a host that is not running. */
const STOPPED_HOST_DUMP: Dump = { peers: { port: 1 } };

/** Options of a local fleet. */
export interface Options {
  /** Ids of the voters. */
  voters: readonly string[];
  /** Ids of further hosts. */
  others?: readonly string[];
  settings?: Partial<schema.Settings>;
  /** Overrides of host settings, by host id. */
  hosts?: Readonly<Record<string, Partial<schema.Host>>>;
  /** Called after each step of the clock. */
  onAdvance?(): void;
}

/** The running hosts of a fleet. */
export class LocalFleet {
  readonly clock = new runtime.FakeClock();
  readonly hosts = new Map<string, node.Node>();
  readonly #folder = fs.mkdtempSync(path.join(os.tmpdir(), "chicoryloft-"));
  readonly #options: Options;
  /** Proxies between hosts, by the id of the dialing host, then of the target. */
  readonly #proxies = new Map<string, Map<string, tcpProxy.TcpProxy>>();

  private constructor(options: Options) {
    this.#options = options;
  }

  /** Starts all hosts and waits until they are ready. */
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

  /** Returns a running host by its id. */
  get(id: string): node.Node {
    return this.hosts.get(id)!;
  }

  /** Advances the clock until `done` returns true. */
  async advanceUntil(done: () => boolean): Promise<void> {
    while (!done()) {
      this.clock.advance(CLOCK_STEP_MS);
      this.#options.onAdvance?.();
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
  }

  /** Advances the clock until `promise` is settled, and returns its value. */
  async advanceUntilSettled<T>(promise: Promise<T>): Promise<T> {
    let done = false;
    const settled = Promise.allSettled([promise]).then(() => done = true);
    await this.advanceUntil(() => done);
    await settled;
    return await promise;
  }

  /** Closes all connections between a host and the others permanently. */
  async isolate(id: string): Promise<void> {
    for (const [from, proxiesByTarget] of this.#proxies) {
      for (const [to, proxy] of proxiesByTarget) {
        if (from === id || to === id) await proxy.close();
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
    for (const proxiesByTarget of this.#proxies.values()) {
      for (const proxy of proxiesByTarget.values()) await proxy.close();
    }
    fs.rmSync(this.#folder, { recursive: true });
  }

  /** Port on which a host listens for its peers. */
  #portOf(id: string): number {
    const { peers } = this.hosts.get(id)?.dump() as Dump | undefined ??
      STOPPED_HOST_DUMP;
    return peers.port;
  }

  async #settingsOf(
    id: string,
    hosts: readonly schema.Host[],
  ): Promise<schema.Settings> {
    const proxiesByTarget = new Map<string, tcpProxy.TcpProxy>();
    this.#proxies.set(id, proxiesByTarget);
    for (const { id: to } of hosts) {
      if (to === id) continue;
      proxiesByTarget.set(
        to,
        await tcpProxy.TcpProxy.create(() => this.#portOf(to)),
      );
    }
    const [first, ...rest] = hosts.map((host) => {
      return { ...host, port: proxiesByTarget.get(host.id)?.port ?? host.port };
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
