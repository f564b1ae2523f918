/** Connections of one host to endpoints: directly where possible, else through
 * another host that reaches the endpoint.
 *
 * A connection carries the bytes of a call unchanged on either path, so limits
 * of time, retries, cancellation and the verification of answers are the same.
 * Paths are raced before anything is sent, so choosing one is no retry.
 * @module */

import * as net from "node:net";
import type * as undici from "undici";
import * as connector from "../endpoint_calls/connector.ts";
import type * as connections from "../endpoint_calls/connections.ts";
import type * as peers from "../peers/mod.ts";
import * as unresponsiveHosts from "../peers/unresponsive_hosts.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as race from "./connection_race.ts";
import * as errors from "./errors.ts";
import * as pathTables from "./path_table.ts";
import * as tunnelClient from "./tunnel_client.ts";

/** Time in which a connection opens on some path; TCP sends a lost SYN again
 * after one second. */
const CONNECT_TIMEOUT_MS = 700;
/** Time that the direct path is given before another host is asked, as RFC 8305
 * recommends. */
const DIRECT_PATIENCE_MS = 250;
/** Time that one host is given before the next is asked. */
const RELAY_PATIENCE_MS = 150;
/** Hosts asked for one connection. */
const MAX_RELAYS = 4;
/** Interval at which paths that do not work are tried again. */
const PROBE_INTERVAL_MS = 500;
/** Endpoints probed at once. */
const MAX_PROBES = 4;
/** Delay of TCP keep-alive, as undici's own connections have it. */
const TCP_KEEP_ALIVE_MS = 60_000;
/** Size of a socket's read buffer, as undici's own connections have it. */
const SOCKET_BUFFER_BYTES = 64 * 1024;

/** Dependencies of the paths of a host. */
export interface EndpointPathsOptions {
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly dataCentre: string;
  /** Other hosts that are ready to serve. */
  hosts(): readonly Pick<schema.EntryHost, "host" | "dataCentre">[];
  /** How to dial a host; undefined if it is unknown. */
  dialAddress(host: string): peers.DialAddress | undefined;
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
  readonly #unresponsive: unresponsiveHosts.UnresponsiveHosts;
  readonly #tunnels = new Map<net.Socket, Tunnel>();
  readonly #relays = new Map<string, string>();
  #isPartitioned = false;
  #isProbing = false;
  #probeCount = 0;
  #isClosed = false;

