/** Serves tunnels to other hosts of the fleet: connects to an endpoint and
 * forwards bytes in both directions. A tunnel never leads through another
 * tunnel.
 *
 * For an answer without a length, only an end of the endpoint's connection marks
 * it as complete, and not a reset. The end of this process looks like an end to the
 * other host, which therefore asks whether a tunnel has ended in order. A reset is
 * forwarded as an end that is not confirmed: forwarded as a reset, it would discard
 * bytes that are on their way, perhaps the rest of a whole answer. Only a host that
 * will not ask gets a reset.
 *
 * An end is no orderly one if bytes for the endpoint are left, or if a reset follows
 * before the other host closes its side, which it holds open for that.
 * @module */

import * as net from "node:net";
import * as connector from "../endpoint_calls/connector.ts";
import * as stoppedEndpoint from "../endpoint_calls/stopped_endpoint.ts";
import * as peers from "../peers/mod.ts";
import * as delays from "../runtime/delay.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as pathTables from "./path_table.ts";
import * as tunnelClient from "./tunnel_client.ts";

/** Most tunnels at a time. Each takes two descriptors and some buffers, which
 * this host's own callers need. */
const MAX_TUNNELS = 256;
/** Time in which an endpoint accepts a connection: less than the other host
 * waits, so that the refusal arrives in time. */
const CONNECT_TIMEOUT_MS = 500;

/** Time for which orderly ends are kept: the other host asks at once. */
const END_RETENTION_MS = 5000;

/** Time for which the other host may hold its side of a tunnel open behind an end:
 * it asks later than that only if its end is lost, and waits for a second. */
const CLOSE_TIMEOUT_MS = 500;

/** Time from the end of the last tunnel in which the other host may ask how it
 * ended: some round trips. */
const END_QUESTION_MS = 200;

/** Dependencies of a tunnel server. */
export interface TunnelServerOptions {
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  /** Path of this host to an endpoint; undefined if it does not know it. */
  pathTo(endpoint: string): pathTables.Path | undefined;
  /** A direct connection to an endpoint has failed. */
  onFailure(endpoint: string): void;
  /** Defaults to `stoppedEndpoint.hasStopped`. */
  hasStopped?(address: stoppedEndpoint.EndpointAddress): Promise<boolean>;
}

/** Status lines that refuse a tunnel. */
const REFUSALS = {
  stopping: "503 Stopping",
  full: "503 Too Many Tunnels",
  "no-path": "502 No Direct Path",
  unreachable: `${tunnelClient.UNREACHABLE_STATUS} Endpoint Unreachable`,
} as const;

type Refusal = keyof typeof REFUSALS;

/** How a tunnel has ended. */
interface TunnelEnd {
  readonly endpoint: stoppedEndpoint.EndpointAddress;
  /** Whether the endpoint's connection has ended in order. */
  readonly isInOrder: Promise<boolean>;
  /** Whether the end was noticed late, or this host has stood still since. */
  isLate(): boolean;
}

/** Tunnels that end at this host. */
export class TunnelServer implements peers.Tunnels {
  readonly #options: TunnelServerOptions;
  readonly #tunnels = new Set<net.Socket>();
  /** Tunnels that have ended lately without a reset, by their ids. */
  readonly #ended = new Map<string, TunnelEnd>();
  /** Questions how a tunnel has ended that are not answered yet. */
  #openQuestions = 0;
  #isStopping = false;
  #onEmpty = () => {};

  private constructor(options: TunnelServerOptions) {
    this.#options = options;
  }

  static create(options: TunnelServerOptions): TunnelServer {
    return new TunnelServer(options);
  }

  /** Tunnels that are open or being opened. */
  get count(): number {
    return this.#tunnels.size;
  }

  /** Serves a request for a tunnel, or refuses it. */
  accept(request: peers.TunnelRequest): void {
    // The stream that Node's server passes on is the connection's socket.
    const client = request.socket as net.Socket;
    client.on("error", () => client.destroy());
    const refusal = this.#refusalOf(request);
    if (refusal !== undefined) return this.#refuse(request, refusal);
    this.#connect(request, client);
  }

