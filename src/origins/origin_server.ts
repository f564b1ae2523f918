/** Origins of streams on control hosts: stores what entry hosts record, and
 * answers hosts at which callers resume streams.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as codec from "./origin_codec.ts";
import * as tables from "./origin_table.ts";

/** Dependencies of an `OriginServer`. */
export interface OriginServerOptions {
  readonly clock: runtime.Clock;
  readonly metrics: telemetry.Metrics;
}

/** The origins that one control host stores; changed in place. */
export class OriginServer {
  readonly #options: OriginServerOptions;
  readonly #table = tables.OriginTable.create();

  private constructor(options: OriginServerOptions) {
    this.#options = options;
  }

  static create(options: OriginServerOptions): OriginServer {
    return new OriginServer(options);
  }

  /** Stores origins. */
  store({ origins }: schema.OriginsQuestion): schema.NotedReply {
    const now = this.#options.clock.now();
    for (const each of origins) {
      this.#table.put(each.stream, codec.decode(each, now), now);
    }
    return { type: "noted" };
  }

  /** Answers a question for the origin of a stream. */
  find({ stream }: schema.OriginQuestion): schema.OriginReply {
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

  /** Removes expired origins. */
  tick(): void {
    const { clock, metrics } = this.#options;
    this.#table.expire(clock.now());
    metrics.gauge("origins.known", this.#table.size);
    metrics.gauge("origins.evicted", this.#table.evictedCount);
  }

  /** State for the state dump. */
  dump(): unknown {
    const { size, evictedCount } = this.#table;
    return { streams: size, evicted: evictedCount };
  }
}
