/** Rate limits on entry hosts: keeps the requests to endpoints within the rates
 * that these advertise, and the requests to cold endpoints within what these
 * can handle. Records the limits in responses and requests a grant before each
 * call of any kind.
 * @module */

import * as rendezvous from "../routing/rendezvous.ts";
import * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as endpointLimits from "./endpoint_limit.ts";
import * as tokenBuckets from "./token_bucket.ts";

/** Timeout of calls to a control host: many times the usual duration. */
const CALL_TIMEOUT_MS = 150;
/** Number of control hosts that are tried in turn. */
const MAX_HOSTS_TRIED = 2;
/** Interval between reports that an endpoint advertises no limit any more. */
const REPORT_INTERVAL_MS = 500;
/** Time after which a limit is dropped that is confirmed neither by a response
 * nor by a control host: several synchronization intervals. */
const UNCONFIRMED_RETENTION_MS = 10_000;
/** Time without a response after which a limited endpoint is preferred for the
 * next request; its limit would otherwise outlast its cause. */
const PROBE_AFTER_MS = 1000;
/** Fraction of a cold endpoint's capacity that is granted. Two control hosts
 * may grant at the same time for a moment, when some hosts consider one of them
 * lost. */
const COLD_GRANT_RATIO = 0.8;
/** Minimum interval between log lines about unreadable limits. */
const LOG_INTERVAL_MS = 10_000;

/** Options of a `QuotaClient`. */
export interface QuotaClientOptions {
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly calls: Pick<peers.Rpc, "ask" | "cast">;
  /** Control hosts. */
  controlHosts(): readonly string[];
  /** Number of entry hosts. */
  entryHostCount(): number;
  /** Requests per second of all hosts together that an endpoint can handle
   * while it is cold; undefined if it is not cold. */
  coldRate(endpoint: string): number | undefined;
}

/** The limit that a response advertises, in requests per second; undefined if
 * there is none. */
export type AdvertisedLimit = number | "unreadable" | undefined;

/** An endpoint to which requests need a grant. */
interface Gate {
  readonly endpoint: string;
  /** Limits this host to an equal share of the rate while no control host
   * responds. */
  readonly bucket: tokenBuckets.TokenBucket;
  blockedUntil: number;
}

/** The request for a grant, and the rate of all hosts together. */
interface GrantRequest {
  readonly question: schema.QuotaQuestion | schema.WarmupQuestion;
  readonly rate: number;
}

interface Entry extends Gate {
  limit: endpointLimits.EndpointLimit;
  reportedAt: number;
  confirmedAt: number;
}

/** The limits of endpoints that one entry host knows. Mutable. */
export class QuotaClient {
  readonly #options: QuotaClientOptions;
  readonly #entries = new Map<string, Entry>();
  /** Cold endpoints for which a grant was requested. */
  readonly #cold = new Map<string, Gate>();
  #loggedAt = -Infinity;

  private constructor(options: QuotaClientOptions) {
    this.#options = options;
  }

  static create(options: QuotaClientOptions): QuotaClient {
    return new QuotaClient(options);
  }

  /** Records the limit that a response of an endpoint advertises. */
  recordLimit(endpoint: string, advertised: AdvertisedLimit): void {
    const entry = this.#entries.get(endpoint);
    if (advertised === undefined && entry === undefined) return;
    if (advertised === "unreadable") return this.#logUnreadable(endpoint);
    const now = this.#options.clock.now();
    if (advertised === undefined) this.#recordEnd(entry!, now);
    else this.#recordAdvertised(endpoint, { limit: advertised, now });
  }

  /** Whether requests to an endpoint need a grant. */
  isLimited(endpoint: string): boolean {
    return this.#entries.has(endpoint) ||
      this.#options.coldRate(endpoint) !== undefined;
  }

  /** Endpoints to which no request may be sent now. */
  get blockedEndpoints(): string[] {
    if (this.#entries.size + this.#cold.size === 0) return [];
    const now = this.#options.clock.now();
    return [...this.#entries.values(), ...this.#cold.values()]
      .filter(({ blockedUntil }) => now < blockedUntil)
      .map(({ endpoint }) => endpoint);
  }

  /** Whether the next request should go to an endpoint, since no response has
   * shown for a while whether its limit still holds. */
  needsProbe(endpoint: string): boolean {
    const entry = this.#entries.get(endpoint);
    if (entry === undefined) return false;
    const now = this.#options.clock.now();
    return now >= entry.blockedUntil &&
      now - entry.limit.updatedAt > PROBE_AFTER_MS;
  }

  /** Acquires a grant for one request to an endpoint; resolves with 0, or with
   * the milliseconds after which to retry. */
  async acquire(endpoint: string): Promise<number> {
    return await this.#acquireCold(endpoint) ||
      await this.#acquireLimited(endpoint);
  }

  /** Merges the limits that a control host knows. */
  mergeLimits(limits: readonly schema.EndpointLimit[]): void {
    const now = this.#options.clock.now();
    for (const received of limits) {
      const limit = endpointLimits.EndpointLimit.decode(received, now);
      const entry = this.#entries.get(received.endpoint);
      if (entry !== undefined) {
        entry.limit = entry.limit.merge(limit);
        entry.confirmedAt = now;
      } else if (limit.rate(now) !== Infinity) this.#add(limit, now);
    }
    for (const [endpoint, { limit, confirmedAt }] of this.#entries) {
      const isUnlimited = limit.rate(now) === Infinity;
      if (isUnlimited || now - confirmedAt > UNCONFIRMED_RETENTION_MS) {
        this.#entries.delete(endpoint);
      }
    }
    for (const endpoint of this.#cold.keys()) {
      const isOver = this.#options.coldRate(endpoint) === undefined;
      if (isOver) this.#cold.delete(endpoint);
    }
  }

  /** State for the state dump. */
  dump(): unknown {
    const now = this.#options.clock.now();
    return [...this.#entries.values()].map(({ limit, blockedUntil }) => ({
      ...limit.encode(now),
      rate: limit.rate(now),
      withheldMs: Math.max(0, Math.round(blockedUntil - now)),
    }));
  }

