/** Hosts, endpoints and the links between them, in virtual time.
 * @module */

import * as events from "node:events";
import type * as net from "node:net";
import * as relay from "../../src/relay/mod.ts";
import type * as runtime from "../../src/runtime/mod.ts";
import * as telemetry from "../../src/telemetry/mod.ts";

/** What a link does to connections. */
type Link = "open" | "hang" | "refuse";

/** Path that a call took, or should take. */
export type CallPath = "direct" | "relayed" | "none";
/** How a call ended: on which path, without a connection, or on one that was
 * dead. */
export type CallOutcome = CallPath | "dead";

/** Round trip on a link. */
const ROUND_TRIP_MS = 3;
/** How long an idle connection is kept. */
const KEEP_ALIVE_MS = 2000;
/** Time without an answer after which a call is given up. */
const IDLE_TIMEOUT_MS = 800;
/** Time after which other hosts know that a host is no longer ready. */
const MEMBERSHIP_MS = 1000;
/** Time in which a relaying host gives up a connection. */
const RELAY_TIMEOUT_MS = 500;

const DATA_CENTRES = ["one", "two", "three"];
const UNREACHABLE = new relay.EndpointUnreachableError("unreachable");

/** Size of a world, and its sources of time and chance. */
export interface WorldOptions {
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  readonly hosts: number;
  readonly endpoints: number;
  /** Whether hosts know each other as relays. */
  readonly hasRelays: boolean;
}

/** A connection's socket, as far as paths use it. */
class FakeSocket extends events.EventEmitter {
  bytesRead = 0;
  destroyed = false;

  receive(): void {
    this.bytesRead++;
    this.emit("readable");
  }

  /** Has no bytes but those that it counts. */
  read(): null {
    return null;
  }

  destroy(): void {
    if (this.destroyed) return;
    this.destroyed = true;
    this.emit("close");
  }
}

/** An open connection of a host. */
interface Connection {
  readonly socket: FakeSocket;
  /** Index of the host that connects to the endpoint. */
  readonly via: number;
  readonly epoch: string;
  readonly openedAt: number;
  usedAt: number;
  /** Incarnation of the endpoint. */
  readonly incarnation: number;
  isSilenced: boolean;
}

interface Host {
  readonly paths: relay.EndpointPaths;
  readonly links: Link[];
  readonly connections: (Connection | undefined)[];
  isRunning: boolean;
  stoppedAt: number;
}

interface Endpoint {
  isUp: boolean;
  incarnation: number;
}

/** A fleet and its endpoints; changed in place. */
export class World {
  readonly #options: WorldOptions;
  readonly #hosts: Host[];
  readonly #endpoints: Endpoint[];

