/** Origins of streams on control hosts: stores what entry hosts record, and
 * answers hosts at which callers resume streams.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as codec from "./origin_codec.ts";
import * as journals from "./origin_journal.ts";
import * as tables from "./origin_table.ts";
import * as histories from "./version_history.ts";

/** Dependencies of an `OriginServer`. */
export interface OriginServerOptions {
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly openStorage: runtime.OpenStorage;
  /** Endpoints that this host knows at present, gone ones included. */
  endpoints(): Iterable<histories.SeenEndpoint>;
}

/** The origins that one control host stores; changed in place. */
export class OriginServer {
  readonly #options: OriginServerOptions;
  readonly #table = tables.OriginTable.create();
  readonly #history = histories.VersionHistory.create();
  readonly #journal: journals.OriginJournal;
  readonly #loaded: Promise<void>;

  private constructor(options: OriginServerOptions) {
    this.#options = options;
    this.#journal = journals.OriginJournal.create(options);
    this.#loaded = this.#load();
  }

  /** Creates a server, which begins to read its journal. */
  static create(options: OriginServerOptions): OriginServer {
    return new OriginServer(options);
  }

  /** Stores origins. */
  store({ origins }: schema.OriginsQuestion): schema.NotedReply {
    const added = origins.filter((each) => this.#put(each));
    if (added.length > 0) this.#journal.append(added);
    return { type: "noted" };
  }

  /** Answers a question for the origin of a stream, once the journal is
   * read. */
  async find({ stream }: schema.OriginQuestion): Promise<schema.OriginReply> {
    await this.#loaded;
    const { clock, metrics } = this.#options;
    const now = clock.now();
    const kept = this.#table.get(stream, now);
    const isConflicting = kept === "conflicting";
    const isFound = kept !== undefined && !isConflicting;
    metrics.count("origins.asked", 1, { found: `${isFound}` });
    return {
      type: "origin",
      ...(isFound && { origin: codec.encode(stream, kept, now) }),
      ...(isConflicting && { conflicting: true }),
    };
  }

  /** Records endpoints that this host is about to report to an entry host. */
  recordReport(endpoints: Iterable<histories.SeenEndpoint>): void {
    this.#history.observe(endpoints, this.#options.clock.now());
  }

  /** Answers a question for the versions of a service that this host has
   * reported. */
  versions({ service, period }: schema.VersionsQuestion): schema.VersionsReply {
    const now = this.#options.clock.now();
    this.#history.observe(this.#options.endpoints(), now);
    const { versions, isComplete } = this.#history.versionsOf(service, {
      now,
      period,
    });
    return { type: "versions", versions, complete: isComplete };
  }

  /** Removes expired origins, and records the known endpoints. */
  tick(): void {
    const { clock, metrics, endpoints } = this.#options;
    this.#table.expire(clock.now());
    this.#history.observe(endpoints(), clock.now());
    metrics.gauge("origins.known", this.#table.size);
    metrics.gauge("origins.evicted", this.#table.evictedCount);
  }

  /** State for the state dump. */
  dump(): unknown {
    return this.#table.dump();
  }

  async #load(): Promise<void> {
    const origins = await this.#journal.load();
    origins.forEach((each) => this.#put(each));
    this.#options.logger.info(
      { streams: this.#table.size },
      "Origins of streams read from disk",
    );
  }

  /** Returns whether the origin is new. */
  #put(origin: schema.StreamOrigin): boolean {
    const now = this.#options.clock.now();
    return this.#table.put(origin.stream, codec.decode(origin, now), now);
  }
}