  /** Resolves with whether the endpoint's connection of a tunnel has ended in
   * order, and the endpoint has not stopped; false if the tunnel is not known, or
   * this process has stood still since. */
  async hasEnded(tunnel: string): Promise<boolean> {
    const end = this.#ended.get(tunnel);
    if (end === undefined) return false;
    const { hasStopped = stoppedEndpoint.hasStopped } = this.#options;
    this.#openQuestions++;
    try {
      // Another process may listen at the address once the end has settled.
      const stopped = hasStopped(end.endpoint);
      return await end.isInOrder && !await stopped && !end.isLate();
    } finally {
      this.#openQuestions--;
    }
  }

  /** Refuses new tunnels from now on. */
  drain(): void {
    this.#isStopping = true;
  }

  /** Resolves when all tunnels have ended, or after `timeout` milliseconds;
   * those that are left are reset. Waits a little longer for questions about
   * how tunnels have ended, and until they are answered, within the timeout. */
  async finish(timeout: number): Promise<void> {
    this.drain();
    const { clock, logger } = this.#options;
    const deadline = clock.now() + timeout;
    await new Promise<void>((resolve) => {
      if (this.count === 0) return resolve();
      const cancel = clock.after(timeout, resolve);
      this.#onEmpty = () => {
        cancel();
        resolve();
      };
    });
    if (this.count > 0) {
      logger.info({ tunnels: this.count }, "Tunnels reset at the host's stop");
    }
    for (const client of this.#tunnels) client.resetAndDestroy();
    const left = Math.min(END_QUESTION_MS, deadline - clock.now());
    if (this.#ended.size > 0 && left > 0) await delays.sleep(clock, left);
    await delays.until(clock, () => this.#openQuestions === 0, {
      timeout: deadline - clock.now(),
    });
  }

  #refusalOf({ endpoint }: peers.TunnelRequest): Refusal | undefined {
    if (this.#isStopping) return "stopping";
    if (this.count >= MAX_TUNNELS) return "full";
    const path = this.#options.pathTo(endpoint);
    if (path === "direct") return undefined;
    return path === "none" ? "unreachable" : "no-path";
  }

