/** Grants requests to endpoints that name a rate limit, and to cold ones, for all
 * hosts: a limit holds for the fleet. One host with a disk grants for an
 * endpoint, the same for all that know the same hosts; the others know the limit,
 * to take its place. Nothing is kept or sent while no endpoint names a limit or
 * is cold.
 * @module */

import type * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as endpointLimits from "./endpoint_limit.ts";
import * as tokenBuckets from "./token_bucket.ts";

/** What a server needs of its host. */
export interface QuotaServerOptions {
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly calls: Pick<peers.Rpc, "cast">;
  /** Hosts that are told at once: the others with disks, and entry hosts that
   * follow this one. */
  recipients(): readonly string[];
}

/** Milliseconds after which the bucket of a cold endpoint is forgotten that
 * nobody asks for. */
const COLD_MEMORY = 10_000;

/** A cold endpoint that hosts ask for. */
interface ColdEntry {
  readonly bucket: tokenBuckets.TokenBucket;
  askedAt: number;
}

interface Entry {
  readonly limit: endpointLimits.EndpointLimit;
  readonly bucket: tokenBuckets.TokenBucket;
}

/** Limits of endpoints; changed in place. */
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

  /** Takes what another host knows of limits. */
  mergeLimits(told: readonly schema.EndpointLimit[]): void {
    const now = this.#options.clock.now();
    for (const each of told) {
      this.#put(endpointLimits.EndpointLimit.decode(each, now));
    }
  }

  /** Whether a host may send a request to an endpoint now. */
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

  /** Whether a host may send a request to a cold endpoint now. */
  requestCold({ endpoint, rate }: schema.WarmupQuestion): schema.QuotaReply {
    const { metrics, clock } = this.#options;
    const now = clock.now();
    const entry = this.#cold.get(endpoint) ?? this.#addCold(endpoint, rate);
    entry.askedAt = now;
    entry.bucket.setRate(rate, now);
    const wait = entry.bucket.take(now);
    const granted = wait === 0;
    metrics.count("quota.cold", 1, { granted: `${granted}` });
    return { type: "quota", granted, wait: Math.ceil(wait) };
  }

  /** Limits that hosts should know. */
  get limits(): schema.EndpointLimit[] {
    const now = this.#options.clock.now();
    return [...this.#entries.values()].map(({ limit }) => limit.encode(now));
  }

  /** Forgets what is over. */
  tick(): void {
    const now = this.#options.clock.now();
    for (const [endpoint, { limit }] of this.#entries) {
      if (limit.isExpired(now)) this.#entries.delete(endpoint);
    }
    for (const [endpoint, { askedAt }] of this.#cold) {
      if (now - askedAt > COLD_MEMORY) this.#cold.delete(endpoint);
    }
  }

  #addCold(endpoint: string, rate: number): ColdEntry {
    const now = this.#options.clock.now();
    const bucket = tokenBuckets.TokenBucket.create(rate, now);
    const entry = { bucket, askedAt: now };
    this.#cold.set(endpoint, entry);
    return entry;
  }

  #tell(limit: endpointLimits.EndpointLimit): void {
    const { calls, clock, recipients: others } = this.#options;
    const limits = [limit.encode(clock.now())];
    others().forEach((host) => calls.cast(host, { type: "limits", limits }));
  }

  #put(told: endpointLimits.EndpointLimit): void {
    const { clock, logger } = this.#options;
    const now = clock.now();
    const known = this.#entries.get(told.endpoint);
    const limit = known?.limit.merge(told) ?? told;
    if (limit === known?.limit || limit.isExpired(now)) return;
    const rate = limit.rate(now);
    const bucket = known?.bucket ?? tokenBuckets.TokenBucket.create(rate, now);
    this.#entries.set(told.endpoint, { limit, bucket });
    const { endpoint, endedAt } = limit;
    const isSame = known?.limit.limit === limit.limit &&
      known.limit.endedAt === endedAt;
    if (isSame) return;
    // Until hosts hear of less, they send what they did.
    if (known === undefined || rate < known.limit.rate(now)) this.#tell(limit);
    const fields = {
      endpoint,
      limit: limit.limit,
      isEnded: endedAt !== undefined,
    };
    logger.info(fields, "Rate limit of an endpoint changed");
  }
}
