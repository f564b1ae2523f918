/** Replication of endpoint state among control hosts: changes are sent at once,
 * heartbeats in batches, and recent changes repeatedly, so that a host that was
 * unreachable gets them from any other. What a host acknowledges it does not
 * forget when it is killed.
 * @module */

import type * as endpoints from "../endpoints/mod.ts";
import type * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as departureJournals from "./departure_journal.ts";
import * as rosterCodec from "./roster_codec.ts";

/** Timeout for another host to acknowledge an update. */
const ACK_TIMEOUT_MS = 600;
/** How long a change is sent repeatedly. */
const RESEND_WINDOW_MS = 3000;
/** Interval of full state transfers, which repair lost updates. */
const FULL_STATE_INTERVAL_MS = 5000;

/** Dependencies of a replicator. */
export interface EndpointReplicatorOptions {
  clock: runtime.Clock;
  roster: endpoints.Roster;
  departures: Pick<departureJournals.DepartureJournal, "store">;
  /** Milliseconds between heartbeats of an endpoint, and between batches of
   * endpoints that sent nothing but heartbeats: silence is detected only after
   * several of them. */
  heartbeatInterval: number;
  calls: Pick<peers.Rpc, "ask">;
  logger: telemetry.Logger;
  /** The other live control hosts. */
  peers(): readonly string[];
}

const FAILED: schema.FailedReply = { type: "failed", reason: "unknown" };

/** Sends endpoint updates of one control host to the others. */
export class EndpointReplicator {
  readonly #options: EndpointReplicatorOptions;
  /** Endpoints whose heartbeats arrived here since the last batch. */
  #heartbeats = new Set<string>();
  /** When endpoints last changed here, for repeated updates. */
  readonly #changedAt = new Map<string, number>();
  #fullStateAt: number;
  #batchAt = -Infinity;

  private constructor(options: EndpointReplicatorOptions) {
    this.#options = options;
    this.#fullStateAt = options.clock.now() + FULL_STATE_INTERVAL_MS;
  }

  static create(options: EndpointReplicatorOptions): EndpointReplicator {
    return new EndpointReplicator(options);
  }

  /** Records a heartbeat that arrived here. */
  recordHeartbeat(id: string): void {
    this.#heartbeats.add(id);
  }

  /** Sends one endpoint to all others; resolves with the hosts that have
   * acknowledged it. */
  async broadcast(id: string): Promise<string[]> {
    const { clock, peers } = this.#options;
    this.#changedAt.set(id, clock.now());
    const hosts = peers();
    const isAcknowledged = await Promise.all(
      hosts.map((host) => this.#send(host, [id])),
    );
    return hosts.filter((_, position) => isAcknowledged[position]);
  }

  /** Merges updates of another host. Acknowledges them once all departures in
   * them are on disk. */
  async receive({ sightings }: schema.NoteQuestion): Promise<schema.Reply> {
    const { clock, roster, departures } = this.#options;
    const now = clock.now();
    for (const sighting of sightings) {
      roster.merge(rosterCodec.decode(sighting, { now, judges: true }));
    }
    const entries = sightings.map(({ id }) => roster.get(id))
      .filter((entry) => entry !== undefined);
    const isStored = await departures.store(entries);
    return isStored ? { type: "noted" } : FAILED;
  }

  /** Sends the full state to one host. */
  sendAll(host: string): void {
    const ids = [...this.#options.roster.entries].map(({ id }) => id);
    void this.#send(host, ids);
  }

  /** Sends the updates that are due. */
  tick(): void {
    const { clock, peers, heartbeatInterval } = this.#options;
    const now = clock.now();
    if (now >= this.#fullStateAt) {
      this.#fullStateAt = now + FULL_STATE_INTERVAL_MS;
      peers().forEach((host) => this.sendAll(host));
    }
    for (const [id, at] of this.#changedAt) {
      if (now - at > RESEND_WINDOW_MS) this.#changedAt.delete(id);
    }
    const ids = new Set(this.#changedAt.keys());
    if (now - this.#batchAt >= heartbeatInterval) {
      this.#batchAt = now;
      this.#heartbeats.forEach((id) => ids.add(id));
      this.#heartbeats.clear();
    }
    if (ids.size === 0) return;
    for (const host of peers()) void this.#send(host, [...ids]);
  }

  async #send(host: string, ids: readonly string[]): Promise<boolean> {
    const { clock, roster, calls, logger } = this.#options;
    const now = clock.now();
    const sightings = ids.map((id) => roster.get(id))
      .filter((entry) => entry !== undefined)
      .map((entry) => rosterCodec.encode(entry, now));
    if (sightings.length === 0) return true;
    try {
      const question = { type: "note" as const, sightings };
      const reply = await calls.ask(host, question, {
        timeout: ACK_TIMEOUT_MS,
      });
      return reply.type === "noted";
    } catch (error) {
      logger.debug(
        { host, endpoints: ids.length, err: error },
        "Endpoint update not acknowledged",
      );
      return false;
    }
  }
}