  private constructor(options: WorldOptions) {
    this.#options = options;
    this.#endpoints = Array.from(
      { length: options.endpoints },
      () => ({ isUp: true, incarnation: 0 }),
    );
    this.#hosts = Array.from(
      { length: options.hosts },
      (_, host) => this.#createHost(host),
    );
  }

  static create(options: WorldOptions): World {
    return new World(options);
  }

  get endpointCount(): number {
    return this.#endpoints.length;
  }

  /** Indexes of all hosts. */
  get hosts(): number[] {
    return this.#hosts.map((_, host) => host);
  }

  isRunning(host: number): boolean {
    return this.#hosts[host].isRunning;
  }

  /** The path that a call should take once all views are settled. */
  expectedPath(host: number, endpoint: number): CallPath {
    if (this.#reaches(host, endpoint)) return "direct";
    const hasRelay = this.hosts.some((other) =>
      other !== host && this.#hosts[other].isRunning &&
      this.#reaches(other, endpoint)
    );
    return hasRelay ? "relayed" : "none";
  }

  /** Calls an endpoint. */
  async call(host: number, endpoint: number): Promise<CallOutcome> {
    const { clock } = this.#options;
    const { paths, connections } = this.#hosts[host];
    const address = addressOf(endpoint);
    let connection = connections[endpoint];
    const isUsable = connection !== undefined &&
      !connection.socket.destroyed &&
      clock.now() - connection.usedAt < KEEP_ALIVE_MS &&
      connection.epoch === paths.epochOf(address) &&
      !paths.isSilent(address, connection.openedAt);
    if (!isUsable) connection = await this.#connect(host, endpoint);
    if (connection === undefined) return "none";
    connection.usedAt = clock.now();
    const isBroken = connection.incarnation !==
      this.#endpoints[endpoint].incarnation;
    if (isBroken || connection.isSilenced) {
      if (!isBroken) await this.#wait(IDLE_TIMEOUT_MS);
      connection.socket.destroy();
      paths.suspect(address);
      return "dead";
    }
    const startedAt = clock.now();
    await this.#wait(ROUND_TRIP_MS);
    if (clock.now() > startedAt && !connection.isSilenced) {
      connection.socket.receive();
    }
    return connection.via === host ? "direct" : "relayed";
  }

  /** Changes one thing at random. */
  change(): void {
    const { random } = this.#options;
    const kinds = [
      () => this.#cutHosts(),
      () => this.#cutHosts(),
      () => this.#healAll(),
      () => this.#cutSomeLinks(),
      () => this.#toggleEndpoint(),
      () => this.#toggleHost(),
    ];
    kinds[random.below(kinds.length)]();
  }

  /** State for the message of a violation. */
  describe(): string {
    return JSON.stringify({
      links: this.#hosts.map(({ links }) => links.join(" ")),
      running: this.#hosts.map(({ isRunning }) => isRunning),
      up: this.#endpoints.map(({ isUp }) => isUp),
      paths: this.#hosts.map(({ paths }) => paths.dump()),
    });
  }

  #createHost(host: number): Host {
    const { clock, random } = this.#options;
    const paths = relay.EndpointPaths.create({
      clock,
      random,
      logger: telemetry.noLogger,
      metrics: telemetry.noMetrics,
      dataCentre: DATA_CENTRES[host % DATA_CENTRES.length],
      hosts: () => this.#relaysOf(host),
      dialer: {
        direct: (address, callback) =>
          this.#dial(
            host,
            { endpoint: indexOf(address), relay: host },
            callback,
          ),
        tunnel: ({ host: name, endpoint }, callback) =>
          this.#dial(
            host,
            { endpoint: indexOf(endpoint), relay: Number(name) },
            callback,
          ),
      },
    });
    return {
      paths,
      links: this.#endpoints.map(() => "open"),
      connections: this.#endpoints.map(() => undefined),
      isRunning: true,
      stoppedAt: -Infinity,
    };
  }

  #relaysOf(host: number): { host: string; dataCentre: string }[] {
    const { clock, hasRelays } = this.#options;
    if (!hasRelays) return [];
    return this.hosts
      .filter((other) => {
        const { isRunning, stoppedAt } = this.#hosts[other];
        return other !== host &&
          (isRunning || clock.now() - stoppedAt < MEMBERSHIP_MS);
      })
      .map((other) => ({
        host: `${other}`,
        dataCentre: DATA_CENTRES[other % DATA_CENTRES.length],
      }));
  }

  #reaches(host: number, endpoint: number): boolean {
    return this.#hosts[host].links[endpoint] === "open" &&
      this.#endpoints[endpoint].isUp;
  }

  /** Opens a connection through a host, which is the dialling one for a direct
   * connection. */
  #dial(
    host: number,
    { endpoint, relay: via }: { endpoint: number; relay: number },
    callback: (error: Error | undefined, socket?: net.Socket) => void,
  ): runtime.Cancel {
    const { clock } = this.#options;
    let isCancelled = false;
    const later = (delay: number, step: () => void) =>
      clock.after(delay, () => {
        if (!isCancelled) step();
      });
    later(ROUND_TRIP_MS, () => {
      const { isRunning, paths, links } = this.#hosts[via];
      const isTunnel = via !== host;
      if (!isRunning) return callback(new Error("host is down"));
      const path = paths.pathTo(addressOf(endpoint));
      if (isTunnel && path !== "direct") {
        return callback(path === "none" ? UNREACHABLE : new Error("no path"));
      }
      if (links[endpoint] === "hang") {
        if (!isTunnel) return;
        later(RELAY_TIMEOUT_MS, () => {
          paths.check(addressOf(endpoint));
          callback(UNREACHABLE);
        });
        return;
      }
      if (!this.#reaches(via, endpoint)) {
        if (isTunnel) paths.check(addressOf(endpoint));
        return callback(isTunnel ? UNREACHABLE : new Error("refused"));
      }
      const socket = new FakeSocket();
      Object.assign(socket, { via });
      callback(undefined, socket as unknown as net.Socket);
    });
    return () => {
      isCancelled = true;
    };
  }

  async #connect(
    host: number,
    endpoint: number,
  ): Promise<Connection | undefined> {
    const { clock } = this.#options;
    const { paths, connections } = this.#hosts[host];
    const address = addressOf(endpoint);
    const epoch = paths.epochOf(address);
    const [hostname, port] = address.split(":");
    const opened = await new Promise<FakeSocket | undefined>((resolve) => {
      paths.connect(
        { hostname, port, protocol: "http:", host: address },
        (_error, socket) =>
          resolve(socket as unknown as FakeSocket | undefined ?? undefined),
      );
    });
    if (opened === undefined) return undefined;
    const { via } = opened as FakeSocket & { via: number };
    connections[endpoint]?.socket.destroy();
    const connection = {
      socket: opened,
      via,
      epoch,
      openedAt: clock.now(),
      usedAt: clock.now(),
      incarnation: this.#endpoints[endpoint].incarnation,
      isSilenced: false,
    };
    connections[endpoint] = connection;
    return connection;
  }

  /** Cuts hosts off from all endpoints: up to half of them, or all. */
  #cutHosts(): void {
    const { random } = this.#options;
    const count = random.next() < 0.2
      ? this.#hosts.length
      : 1 + random.below(Math.ceil(this.#hosts.length / 2));
    const link: Link = random.next() < 0.6 ? "hang" : "refuse";
    const first = random.below(this.#hosts.length);
    for (let offset = 0; offset < count; offset++) {
      const host = (first + offset) % this.#hosts.length;
      this.#endpoints.forEach((_, endpoint) =>
        this.#setLink(host, endpoint, link)
      );
    }
  }

  #healAll(): void {
    for (const { links } of this.#hosts) links.fill("open");
  }

  /** Cuts single links. */
  #cutSomeLinks(): void {
    const { random } = this.#options;
    for (const host of this.hosts) {
      this.#endpoints.forEach((_, endpoint) => {
        const link: Link = random.next() < 0.7 ? "open" : "hang";
        this.#setLink(host, endpoint, link);
      });
    }
  }

  #setLink(host: number, endpoint: number, link: Link): void {
    this.#hosts[host].links[endpoint] = link;
    if (link !== "hang") return;
    for (const { connections } of this.#hosts) {
      const connection = connections[endpoint];
      if (connection?.via === host) connection.isSilenced = true;
    }
  }

  #toggleEndpoint(): void {
    const { random } = this.#options;
    const endpoint = this.#endpoints[random.below(this.#endpoints.length)];
    endpoint.isUp = !endpoint.isUp;
    endpoint.incarnation++;
  }

  /** Stops a host, or starts it. */
  #toggleHost(): void {
    const { random, clock } = this.#options;
    const index = random.below(this.#hosts.length);
    const host = this.#hosts[index];
    if (!host.isRunning) {
      this.#hosts[index] = { ...this.#createHost(index), links: host.links };
      return;
    }
    host.isRunning = false;
    host.stoppedAt = clock.now();
    host.paths.close();
    for (const { connections } of this.#hosts) {
      for (const connection of connections) {
        if (connection?.via === index) connection.socket.destroy();
      }
    }
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) =>
      void this.#options.clock.after(ms, () => resolve())
    );
  }
}

const ADDRESS_PREFIX = "10.0.0.";
const PORT = 8000;

function addressOf(endpoint: number): string {
  return `${ADDRESS_PREFIX}${endpoint}:${PORT}`;
}

function indexOf(address: string): number {
  return Number(address.slice(ADDRESS_PREFIX.length).split(":")[0]);
}
