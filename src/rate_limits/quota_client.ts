/** Keeps what an entry host sends to endpoints that name a rate limit within it,
 * and what it sends to cold ones within what these bear: notes what answers say
 * and asks for a grant before each request, of whatever kind it is.
 * @module */

import * as rendezvous from "../routing/rendezvous.ts";
import type * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as endpointLimits from "./endpoint_limit.ts";
import * as tokenBuckets from "./token_bucket.ts";

/** Milliseconds in which a host with a disk answers: many times what it
 * takes. */
const PATIENCE = 150;
/** Hosts with disks that are asked in turn. */
const ASKED = 2;
/** Milliseconds between reports that an endpoint's answers name no limit. */
const REPORT = 500;
/** Milliseconds after which a limit that no other host tells any more is
 * forgotten: some questions for changes. */
const UNTOLD = 10_000;
/** Milliseconds without an answer of a limited endpoint after which it is asked
 * before others: its limit would else outlast its need. */
const UNASKED = 1000;
/** Part of what a cold endpoint bears that is granted: for a moment two hosts may
 * grant, where others hold one of them for lost. */
const COLD_SHARE = 0.8;
/** Milliseconds between log lines about limits that can't be read. */
const LOGGED = 10_000;

/** What a client needs of its host. */
export interface QuotaClientOptions {
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly calls: Pick<peers.Rpc, "ask" | "cast">;
  /** Hosts with disks. */
  cores(): readonly string[];
  /** Number of entry hosts. */
  entryHostCount(): number;
  /** Requests a second that an endpoint bears from all hosts together while it is
   * cold; undefined of one that is not. */
  coldRate(endpoint: string): number | undefined;
}

/** A limit that an answer names: requests a second, or text that says
 * nothing. */
export type AdvertisedLimit = number | "unreadable" | undefined;

/** An endpoint to which requests need a grant. */
interface Gate {
  readonly endpoint: string;
  /** Of this host's even part, while nobody grants. */
  readonly bucket: tokenBuckets.TokenBucket;
  withheldUntil: number;
}

/** What is asked of who grants, and the rate for all hosts together. */
interface Grant {
  readonly question: schema.QuotaQuestion | schema.WarmupQuestion;
  readonly rate: number;
}

interface Entry extends Gate {
  limit: endpointLimits.EndpointLimit;
  reportedAt: number;
  toldAt: number;
}

/** Limits of endpoints as one entry host knows them; changed in place. */
export class QuotaClient {
  readonly #options: QuotaClientOptions;
  readonly #entries = new Map<string, Entry>();
  /** Cold endpoints that were asked for. */
  readonly #cold = new Map<string, Gate>();
  #loggedAt = -Infinity;

  private constructor(options: QuotaClientOptions) {
    this.#options = options;
  }

  static create(options: QuotaClientOptions): QuotaClient {
    return new QuotaClient(options);
  }

  /** Notes what an answer of an endpoint says of its limit. */
  recordLimit(endpoint: string, named: AdvertisedLimit): void {
    const known = this.#entries.get(endpoint);
    if (named === undefined && known === undefined) return;
    if (named === "unreadable") return this.#noteUnreadable(endpoint);
    const now = this.#options.clock.now();
    if (named === undefined) this.#noteEnd(known!, now);
    else this.#noteNamed(endpoint, { limit: named, now });
  }

  /** Whether requests to an endpoint need a grant. */
  isLimited(endpoint: string): boolean {
    return this.#entries.has(endpoint) ||
      this.#options.coldRate(endpoint) !== undefined;
  }

  /** Endpoints to which nothing may go now. */
  get blockedEndpoints(): string[] {
    if (this.#entries.size + this.#cold.size === 0) return [];
    const now = this.#options.clock.now();
    return [...this.#entries.values(), ...this.#cold.values()]
      .filter(({ withheldUntil }) => now < withheldUntil)
      .map(({ endpoint }) => endpoint);
  }

  /** Whether an endpoint should be asked next: no answer has said for a while
   * whether its limit still holds. */
  needsProbe(endpoint: string): boolean {
    const entry = this.#entries.get(endpoint);
    if (entry === undefined) return false;
    const now = this.#options.clock.now();
    return now >= entry.withheldUntil && now - entry.limit.updatedAt > UNASKED;
  }

  /** Takes the right to send a request to an endpoint. Resolves with 0, or with
   * the milliseconds after which there may be one. */
  async acquire(endpoint: string): Promise<number> {
    return await this.#takeCold(endpoint) || await this.#takeLimited(endpoint);
  }

  /** Takes what a host with a disk knows of limits. */
  mergeLimits(told: readonly schema.EndpointLimit[]): void {
    const now = this.#options.clock.now();
    for (const each of told) {
      const limit = endpointLimits.EndpointLimit.decode(each, now);
      const entry = this.#entries.get(each.endpoint);
      if (entry !== undefined) {
        entry.limit = entry.limit.merge(limit);
        entry.toldAt = now;
      } else if (limit.rate(now) !== Infinity) this.#add(limit, now);
    }
    for (const [endpoint, { limit, toldAt }] of this.#entries) {
      const isUnlimited = limit.rate(now) === Infinity;
      if (isUnlimited || now - toldAt > UNTOLD) this.#entries.delete(endpoint);
    }
    for (const endpoint of this.#cold.keys()) {
      const isOver = this.#options.coldRate(endpoint) === undefined;
      if (isOver) this.#cold.delete(endpoint);
    }
  }

  /** State for people. */
  dump(): unknown {
    const now = this.#options.clock.now();
    return [...this.#entries.values()].map(({ limit, withheldUntil }) => ({
      ...limit.encode(now),
      rate: limit.rate(now),
      withheldMs: Math.max(0, Math.round(withheldUntil - now)),
    }));
  }

