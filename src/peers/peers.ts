/** The transport between the system's hosts: messages go out in batches over
 * lasting connections, one for each direction of each pair that talks.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as check from "../schema/check.ts";
import type * as schema from "../schema/peers_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as errors from "./errors.ts";
import * as link from "./link.ts";
import * as listener from "./listener.ts";
import * as handshake from "./handshake.ts";
import * as lenientDecode from "./lenient_decode.ts";

/** Milliseconds between looks for silent and idle connections. */
const SWEEP = 250;

/** Where another host is dialled. */
export interface Host {
  id: string;
  /** IP number. */
  address: string;
  port: number;
}

/** Where hosts are found by their ids. */
export interface Directory {
  get(id: string): Host | undefined;
  has(id: string): boolean;
}

/** What the transport needs. */
export interface PeersOptions {
  /** This host; it is among `hosts`. */
  self: string;
  /** A list, or a directory where hosts come and go without one. */
  hosts: readonly Host[] | Directory;
  /** Fleet key; without one any host of the list's names is admitted. */
  key?: string;
  /** Address to listen on; that of `self` in `hosts` when absent. */
  listenAddress?: string;
  /** Validator of each channel; messages of other channels are dropped. */
  validators: Partial<Record<runtime.Channel, check.Validator>>;
  /** Lists of each channel's messages whose entries stand by themselves: one
   * that can't be read is left out, the others hold. */
  entryLists?: Partial<Record<runtime.Channel, readonly string[]>>;
  clock: runtime.Clock;
  metrics?: telemetry.Metrics;
  logger?: telemetry.Logger;
  onEnvelope(envelope: runtime.Envelope): void;
}

/** Transport over websockets. */
export class Peers implements runtime.Transport {
  readonly #options: PeersOptions;
  readonly #metrics: telemetry.Metrics;
  readonly #logger: telemetry.Logger;
  readonly #links = new Map<string, link.Link>();
  #hosts: Directory;
  #listener?: listener.Listener;
  #cancel?: runtime.Cancel;
  #refused = 0;
  #sweptAt = 0;

  private constructor(options: PeersOptions) {
    this.#options = options;
    this.#metrics = options.metrics ?? telemetry.noMetrics;
    this.#logger = options.logger ?? telemetry.noLogger;
    const { hosts } = options;
    this.#hosts = "get" in hosts ? hosts : byId(hosts);
  }

  /** A transport that neither listens nor dials yet. */
  static create(options: PeersOptions): Peers {
    return new Peers(options);
  }

  /** Port that it listens on; 0 before it does. */
  get port(): number {
    return this.#listener?.port ?? 0;
  }

