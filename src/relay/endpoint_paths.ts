/** Connections of one host to endpoints: directly where possible, else through
 * another host that reaches the endpoint.
 *
 * A connection carries the bytes of a call unchanged on either path, so limits
 * of time, retries, cancellation and the verification of answers are the same.
 * Paths are raced before anything is sent, so choosing one is no retry.
 * @module */

import type * as net from "node:net";
import type * as undici from "undici";
import * as connector from "../endpoint_calls/connector.ts";
import type * as connections from "../endpoint_calls/connections.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as connectionOpeners from "./connection_opener.ts";
import * as errors from "./errors.ts";
import * as pathTables from "./path_table.ts";

/** Interval at which paths that do not work are tried again. */
const PROBE_INTERVAL_MS = 500;
/** Probes of an endpoint without a path from one to the next that asks other
 * hosts too. */
const RELAY_PROBE_INTERVAL = 4;
/** Endpoints probed at once. */
const MAX_PROBES = 4;

/** Port of an origin that names none. */
const DEFAULT_PORT = 80;

/** Dependencies of the paths of a host. */
export interface EndpointPathsOptions
  extends connectionOpeners.ConnectionOpenerOptions {
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
}

/** An open tunnel. */
interface Tunnel {
  readonly endpoint: string;
  readonly relay: string;
}

/** Paths to endpoints, identified by IP address and port. */
export class EndpointPaths implements connections.ReusePolicy {
  readonly #options: EndpointPathsOptions;
  readonly #table = pathTables.PathTable.create();
  readonly #opener: connectionOpeners.ConnectionOpener;
  /** Addresses to which connections have been opened. */
  readonly #known = new Set<string>();
  /** Addresses whose paths are being checked. */
  readonly #checked = new Set<string>();
  readonly #tunnels = new Map<net.Socket, Tunnel>();
  readonly #relays = new Map<string, string>();
  #isPartitioned = false;
  #isProbing = false;
  #probeCount = 0;
  #isClosed = false;

  private constructor(options: EndpointPathsOptions) {
    this.#options = options;
    this.#opener = connectionOpeners.ConnectionOpener.create(options);
  }

  static create(options: EndpointPathsOptions): EndpointPaths {
    return new EndpointPaths(options);
  }