  #add(limit: endpointLimits.EndpointLimit, now: number): Entry {
    const part = limit.rate(now) / Math.max(1, this.#options.entryHostCount());
    const entry: Entry = {
      endpoint: limit.endpoint,
      limit,
      bucket: tokenBuckets.TokenBucket.create(part, now),
      withheldUntil: -Infinity,
      reportedAt: -Infinity,
      toldAt: now,
    };
    this.#entries.set(limit.endpoint, entry);
    return entry;
  }

  #noteNamed(
    endpoint: string,
    { limit, now }: { limit: number; now: number },
  ): void {
    const named = endpointLimits.EndpointLimit.advertised(endpoint, {
      limit,
      now,
    });
    const known = this.#entries.get(endpoint);
    const isNews = known?.limit.limit !== limit ||
      known.limit.endedAt !== undefined;
    const entry = known ?? this.#add(named, now);
    entry.limit = named;
    entry.toldAt = now;
    if (isNews) this.#report(entry, now);
  }

  #noteEnd(entry: Entry, now: number): void {
    entry.limit = entry.limit.end(now);
    if (entry.limit.endedAt === undefined) return;
    if (now - entry.reportedAt >= REPORT) this.#report(entry, now);
  }

  #report(entry: Entry, now: number): void {
    const { calls } = this.#options;
    entry.reportedAt = now;
    const [owner] = this.#ownersOf(entry.endpoint);
    if (owner === undefined) return;
    calls.cast(owner, { type: "limits", limits: [entry.limit.encode(now)] });
  }

  async #takeLimited(endpoint: string): Promise<number> {
    const entry = this.#entries.get(endpoint);
    if (entry === undefined) return 0;
    const now = this.#options.clock.now();
    return await this.#pass(entry, {
      question: { type: "quota", limit: entry.limit.encode(now) },
      rate: entry.limit.rate(now),
    });
  }

  async #takeCold(endpoint: string): Promise<number> {
    const borne = this.#options.coldRate(endpoint);
    if (borne === undefined) return 0;
    const rate = COLD_SHARE * borne;
    const gate = this.#cold.get(endpoint) ?? this.#addCold(endpoint, rate);
    const question = { type: "warmup" as const, endpoint, rate };
    return await this.#pass(gate, { question, rate });
  }

  #addCold(endpoint: string, rate: number): Gate {
    const { clock, entryHostCount: hosts, logger } = this.#options;
    const part = rate / Math.max(1, hosts());
    const bucket = tokenBuckets.TokenBucket.create(part, clock.now());
    const gate = { endpoint, bucket, withheldUntil: -Infinity };
    this.#cold.set(endpoint, gate);
    logger.info({ endpoint, rate }, "Cold endpoint needs grants");
    return gate;
  }

  async #pass(gate: Gate, grant: Grant): Promise<number> {
    const { clock, metrics } = this.#options;
    const left = gate.withheldUntil - clock.now();
    const wait = left > 0 ? left : await this.#ask(gate, grant);
    if (wait === 0) return 0;
    gate.withheldUntil = clock.now() + wait;
    metrics.count("quota.withheld");
    return wait;
  }

  /** Asks who grants for an endpoint; where nobody answers, this host keeps to
   * its even part. */
  async #ask(gate: Gate, { question, rate }: Grant): Promise<number> {
    const { calls, clock, logger, entryHostCount: hosts } = this.#options;
    const { endpoint, bucket } = gate;
    for (const owner of this.#ownersOf(endpoint)) {
      try {
        const reply = await calls.ask(owner, question, { timeout: PATIENCE });
        if (reply.type === "quota") return reply.granted ? 0 : reply.wait;
      } catch (error) {
        const reason = `${error}`;
        logger.info({ owner, endpoint, reason }, "Quota not answered");
      }
    }
    const now = clock.now();
    bucket.setRate(rate / Math.max(1, hosts()), now);
    return bucket.take(now);
  }

  #ownersOf(endpoint: string): string[] {
    return rendezvous.rank(endpoint, this.#options.cores()).slice(0, ASKED);
  }

  #noteUnreadable(endpoint: string): void {
    const { clock, logger, metrics } = this.#options;
    metrics.count("quota.unreadable");
    const now = clock.now();
    if (now - this.#loggedAt < LOGGED) return;
    this.#loggedAt = now;
    logger.warn({ endpoint }, "Rate limit of an endpoint can't be read");
  }
}