  #add(limit: endpointLimits.EndpointLimit, now: number): Entry {
    const share = limit.rate(now) / Math.max(1, this.#options.entryHostCount());
    const entry: Entry = {
      endpoint: limit.endpoint,
      limit,
      bucket: tokenBuckets.TokenBucket.create(share, now),
      blockedUntil: -Infinity,
      reportedAt: -Infinity,
      confirmedAt: now,
    };
    this.#entries.set(limit.endpoint, entry);
    return entry;
  }

  #recordAdvertised(
    endpoint: string,
    { limit, now }: { limit: number; now: number },
  ): void {
    const advertised = endpointLimits.EndpointLimit.advertised(endpoint, {
      limit,
      now,
    });
    const known = this.#entries.get(endpoint);
    const isChanged = known?.limit.limit !== limit ||
      known.limit.endedAt !== undefined;
    const entry = known ?? this.#add(advertised, now);
    entry.limit = advertised;
    entry.confirmedAt = now;
    if (isChanged) this.#report(entry, now);
  }

  #recordEnd(entry: Entry, now: number): void {
    entry.limit = entry.limit.end(now);
    if (entry.limit.endedAt === undefined) return;
    if (now - entry.reportedAt >= REPORT_INTERVAL_MS) this.#report(entry, now);
  }

  #report(entry: Entry, now: number): void {
    const { calls } = this.#options;
    entry.reportedAt = now;
    const [owner] = this.#ownersOf(entry.endpoint);
    if (owner === undefined) return;
    calls.cast(owner, { type: "limits", limits: [entry.limit.encode(now)] });
  }

  async #acquireLimited(endpoint: string): Promise<number> {
    const entry = this.#entries.get(endpoint);
    if (entry === undefined) return 0;
    const now = this.#options.clock.now();
    return await this.#acquireGrant(entry, {
      question: { type: "quota", limit: entry.limit.encode(now) },
      rate: entry.limit.rate(now),
    });
  }

  async #acquireCold(endpoint: string): Promise<number> {
    const capacity = this.#options.coldRate(endpoint);
    if (capacity === undefined) return 0;
    const rate = COLD_GRANT_RATIO * capacity;
    const gate = this.#cold.get(endpoint) ?? this.#addCold(endpoint, rate);
    const question = { type: "warmup" as const, endpoint, rate };
    return await this.#acquireGrant(gate, { question, rate });
  }

  #addCold(endpoint: string, rate: number): Gate {
    const { clock, entryHostCount, logger } = this.#options;
    const share = rate / Math.max(1, entryHostCount());
    const bucket = tokenBuckets.TokenBucket.create(share, clock.now());
    const gate = { endpoint, bucket, blockedUntil: -Infinity };
    this.#cold.set(endpoint, gate);
    logger.info(
      { endpoint, rate },
      "Endpoint is cold; requests to it need a grant",
    );
    return gate;
  }

  async #acquireGrant(gate: Gate, request: GrantRequest): Promise<number> {
    const { clock, metrics } = this.#options;
    const remaining = gate.blockedUntil - clock.now();
    const wait = remaining > 0
      ? remaining
      : await this.#requestGrant(gate, request);
    if (wait === 0) return 0;
    gate.blockedUntil = clock.now() + wait;
    metrics.count("quota.withheld");
    return wait;
  }

  /** Requests a grant from the control host that owns the endpoint's quota. If
   * none responds, this host grants itself an equal share of the rate. */
  async #requestGrant(
    gate: Gate,
    { question, rate }: GrantRequest,
  ): Promise<number> {
    const { calls, clock, logger, entryHostCount } = this.#options;
    const { endpoint, bucket } = gate;
    const reply = await peers.askInTurn(question, "quota", {
      calls,
      hosts: this.#ownersOf(endpoint),
      timeout: CALL_TIMEOUT_MS,
      logger,
      message:
        "Control host did not answer a quota request; trying the next one",
      fields: { endpoint },
    });
    if (reply !== undefined) return reply.granted ? 0 : reply.wait;
    const now = clock.now();
    bucket.setRate(rate / Math.max(1, entryHostCount()), now);
    return bucket.take(now);
  }

  #ownersOf(endpoint: string): string[] {
    return rendezvous.rank(endpoint, this.#options.controlHosts()).slice(
      0,
      MAX_HOSTS_TRIED,
    );
  }

  #logUnreadable(endpoint: string): void {
    const { clock, logger, metrics } = this.#options;
    metrics.count("quota.unreadable");
    const now = clock.now();
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt = now;
    logger.warn(
      { endpoint },
      "Rate limit in a response cannot be parsed; it is ignored",
    );
  }
}