  /** Listens; resolves once other hosts can connect. */
  async start(): Promise<void> {
    const { self, listenAddress } = this.#options;
    const own = this.#hosts.get(self);
    if (own === undefined) {
      throw new errors.PeerError(`Host ${self} is not in the list of hosts`);
    }
    this.#listener = await listener.listen({
      address: listenAddress ?? own.address,
      port: own.port,
      logger: this.#logger,
      admit: (headers) => this.#admit(headers),
      receive: (host, batch) => this.#receive(host, batch),
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

  /** Sends, dialling if need be; drops what has nowhere to go. */
  send(envelope: runtime.Envelope): void {
    const { to, channel } = envelope;
    if (to === this.#options.self) return this.#loop(envelope);
    const body = envelope.body as object;
    const link = this.#linkTo(to);
    if (link === undefined) return this.#drop("unknown-host");
    this.#metrics.count("peer.sent", 1, { channel });
    link.send({ channel, body });
  }

  /** Exchanges the connection to `host`, which may be dead. */
  redial(host: string): void {
    this.#links.get(host)?.reconnect("redial");
  }

  /** Follows a change of the fleet: connections to other addresses end. */
  setHosts(hosts: readonly Host[]): void {
    const former = this.#hosts;
    this.#hosts = byId(hosts);
    for (const [id, link] of this.#links) {
      const [was, is] = [former.get(id), this.#hosts.get(id)];
      if (was?.address === is?.address && was?.port === is?.port) continue;
      link.close();
      this.#links.delete(id);
    }
  }

  /** State for people. */
  dump(): unknown {
    const links = [...this.#links].map(([id, link]) => [id, link.dump()]);
    return {
      port: this.port,
      refused: this.#refused,
      links: Object.fromEntries(links),
    };
  }

  #linkTo(id: string): link.Link | undefined {
    const known = this.#links.get(id);
    const host = this.#hosts.get(id);
    if (known !== undefined || host === undefined) return known;
    const { self, key, clock } = this.#options;
    const opened = link.Link.create({
      host: id,
      url: `ws://${inUrl(host.address)}:${host.port}`,
      headers: handshake.headersFor({ from: self, to: id }, key),
      clock,
      metrics: this.#metrics,
      logger: this.#logger,
    });
    this.#links.set(id, opened);
    return opened;
  }

  #admit(headers: handshake.Headers): string | undefined {
    const { self: to, key } = this.#options;
    const host = handshake.verify(headers, { to, key, hosts: this.#hosts });
    if (host !== undefined) {
      this.#links.get(host)?.reconnectNow();
      return host;
    }
    this.#refused++;
    this.#metrics.count("peer.refused");
    return undefined;
  }

  #receive(from: string, batch: schema.Batch): void {
    const { self: to } = this.#options;
    for (const { channel: name, body } of batch) {
      const channel = name as runtime.Channel;
      if (!this.#isReadable({ from, channel, body })) {
        this.#drop("ill-formed");
        continue;
      }
      this.#metrics.count("peer.received", 1, { channel });
      this.#hand({ from, to, channel, body });
    }
  }

  #isReadable(
    { from, channel, body }: Omit<runtime.Envelope, "to">,
  ): boolean {
    const { validators, entryLists = {} } = this.#options;
    const validate = validators[channel];
    if (validate === undefined) return false;
    const lists = entryLists[channel];
    const leftOut = lenientDecode.decode(body, { validate, lists });
    const reason = validate.errors?.[0];
    if (leftOut === undefined) {
      const about = { peer: from, channel, path: reason?.instancePath };
      this.#logger.warn(about, "Message could not be read");
      return false;
    }
    if (leftOut.length === 0) return true;
    for (const list of leftOut) {
      this.#metrics.count("peer.left_out", 1, { list });
    }
    const about = { peer: from, channel, lists: [...new Set(leftOut)] };
    this.#logger.warn(
      { ...about, count: leftOut.length },
      "Entries of a message could not be read",
    );
    return true;
  }

  /** One message that fails must not lose the others of its batch. */
  #hand(envelope: runtime.Envelope): void {
    try {
      this.#options.onEnvelope(envelope);
    } catch (error) {
      const { from, channel } = envelope;
      this.#drop("failed");
      this.#logger.error({ peer: from, channel, error }, "Message failed");
    }
  }

  /** Hands a message to this host itself, after the present step. */
  #loop(envelope: runtime.Envelope): void {
    queueMicrotask(() => {
      if (this.#listener !== undefined) this.#hand(envelope);
    });
  }

  #drop(reason: string): void {
    this.#metrics.count("peer.dropped", 1, { reason });
  }

  #sweep(): void {
    const now = this.#options.clock.now();
    const late = now - this.#sweptAt > 2 * SWEEP;
    this.#sweptAt = now;
    for (const [id, link] of this.#links) {
      if (link.tick(late)) continue;
      link.close();
      this.#links.delete(id);
    }
    this.#cancel = this.#options.clock.after(SWEEP, () => this.#sweep());
  }
}

function byId(hosts: readonly Host[]): ReadonlyMap<string, Host> {
  return new Map(hosts.map((host) => [host.id, host]));
}

function inUrl(address: string): string {
  return address.includes(":") ? `[${address}]` : address;
}