  private constructor(options: EndpointPathsOptions) {
    this.#options = options;
    this.#unresponsive = unresponsiveHosts.UnresponsiveHosts.create(
      options.clock,
    );
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
    return this.#table.epochOf(endpoint);
  }

  isSilent(endpoint: string, openedAt: number): boolean {
    const now = this.#options.clock.now();
    return this.#table.isSilent(endpoint, openedAt, now);
  }

  suspect(endpoint: string): void {
    this.#table.recordSuspicion(endpoint);
  }

  forget(endpoint: string): void {
    this.#table.forget(endpoint);
    this.#relays.delete(endpoint);
  }

  /** Whether an endpoint is reached directly, so that this host may connect
   * other hosts to it. */
  isDirect(endpoint: string): boolean {
    return this.#table.pathTo(endpoint) === "direct";
  }

  /** Host that last relayed calls to an endpoint; undefined if it is reached
   * directly. */
  relayOf(endpoint: string): string | undefined {
    return this.isDirect(endpoint) ? undefined : this.#relays.get(endpoint);
  }

  /** Whether other endpoints have sent something since a time on the kind of path
   * that leads to this one. */
  hasHeardOthers(endpoint: string, since: number): boolean {
    return this.#table.hasHeardOthers(endpoint, since);
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

  async #open(endpoint: string): Promise<net.Socket> {
    const path = this.#table.pathTo(endpoint);
    if (path === "none") {
      throw new errors.RelayError(`No path leads to ${endpoint}`);
    }
    const { socket, relay } = await this.#race(endpoint, path);
    this.#watch(socket, { endpoint, relay });
    connector.prepare(socket);
    return socket;
  }

  /** Opens a connection and records which path it took. */
  async #race(
    endpoint: string,
    preferred: "direct" | "relayed",
  ): Promise<{ socket: net.Socket; relay?: string }> {
    const { clock } = this.#options;
    const direct = this.#directCandidate(endpoint);
    const relays = this.#relayCandidates(endpoint);
    const candidates = preferred === "direct"
      ? [direct, ...relays]
      : [...relays, direct];
    try {
      const { candidate, socket } = await race.race({
        clock,
        candidates,
        timeout: CONNECT_TIMEOUT_MS,
        onFailure: ({ name }) => {
          if (name !== DIRECT) this.#unresponsive.add(name);
        },
      });
      const relay = candidate === direct ? undefined : candidate.name;
      this.#record(endpoint, relay === undefined ? "direct" : "relayed", relay);
      return { socket, relay };
    } catch (error) {
      this.#record(endpoint, "none", `${error}`);
      throw error;
    }
  }

  #directCandidate(endpoint: string): race.Candidate {
    return {
      name: DIRECT,
      patience: DIRECT_PATIENCE_MS,
      open: (callback) => openDirect(endpoint, callback),
    };
  }

  /** Hosts to ask in order: those that answer before others, near before far, in
   * random order otherwise, so that the load spreads. */
  #relayCandidates(endpoint: string): race.Candidate[] {
    const { hosts, dataCentre, random, dialAddress } = this.#options;
    const ranked = hosts()
      .map((each) => ({
        ...each,
        rank: (this.#unresponsive.has(each.host) ? 2 : 0) +
          (each.dataCentre === dataCentre ? 0 : 1) + random.next(),
      }))
      .sort((a, b) => a.rank - b.rank);
    return ranked.slice(0, MAX_RELAYS).flatMap(({ host }) => {
      const address = dialAddress(host);
      if (address === undefined) return [];
      return {
        name: host,
        patience: RELAY_PATIENCE_MS,
        open: (callback: race.AttemptCallback) =>
          tunnelClient.open(address, endpoint, callback),
      };
    });
  }

  /** Records the path of a new connection; `detail` is the relay, or why there
   * is no path. */
  #record(endpoint: string, path: pathTables.Path, detail?: string): void {
    const { clock, logger, metrics } = this.#options;
    metrics.count("relay.connections", 1, { path });
    if (path === "relayed") this.#relays.set(endpoint, detail!);
    if (this.#table.recordConnection(endpoint, path, clock.now())) {
      logger.info(
        { address: endpoint, path, detail },
        "Path to endpoint changed",
      );
    }
    this.#recordPartition();
    this.#scheduleProbe();
  }

  #recordPartition(): void {
    const { logger, metrics } = this.#options;
    const { isPartitioned, detours } = this.#table;
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
    socket: net.Socket,
    { endpoint, relay }: { endpoint: string; relay?: string },
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

  /** Tries paths that do not work again: one endpoint's direct path shows whether
   * a partition of this host has ended. */
  #probe(): void {
    const { detours, isPartitioned } = this.#table;
    const count = isPartitioned ? 1 : MAX_PROBES;
    const relayed = detours.filter(({ path }) => path === "relayed");
    for (const { address } of this.#takeTurns(relayed, count)) {
      void this.#probeDirect(address);
    }
    const lost = detours.filter(({ path }) => path === "none");
    for (const { address } of this.#takeTurns(lost, MAX_PROBES)) {
      this.#race(address, isPartitioned ? "relayed" : "direct").then(
        ({ socket }) => socket.destroy(),
        () => {
          // Recorded by the race; the next probe tries again.
        },
      );
    }
    this.#probeCount++;
  }

  /** Up to `count` of the values, others each time. */
  #takeTurns<T>(values: readonly T[], count: number): T[] {
    const start = (this.#probeCount * count) % Math.max(1, values.length);
    return [...values.slice(start), ...values.slice(0, start)].slice(0, count);
  }

  async #probeDirect(endpoint: string): Promise<void> {
    const { clock, logger } = this.#options;
    try {
      const { socket } = await race.race({
        clock,
        candidates: [this.#directCandidate(endpoint)],
        timeout: PROBE_INTERVAL_MS,
      });
      socket.destroy();
      this.#record(endpoint, "direct");
    } catch (error) {
      logger.debug(
        { address: endpoint, err: error },
        "Direct path still fails",
      );
    }
  }
}

const DIRECT = "direct";
/** Port of an origin that names none. */
const DEFAULT_PORT = 80;

/** Opens a direct connection to an endpoint. */
function openDirect(
  endpoint: string,
  callback: race.AttemptCallback,
): runtime.Cancel {
  const [host, port] = endpoint.split(":");
  const socket = net.connect({
    host,
    port: Number(port),
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: TCP_KEEP_ALIVE_MS,
    highWaterMark: SOCKET_BUFFER_BYTES,
  } as net.NetConnectOpts);
  socket.once("connect", () => callback(undefined, socket));
  socket.on("error", (error) => callback(error));
  return () => socket.destroy();
}