  #refuse(
    { from, endpoint, socket }: peers.TunnelRequest,
    reason: Refusal,
  ): void {
    const { logger, metrics } = this.#options;
    metrics.count("relay.served", 1, { result: reason });
    logger.info({ from, address: endpoint, reason }, "Tunnel refused");
    socket.end(`HTTP/1.1 ${REFUSALS[reason]}\r\nContent-Length: 0\r\n\r\n`);
  }

  #connect(request: peers.TunnelRequest, client: net.Socket): void {
    const { clock, logger, metrics } = this.#options;
    const { from, endpoint, tunnel } = request;
    const [host, port] = endpoint.split(":");
    const address = { host, port: Number(port) };
    this.#add(client);
    const upstream = net.connect({
      ...address,
      noDelay: true,
      allowHalfOpen: true,
    });
    const fail = () => {
      upstream.destroy();
      this.#options.onFailure(endpoint);
      if (client.writable) this.#refuse(request, "unreachable");
    };
    const cancel = clock.after(CONNECT_TIMEOUT_MS, fail);
    upstream.once("error", fail);
    const giveUp = () => {
      cancel();
      upstream.destroy();
    };
    client.once("close", giveUp);
    upstream.once("connect", () => {
      cancel();
      client.off("close", giveUp);
      upstream.off("error", fail);
      if (client.destroyed) return void upstream.destroy();
      metrics.count("relay.served", 1, { result: "open" });
      logger.info({ from, address: endpoint }, "Tunnel opened");
      client.write(headOf(tunnel));
      forward(client, upstream, {
        onEnd: () => {
          if (tunnel === undefined) return passEnd(client, upstream);
          this.#recordEnd(tunnel, {
            endpoint: address,
            isInOrder: this.#settle(client, upstream),
            isLate: connector.watchEnd(),
          });
          client.end();
        },
        onReset: () => endUnconfirmed(client, tunnel),
      });
    });
  }

  /** Resolves with whether the endpoint's connection of a tunnel has ended in order,
   * once the other host has closed its side; closes the connection. */
  async #settle(client: net.Socket, upstream: net.Socket): Promise<boolean> {
    const isSent = upstream.writableLength === 0;
    let left = 0;
    client.on("data", (part: Buffer) => void (left += part.length));
    client.resume();
    if (isSent) await this.#untilClosed(client, CLOSE_TIMEOUT_MS);
    const sentBytes = upstream.bytesWritten;
    // The other host writes its own probe behind the end.
    const isInOrder = isSent && left <= connector.PROBE.length &&
      await connector.isReceived(upstream, { sentBytes }) &&
      await connector.endsInOrder(upstream);
    upstream.destroy();
    return isInOrder;
  }

  #untilClosed(client: net.Socket, timeout: number): Promise<void> {
    return new Promise((resolve) => {
      const cancel = this.#options.clock.after(timeout, resolve);
      client.once("close", () => {
        cancel();
        resolve();
      });
    });
  }

  #recordEnd(tunnel: string, end: TunnelEnd): void {
    this.#ended.set(tunnel, end);
    this.#options.clock.after(
      END_RETENTION_MS,
      () => this.#ended.delete(tunnel),
    );
  }

  #add(client: net.Socket): void {
    const { metrics } = this.#options;
    this.#tunnels.add(client);
    metrics.gauge("relay.tunnels", this.count);
    client.once("close", () => {
      this.#tunnels.delete(client);
      metrics.gauge("relay.tunnels", this.count);
      if (this.count === 0) this.#onEmpty();
    });
  }
}

/** Head of the response to a request for a tunnel that is open. */
function headOf(tunnel: string | undefined): string {
  const line = tunnel === undefined
    ? ""
    : `${peers.TUNNEL_HEADER}: ${tunnel}\r\n`;
  return `HTTP/1.1 200 Connected\r\n${line}\r\n`;
}

/** Ends the connection to the other host after a reset of the endpoint's. */
function endUnconfirmed(client: net.Socket, tunnel: string | undefined): void {
  if (tunnel === undefined) client.resetAndDestroy();
  else client.end();
}

/** Passes the end of the endpoint's connection on to a host that does not ask how it
 * ended. */
function passEnd(client: net.Socket, upstream: net.Socket): void {
  client.resume();
  client.once("close", () => upstream.destroy());
  void connector.endsInOrder(upstream).then((isInOrder) => {
    upstream.destroy();
    if (isInOrder) client.end();
    else client.resetAndDestroy();
  });
}

/** Called once the endpoint's connection has ended and its bytes are forwarded; the
 * listener closes it. */
interface EndListener {
  /** In order, as far as its end shows it. */
  onEnd(): void;
  /** By a reset. */
  onReset(): void;
}

/** Forwards bytes until either side ends. The pipes pause a side while the other
 * does not read. */
function forward(
  client: net.Socket,
  upstream: net.Socket,
  { onEnd, onReset }: EndListener,
): void {
  client.setNoDelay(true);
  client.pipe(upstream, { end: false });
  upstream.pipe(client, { end: false });
  // The other host has given the call up: the endpoint is to see it.
  client.once("end", () => client.destroy());
  const close = () => void upstream.destroy();
  client.once("close", close);
  upstream.once("error", () => {
    client.unpipe(upstream);
    // Left over while the other host does not read.
    const rest = upstream.read();
    if (rest !== null && client.writable) client.write(rest);
    client.resume();
    onReset();
  });
  upstream.once("end", () => {
    client.unpipe(upstream);
    client.off("close", close);
    onEnd();
  });
}
