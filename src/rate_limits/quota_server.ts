/** Rate limits on control hosts: grants requests to limited and cold endpoints
 * on behalf of all hosts, since a limit holds for the whole fleet. Rendezvous
 * hashing selects the control host that grants for an endpoint; the others know
 * the limit as well, so that they can take over. Nothing is stored or sent
 * while no endpoint is limited or cold.
 * @module */

import type * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as endpointLimits from "./endpoint_limit.ts";
import * as tokenBuckets from "./token_bucket.ts";

/** Options of a `QuotaServer`. */
export interface QuotaServerOptions {
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly calls: Pick<peers.Rpc, "cast">;
  /** Hosts that are notified of lowered limits at once: the other control
   * hosts, and entry hosts that synchronize with this host. */
  recipients(): readonly string[];
}

/** Time after which the bucket of a cold endpoint is removed if no host
 * requests a grant. */
const COLD_RETENTION_MS = 10_000;

/** A cold endpoint for which hosts request grants. */
interface ColdEntry {
  readonly bucket: tokenBuckets.TokenBucket;
  requestedAt: number;
}

interface Entry {
  readonly limit: endpointLimits.EndpointLimit;
  readonly bucket: tokenBuckets.TokenBucket;
}

/** The limits of endpoints and their token buckets. Mutable. */
export class QuotaServer {
  readonly #options: QuotaServerOptions;
  readonly #entries = new Map<string, Entry>();
  readonly #cold = new Map<string, ColdEntry>();

  private constructor(options: QuotaServerOptions) {
    this.#options = options;
  }

  static create(options: QuotaServerOptions): QuotaServer {
    return new QuotaServer(options);
  }

  /** Merges the limits that another host knows. */
  mergeLimits(limits: readonly schema.EndpointLimit[]): void {
    const now = this.#options.clock.now();
    for (const limit of limits) {
      this.#update(endpointLimits.EndpointLimit.decode(limit, now));
    }
  }

  /** Handles a request for a grant to call a limited endpoint. */
  request({ limit }: schema.QuotaQuestion): schema.QuotaReply {
    this.mergeLimits([limit]);
    const { metrics, clock } = this.#options;
    const now = clock.now();
    const entry = this.#entries.get(limit.endpoint);
    const rate = entry?.limit.rate(now) ?? Infinity;
    let wait = 0;
    if (rate !== Infinity) {
      entry!.bucket.setRate(rate, now);
      wait = entry!.bucket.take(now);
    }
    const granted = wait === 0;
    metrics.count("quota.asked", 1, { granted: `${granted}` });
    return { type: "quota", granted, wait: Math.ceil(wait) };
  }

  /** Handles a request for a grant to call a cold endpoint. */
  requestCold({ endpoint, rate }: schema.WarmupQuestion): schema.QuotaReply {
    const { metrics, clock } = this.#options;
    const now = clock.now();
    const entry = this.#cold.get(endpoint) ?? this.#addCold(endpoint, rate);
    entry.requestedAt = now;
    entry.bucket.setRate(rate, now);
    const wait = entry.bucket.take(now);
    const granted = wait === 0;
    metrics.count("quota.cold", 1, { granted: `${granted}` });
    return { type: "quota", granted, wait: Math.ceil(wait) };
  }

  /** Limits that other hosts should know. */
  get limits(): schema.EndpointLimit[] {
    const now = this.#options.clock.now();
    return [...this.#entries.values()].map(({ limit }) => limit.encode(now));
  }

  /** Removes expired limits and unused buckets. */
  tick(): void {
    const now = this.#options.clock.now();
    for (const [endpoint, { limit }] of this.#entries) {
      if (limit.isExpired(now)) this.#entries.delete(endpoint);
    }
    for (const [endpoint, { requestedAt }] of this.#cold) {
      if (now - requestedAt > COLD_RETENTION_MS) this.#cold.delete(endpoint);
    }
  }

  #addCold(endpoint: string, rate: number): ColdEntry {
    const now = this.#options.clock.now();
    const bucket = tokenBuckets.TokenBucket.create(rate, now);
    const entry = { bucket, requestedAt: now };
    this.#cold.set(endpoint, entry);
    return entry;
  }

  #notify(limit: endpointLimits.EndpointLimit): void {
    const { calls, clock, recipients } = this.#options;
    const limits = [limit.encode(clock.now())];
    recipients().forEach((host) =>
      calls.cast(host, { type: "limits", limits })
    );
  }

  #update(received: endpointLimits.EndpointLimit): void {
    const { clock, logger } = this.#options;
    const now = clock.now();
    const known = this.#entries.get(received.endpoint);
    const limit = known?.limit.merge(received) ?? received;
    if (limit === known?.limit || limit.isExpired(now)) return;
    const rate = limit.rate(now);
    const bucket = known?.bucket ?? tokenBuckets.TokenBucket.create(rate, now);
    this.#entries.set(received.endpoint, { limit, bucket });
    const { endpoint, endedAt } = limit;
    const isSame = known?.limit.limit === limit.limit &&
      known.limit.endedAt === endedAt;
    if (isSame) return;
    // Only lower limits are urgent: until they arrive, hosts send at the old
    // rate.
    if (known === undefined || rate < known.limit.rate(now)) {
      this.#notify(limit);
    }
    const fields = {
      endpoint,
      limit: limit.limit,
      isEnded: endedAt !== undefined,
    };
    logger.info(fields, "Rate limit of an endpoint changed");
  }
}