  /** Connector for undici. */
  get connect(): undici.buildConnector.connector {
    return ({ hostname, port }, callback) => {
      const endpoint = `${hostname}:${port || DEFAULT_PORT}`;
      this.#open(endpoint).then(
        (socket) => callback(null, socket),
        (error: Error) => callback(error, null),
      );
    };
  }

  epochOf(endpoint: string): string {
    return this.#table.epochOf(endpoint, this.#now);
  }

  isSilent(endpoint: string, openedAt: number): boolean {
    return this.#table.isSilent(endpoint, openedAt, this.#now);
  }

  suspect(endpoint: string): void {
    this.#table.recordSuspicion(endpoint);
  }

  forget(endpoint: string): void {
    this.#table.forget(endpoint);
    this.#known.delete(endpoint);
    this.#relays.delete(endpoint);
  }

  /** Path of new connections to an endpoint. */
  pathTo(endpoint: string): pathTables.Path {
    return this.#table.pathTo(endpoint, this.#now);
  }

  /** Whether an endpoint is reached directly. */
  isDirect(endpoint: string): boolean {
    return this.pathTo(endpoint) === "direct";
  }

  /** Finds out which path leads to an endpoint, after a direct connection has
   * failed that this host opened for another one. */
  check(endpoint: string): void {
    if (this.#checked.has(endpoint) || !this.isDirect(endpoint)) return;
    void this.#check(endpoint);
  }

  /** Host that last relayed calls to an endpoint; undefined if it is reached
   * directly. */
  relayOf(endpoint: string): string | undefined {
    return this.isDirect(endpoint) ? undefined : this.#relays.get(endpoint);
  }

  /** Whether other endpoints have sent something since a time on the kind of path
   * that leads to this one. */
  hasReceivedFromOthers(endpoint: string, since: number): boolean {
    return this.#table.hasReceivedFromOthers(endpoint, {
      since,
      now: this.#now,
    });
  }

  /** Applies a change of the hosts: calls no longer go through one that is not
   * ready. */
  update(): void {
    if (this.#tunnels.size === 0) return;
    const ready = new Set(this.#options.hosts().map(({ host }) => host));
    for (const { endpoint, relay } of this.#tunnels.values()) {
      if (!ready.has(relay)) this.#table.recordSuspicion(endpoint);
    }
  }

  /** Ends the probes. */
  close(): void {
    this.#isClosed = true;
  }

  /** State for diagnostics. */
  dump(): unknown {
    return {
      isPartitioned: this.#isPartitioned,
      detours: this.#table.detours,
      tunnels: [...this.#tunnels.values()],
    };
  }

  get #now(): number {
    return this.#options.clock.now();
  }

  async #open(endpoint: string): Promise<net.Socket> {
    this.#known.add(endpoint);
    const path = this.pathTo(endpoint);
    if (path === "none") {
      throw new errors.RelayError(`No path leads to ${endpoint}`);
    }
    const connection = await this.#openOn(endpoint, path);
    this.#watch(endpoint, connection);
    connector.prepare(connection.socket);
    return connection.socket;
  }

  /** Opens a connection and records which path it took. */
  async #openOn(
    endpoint: string,
    preferred: "direct" | "relayed",
  ): Promise<connectionOpeners.OpenConnection> {
    const { metrics } = this.#options;
    try {
      const connection = await this.#opener.open(endpoint, preferred);
      const { relay } = connection;
      const path = relay === undefined ? "direct" : "relayed";
      metrics.count("relay.connections", 1, { path });
      if (relay === undefined) this.#recordDirect(endpoint);
      else this.#recordRelay(endpoint, { relay, preferred });
      return connection;
    } catch (error) {
      metrics.count("relay.connections", 1, { path: "none" });
      const isChanged = this.#table.recordLoss(endpoint, this.#now);
      this.#recordPath(endpoint, { path: "none", isChanged, err: error });
      throw error;
    }
  }

  #recordDirect(endpoint: string): void {
    const isChanged = this.#table.recordDirectConnection(endpoint, this.#now);
    this.#recordPath(endpoint, { path: "direct", isChanged });
  }

  #recordRelay(
    endpoint: string,
    { relay, preferred }: { relay: string; preferred: "direct" | "relayed" },
  ): void {
    this.#relays.set(endpoint, relay);
    const isChanged = this.#table.recordRelayedConnection(endpoint, {
      isDirectTried: preferred === "direct",
      now: this.#now,
    });
    this.#recordPath(endpoint, { path: "relayed", isChanged, relay });
  }

  #recordPath(
    address: string,
    { isChanged, ...fields }: {
      path: pathTables.Path;
      isChanged: boolean;
      relay?: string;
      err?: unknown;
    },
  ): void {
    const { logger } = this.#options;
    if (isChanged) {
      logger.info({ address, ...fields }, "Path to endpoint changed");
    }
    this.#recordPartition();
    this.#scheduleProbe();
  }

  /** Logs the start and the end of a partition of this host. */
  #recordPartition(): void {
    const { logger, metrics } = this.#options;
    const { detours } = this.#table;
    const isPartitioned = this.#table.isPartitioned(this.#now);
    metrics.gauge("relay.detours", detours.length);
    if (isPartitioned === this.#isPartitioned) return;
    this.#isPartitioned = isPartitioned;
    logger.warn(
      { detours },
      isPartitioned
        ? "Host reaches no endpoint directly; calls are relayed"
        : "Host reaches endpoints directly again",
    );
  }

  /** Records what arrives on a connection. */
  #watch(
    endpoint: string,
    { socket, relay }: connectionOpeners.OpenConnection,
  ): void {
    const { clock } = this.#options;
    let receivedBytes = socket.bytesRead;
    socket.on("readable", () => {
      // The event also marks the end of the data.
      if (socket.bytesRead === receivedBytes) return;
      receivedBytes = socket.bytesRead;
      if (relay === undefined) this.#table.recordDirect(endpoint, clock.now());
      else this.#table.recordRelayed(endpoint, clock.now());
    });
    if (relay === undefined) return;
    this.#tunnels.set(socket, { endpoint, relay });
    socket.once("close", () => this.#tunnels.delete(socket));
  }

  #scheduleProbe(): void {
    if (this.#isProbing || this.#table.detours.length === 0) return;
    this.#isProbing = true;
    this.#options.clock.after(PROBE_INTERVAL_MS, () => {
      this.#isProbing = false;
      if (this.#isClosed) return;
      this.#probe();
      this.#scheduleProbe();
    });
  }

  /** Tries paths that do not work again. Any endpoint's direct path may show that
   * a partition of this host has ended. */
  #probe(): void {
    const { detours } = this.#table;
    this.#recordPartition();
    const lost = detours.filter(({ path }) => path === "none")
      .map(({ address }) => address);
    const relayed = this.#isPartitioned
      ? [...this.#known].filter((address) => !lost.includes(address))
      : detours.filter(({ path }) => path === "relayed")
        .map(({ address }) => address);
    for (const address of this.#takeTurns(relayed)) {
      void this.#probeDirect(address);
    }
    // A partition apart, an endpoint that no host reached is mostly down.
    const mayAskHosts = this.#isPartitioned ||
      this.#probeCount % RELAY_PROBE_INTERVAL === 0;
    for (const address of this.#takeTurns(lost)) {
      if (mayAskHosts) void this.#check(address);
      else void this.#probeDirect(address);
    }
    this.#probeCount++;
  }

  /** Some of the addresses, others each time. */
  #takeTurns(addresses: readonly string[]): string[] {
    const start = this.#probeCount * MAX_PROBES % Math.max(1, addresses.length);
    return [...addresses.slice(start), ...addresses.slice(0, start)]
      .slice(0, MAX_PROBES);
  }

  /** Opens a connection on any path, to record which one works. */
  async #check(endpoint: string): Promise<void> {
    const { logger } = this.#options;
    if (this.#checked.has(endpoint)) return;
    this.#checked.add(endpoint);
    const isPartitioned = this.#table.isPartitioned(this.#now);
    try {
      const { socket } = await this.#openOn(
        endpoint,
        isPartitioned ? "relayed" : "direct",
      );
      socket.destroy();
    } catch (error) {
      logger.debug({ address: endpoint, err: error }, "No path to endpoint");
    }
    this.#checked.delete(endpoint);
  }

  async #probeDirect(endpoint: string): Promise<void> {
    const { logger } = this.#options;
    try {
      const socket = await this.#opener.openDirect(endpoint, PROBE_INTERVAL_MS);
      socket.destroy();
      this.#recordDirect(endpoint);
    } catch (error) {
      logger.debug(
        { address: endpoint, err: error },
        "Direct path still fails",
      );
    }
  }
}
