/** Transport between the hosts of the fleet: messages are sent in batches over
 * persistent connections, one per direction for each pair of hosts that
 * communicate.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as check from "../schema/check.ts";
import type * as schema from "../schema/peers_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as errors from "./errors.ts";
import type * as incarnations from "./incarnation.ts";
import * as link from "./link.ts";
import * as listener from "./listener.ts";
import * as handshake from "./handshake.ts";
import * as lenientDecode from "./lenient_decode.ts";

/** Interval between checks for silent and idle connections. */
const SWEEP_INTERVAL_MS = 250;

/** Address of another host. */
export interface Host {
  id: string;
  /** IP address. */
  address: string;
  port: number;
}

/** Looks up hosts by id. */
export interface Directory {
  get(id: string): Host | undefined;
  has(id: string): boolean;
}

/** Options of the transport. */
export interface PeersOptions {
  /** Id of this host, which is among `hosts`. */
  self: string;
  /** The hosts as a list, or as a directory that follows changes itself. */
  hosts: readonly Host[] | Directory;
  /** Fleet key; without it, any host that states a known id is admitted. */
  key?: string;
  /** Incarnation of this process, which it states to other hosts. */
  incarnation?: incarnations.Incarnation;
  /** Address to listen on; defaults to that of `self` in `hosts`. */
  listenAddress?: string;
  /** Validator of each channel; messages of other channels are dropped. */
  validators: Partial<Record<runtime.Channel, check.Validator>>;
  /** Names of lists in each channel's messages whose entries are independent:
   * an invalid entry is removed and the rest of the message is accepted. */
  entryLists?: Partial<Record<runtime.Channel, readonly string[]>>;
  clock: runtime.Clock;
  metrics?: telemetry.Metrics;
  logger?: telemetry.Logger;
  onEnvelope(envelope: runtime.Envelope): void;
  /** Serves a tunnel to another host; absent on hosts that serve none. */
  tunnels?: listener.Tunnels;
}

/** Where and with which headers another host is dialled. */
export interface DialAddress {
  readonly address: string;
  readonly port: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** Transport over WebSocket connections. */
export class Peers implements runtime.Transport {
  readonly #options: PeersOptions;
  readonly #metrics: telemetry.Metrics;
  readonly #logger: telemetry.Logger;
  readonly #links = new Map<string, link.Link>();
  #hosts: Directory;
  #listener?: listener.Listener;
  #cancel?: runtime.Cancel;
  #refusedCount = 0;
  #sweptAt = 0;

  private constructor(options: PeersOptions) {
    this.#options = options;
    this.#metrics = options.metrics ?? telemetry.noMetrics;
    this.#logger = options.logger ?? telemetry.noLogger;
    const { hosts } = options;
    this.#hosts = "get" in hosts ? hosts : indexById(hosts);
  }

  /** Creates a transport that neither listens nor dials yet. */
  static create(options: PeersOptions): Peers {
    return new Peers(options);
  }

  /** Port that the transport listens on; 0 before it does. */
  get port(): number {
    return this.#listener?.port ?? 0;
  }

