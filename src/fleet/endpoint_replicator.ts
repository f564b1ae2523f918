/** How hosts with disks tell each other of endpoints: a change at once, what
 * was heard in batches, and changes of the last seconds once more, so that a
 * host which could not be reached learns them from any other.
 * @module */

import type * as endpoints from "../endpoints/mod.ts";
import type * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as rosterCodec from "./roster_codec.ts";

/** Milliseconds in which another host notes a change. */
const TIMEOUT = 600;
/** Milliseconds for which changes are told again. */
const AGAIN = 3000;
/** Milliseconds between tellings of everything: repairs whatever was lost. */
const ALL = 5000;

/** What spreading needs of its host. */
export interface EndpointReplicatorOptions {
  clock: runtime.Clock;
  roster: endpoints.Roster;
  /** Milliseconds between heartbeats of an endpoint, and between tellings of
   * what was only heard again: silence is judged from several of them. */
  heartbeatInterval: number;
  calls: Pick<peers.Rpc, "ask">;
  logger: telemetry.Logger;
  /** The other hosts with disks that are there. */
  peers(): readonly string[];
}

/** Spreads one host's roster. */
export class EndpointReplicator {
  readonly #options: EndpointReplicatorOptions;
  /** Endpoints heard here since the last tick. */
  #heard = new Set<string>();
  /** When endpoints last changed here. */
  readonly #changed = new Map<string, number>();
  #allAt: number;
  #heardAt = -Infinity;

  private constructor(options: EndpointReplicatorOptions) {
    this.#options = options;
    this.#allAt = options.clock.now() + ALL;
  }

  static create(options: EndpointReplicatorOptions): EndpointReplicator {
    return new EndpointReplicator(options);
  }

  /** Notes that an endpoint was heard here. */
  recordHeartbeat(id: string): void {
    this.#heard.add(id);
  }

  /** Tells of one endpoint; resolves with the other hosts that know it then. */
  async broadcast(id: string): Promise<string[]> {
    const { clock, peers: others } = this.#options;
    this.#changed.set(id, clock.now());
    const hosts = others();
    const isNoted = await Promise.all(
      hosts.map((host) => this.#send(host, [id])),
    );
    return hosts.filter((_, position) => isNoted[position]);
  }

  /** Tells one host of everything. */
  sendAll(host: string): void {
    const ids = [...this.#options.roster.entries].map(({ id }) => id);
    void this.#send(host, ids);
  }

  /** Tells of what was heard, now and then, and again of what has changed. */
  tick(): void {
    const { clock, peers: others, heartbeatInterval: heartbeat } =
      this.#options;
    const now = clock.now();
    if (now >= this.#allAt) {
      this.#allAt = now + ALL;
      others().forEach((host) => this.sendAll(host));
    }
    for (const [id, at] of this.#changed) {
      if (now - at > AGAIN) this.#changed.delete(id);
    }
    const ids = new Set(this.#changed.keys());
    if (now - this.#heardAt >= heartbeat) {
      this.#heardAt = now;
      this.#heard.forEach((id) => ids.add(id));
      this.#heard.clear();
    }
    if (ids.size === 0) return;
    for (const host of others()) void this.#send(host, [...ids]);
  }

  async #send(host: string, ids: readonly string[]): Promise<boolean> {
    const { clock, roster, calls, logger } = this.#options;
    const now = clock.now();
    const known = ids.map((id) => roster.get(id))
      .filter((entry) => entry !== undefined)
      .map((entry) => rosterCodec.encode(entry, now));
    if (known.length === 0) return true;
    try {
      const question = { type: "note" as const, sightings: known };
      const reply = await calls.ask(host, question, { timeout: TIMEOUT });
      return reply.type === "noted";
    } catch (error) {
      logger.debug({ host, endpoints: ids.length, err: error }, "Not noted");
      return false;
    }
  }
}