  /** Starts listening; resolves once other hosts can connect. */
  async start(): Promise<void> {
    const { self, incarnation, listenAddress, tunnels } = this.#options;
    const own = this.#hosts.get(self);
    if (own === undefined) {
      throw new errors.PeerError(`Host ${self} is not in the list of hosts`);
    }
    this.#listener = await listener.listen({
      address: listenAddress ?? own.address,
      port: own.port,
      incarnation,
      logger: this.#logger,
      admit: (headers) => this.#admit(headers),
      metrics: this.#metrics,
      receive: (sender, batch) => this.#receive(sender, batch),
      acknowledged: ({ host, incarnation }, id) =>
        this.#links.get(host)?.acknowledge(id, incarnation),
      tunnels,
    });
    this.#sweptAt = this.#options.clock.now();
    this.#sweep();
  }

  /** Closes all connections and stops listening. */
  async stop(): Promise<void> {
    this.#cancel?.();
    for (const link of this.#links.values()) link.close();
    this.#links.clear();
    await this.#listener?.close();
    this.#listener = undefined;
  }

  /** Sends a message, dialling the host if necessary; drops messages to unknown
   * hosts. */
  send(envelope: runtime.Envelope): void {
    const { to, channel, toIncarnation } = envelope;
    if (to === this.#options.self) return this.#sendToSelf(envelope);
    const body = envelope.body as object;
    const link = this.#linkTo(to);
    if (link === undefined) return this.#countDropped("unknown-host");
    this.#metrics.count("peer.sent", 1, { channel });
    link.send({ channel, body }, toIncarnation);
  }

  /** How to dial another host; undefined if it is unknown. */
  dialAddress(id: string): DialAddress | undefined {
    const host = this.#hosts.get(id);
    if (host === undefined) return undefined;
    const headers = this.#headersFor(id);
    return { address: host.address, port: host.port, headers };
  }

  /** Replaces the connection to a host, which may be dead. */
  redial(host: string): void {
    this.#links.get(host)?.reconnect("redial");
  }

  /** Replaces the list of hosts; closes connections to hosts that were removed
   * or changed their address. */
  setHosts(hosts: readonly Host[]): void {
    const previous = this.#hosts;
    this.#hosts = indexById(hosts);
    for (const [id, link] of this.#links) {
      const [before, after] = [previous.get(id), this.#hosts.get(id)];
      if (before?.address === after?.address && before?.port === after?.port) {
        continue;
      }
      link.close();
      this.#links.delete(id);
    }
  }

  /** Returns the state for diagnostics. */
  dump(): unknown {
    const links = [...this.#links].map(([id, link]) => [id, link.dump()]);
    return {
      port: this.port,
      refused: this.#refusedCount,
      links: Object.fromEntries(links),
    };
  }

  #linkTo(id: string): link.Link | undefined {
    const known = this.#links.get(id);
    const host = this.#hosts.get(id);
    if (known !== undefined || host === undefined) return known;
    const { clock } = this.#options;
    const opened = link.Link.create({
      host: id,
      url: `ws://${urlHost(host.address)}:${host.port}`,
      headers: this.#headersFor(id),
      clock,
      metrics: this.#metrics,
      logger: this.#logger,
      takeAcknowledgement: (incarnation) =>
        this.#listener?.takeAcknowledgement({ host: id, incarnation }),
      onLoss: () => this.#listener?.repeatAcknowledgement(id),
    });
    this.#links.set(id, opened);
    return opened;
  }

  #headersFor(to: string): Record<string, string> {
    const { self: from } = this.#options;
    return handshake.headersFor({ from, to }, this.#options);
  }

  #admit(headers: handshake.Headers): string | undefined {
    const { self: to, key } = this.#options;
    const host = handshake.verify(headers, { to, key, hosts: this.#hosts });
    if (host !== undefined) {
      this.#links.get(host)?.reconnectNow();
      return host;
    }
    this.#refusedCount++;
    this.#metrics.count("peer.refused");
    return undefined;
  }

  #receive(
    { host: from, incarnation: fromIncarnation }: listener.Sender,
    batch: schema.Batch,
  ): void {
    const { self: to } = this.#options;
    for (const { channel: name, body } of batch) {
      const channel = name as runtime.Channel;
      if (!this.#validate({ from, channel, body })) {
        this.#countDropped("ill-formed");
        continue;
      }
      this.#metrics.count("peer.received", 1, { channel });
      this.#deliver({ from, fromIncarnation, to, channel, body });
    }
  }

  #validate(
    { from, channel, body }: Omit<runtime.Envelope, "to">,
  ): boolean {
    const { validators, entryLists = {} } = this.#options;
    const validate = validators[channel];
    if (validate === undefined) return false;
    const lists = entryLists[channel];
    const removed = lenientDecode.decode(body, { validate, lists });
    const reason = validate.errors?.[0];
    if (removed === undefined) {
      const fields = { peer: from, channel, path: reason?.instancePath };
      this.#logger.warn(fields, "Message does not match its schema; dropped");
      return false;
    }
    if (removed.length === 0) return true;
    for (const list of removed) {
      this.#metrics.count("peer.left_out", 1, { list });
    }
    const fields = { peer: from, channel, lists: [...new Set(removed)] };
    this.#logger.warn(
      { ...fields, count: removed.length },
      "Removed entries of a message that do not match its schema",
    );
    return true;
  }

  /** Delivers a message; a handler that throws must not prevent delivery of the
   * rest of the batch. */
  #deliver(envelope: runtime.Envelope): void {
    try {
      this.#options.onEnvelope(envelope);
    } catch (error) {
      const { from, channel } = envelope;
      this.#countDropped("failed");
      this.#logger.error(
        { peer: from, channel, error },
        "Handler of a message threw an error",
      );
    }
  }

  /** Delivers a message from this host to itself, after the current step. */
  #sendToSelf(envelope: runtime.Envelope): void {
    queueMicrotask(() => {
      if (this.#listener !== undefined) this.#deliver(envelope);
    });
  }

  #countDropped(reason: string): void {
    this.#metrics.count("peer.dropped", 1, { reason });
  }

  #sweep(): void {
    const now = this.#options.clock.now();
    const isLate = now - this.#sweptAt > 2 * SWEEP_INTERVAL_MS;
    this.#sweptAt = now;
    for (const [id, link] of this.#links) {
      if (link.tick(isLate)) continue;
      link.close();
      this.#links.delete(id);
    }
    this.#cancel = this.#options.clock.after(
      SWEEP_INTERVAL_MS,
      () => this.#sweep(),
    );
  }
}

function indexById(hosts: readonly Host[]): ReadonlyMap<string, Host> {
  return new Map(hosts.map((host) => [host.id, host]));
}

function urlHost(address: string): string {
  return address.includes(":") ? `[${address}]` : address;
}
