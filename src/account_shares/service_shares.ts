/** Shares of client accounts in one service, on one entry host.
 * @module */

import * as rendezvous from "../routing/rendezvous.ts";
import * as peers from "../peers/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import type * as admissions from "./admission.ts";
import * as contentions from "./contention.ts";
import * as flowCharges from "./flow_charge.ts";
import * as meters from "./meter.ts";
import type * as shareBuckets from "./share_bucket.ts";
import * as shareTables from "./share_table.ts";

/** Timeout of calls to a control host: many times the usual duration, and short
 * enough to try several within an interval. */
const CALL_TIMEOUT_MS = 150;
/** Control hosts that are tried in turn: one may be lost while another is of a
 * release that does not know the question. */
const MAX_HOSTS_TRIED = 3;
/** Time for which limits hold without a reply: several lost replies. Demands
 * change within seconds, so older limits are wrong. */
const LIMIT_LIFETIME_MS = 2000;
/** Time after denied cost in which the host reports. */
const DENIED_RETENTION_MS = 2000;
/** Bounds of the time that a refusal names. Earlier retries would come before
 * the next limits; callers heed a time of up to a third of what they have left,
 * which is seldom more than 9 s. */
const MIN_WAIT_MS = 250;
const MAX_WAIT_MS = 3000;
/** Log lines about control hosts that set no shares. */
const LOG_BOUNDS = { rate: 0.5, burst: 5 };
/** The only host in the reports that a host's own limits are derived from. */
const SELF = "self";

/** Dependencies of `ServiceShares`. */
export interface ServiceSharesOptions {
  readonly service: string;
  /** Beginning of the first interval. */
  readonly since: number;
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly calls: Pick<peers.Rpc, "ask">;
  /** Control hosts. */
  controlHosts(): readonly string[];
}

/** Meter, limits and reports of one service. Mutable. */
export class ServiceShares {
  readonly #options: ServiceSharesOptions;
  readonly #meter: meters.Meter;
  readonly #table = shareTables.ShareTable.create();
  /** For lines that may come with each report. */
  readonly #boundLogger: telemetry.Logger;
  /** Limits by this host's own counts; undefined while a control host decides. */
  #base?: contentions.Contention;
  #deniedAt = -Infinity;
  /** When reports were first sent, or last answered with a decision; undefined
   * while none are sent. */
  #answeredAt?: number;
  #isContended = false;
  #isWatched = false;
  #isStopped = false;

  private constructor(options: ServiceSharesOptions) {
    const { logger, clock, since } = options;
    this.#options = options;
    this.#boundLogger = telemetry.boundLogger(logger, clock, LOG_BOUNDS);
    this.#meter = meters.Meter.create(since);
  }

  static create(options: ServiceSharesOptions): ServiceShares {
    return new ServiceShares(options);
  }

  /** Sets whether control hosts watch the service. */
  setContended(isContended: boolean): void {
    this.#isContended = isContended;
  }

  stop(): void {
    this.#isStopped = true;
    this.#setLimits({ limits: [] });
  }

  /** Admits or refuses a request. */
  admit(request: admissions.ShareRequest): admissions.ShareAdmission {
    const { clock } = this.#options;
    const { account = "", rank, cost, priorWait } = request;
    const flow = { account, rank };
    this.#meter.offer(flow, cost);
    const bucket = this.#table.bucketOf(flow);
    const isReturning = priorWait >= MIN_WAIT_MS;
    if (bucket?.admits(clock.now(), { isReturning }) === false) {
      this.#meter.refuse(cost);
      return this.#refuse(bucket);
    }
    const charge = flowCharges.FlowCharge.create({
      clock,
      meter: this.#meter,
      flow,
      bucket,
      cost,
      onDenied: () => this.#deniedAt = clock.now(),
    });
    return { type: "admitted", charge };
  }

  /** Ends an interval: reports it, and renews this host's own limits while no
   * control host answers. */
  tick(): void {
    const now = this.#options.clock.now();
    const use = this.#meter.take(now);
    if (this.#needsReport(now)) {
      this.#answeredAt ??= now;
      void this.#report(use);
    } else {
      this.#answeredAt = undefined;
      this.#base = undefined;
    }
    this.#updateBase(use, now);
    if (this.#table.size > 0 && this.#table.age(now) > LIMIT_LIFETIME_MS) {
      this.#setLimits({ limits: [] });
    }
  }

  /** State for the state dump. */
  dump(): unknown {
    const now = this.#options.clock.now();
    return {
      service: this.#options.service,
      reports: this.#answeredAt !== undefined,
      capacity: this.#table.capacity,
      ...(this.#table.size > 0 &&
        { limitAgeMs: Math.round(this.#table.age(now)) }),
      limits: this.#table.dump(now),
      base: this.#base?.dump(now),
    };
  }

  #needsReport(now: number): boolean {
    return this.#isContended || this.#isWatched ||
      (this.#base?.isWatched(now) ?? false) || this.#hasDenied(now);
  }

  #hasDenied(now: number): boolean {
    return now - this.#deniedAt <= DENIED_RETENTION_MS;
  }

  async #report(use: meters.IntervalUse): Promise<void> {
    const { service, calls, controlHosts } = this.#options;
    const question: schema.SharesQuestion = {
      type: "shares",
      service,
      span: use.span,
      admitted: use.admitted,
      denied: use.denied,
      accounts: [...use.accounts],
    };
    const reply = await peers.askInTurn(question, "shares", {
      calls,
      hosts: rendezvous.rank(service, controlHosts()).slice(0, MAX_HOSTS_TRIED),
      timeout: CALL_TIMEOUT_MS,
      logger: this.#boundLogger,
      message: "Control host did not set shares; trying the next one",
      fields: { service },
    });
    if (reply !== undefined && !this.#isStopped) this.#apply(reply);
  }

  #apply({ watched, decided, limits, capacity }: schema.SharesReply): void {
    this.#isWatched = watched;
    // A control host that has just taken over, or that is not the coordinator,
    // decides nothing; meanwhile, the former limits hold.
    if (watched && capacity === undefined && !decided) return;
    this.#answeredAt = this.#options.clock.now();
    this.#base = undefined;
    this.#setLimits({ limits, capacity });
  }

  /** Applies the coordinator's rules to this host's own counts, from the tick
   * that is closest to the end of received limits. */
  #updateBase(use: meters.IntervalUse, now: number): void {
    const silence = now - (this.#answeredAt ?? now);
    const isSilent = silence + contentions.INTERVAL_MS / 2 >= LIMIT_LIFETIME_MS;
    const isLimited = this.#table.size > 0;
    const isNeeded = isLimited || this.#hasDenied(now);
    if (!isSilent || !isNeeded && this.#base === undefined) return;
    // Nobody else says any more that the service is watched.
    this.#isWatched = false;
    this.#base ??= this.#createBase(now);
    this.#base.record(SELF, use, { now });
    const { capacity } = this.#base;
    if (capacity === undefined) return;
    this.#setLimits({ limits: this.#base.limitsOf(SELF, now), capacity });
  }

  #createBase(now: number): contentions.Contention {
    const { service, logger } = this.#options;
    logger.info(
      { service, limits: this.#table.size },
      "No control host sets shares; this host sets its own",
    );
    return contentions.Contention.create({
      service,
      logger,
      decidedBy: "own counts",
      settleMs: 0,
    }, now);
  }

  #setLimits(limits: shareTables.Limits): void {
    const { clock, metrics, service } = this.#options;
    this.#table.update(limits, clock.now());
    metrics.gauge("shares.limited", this.#table.size, { service });
  }

  #refuse(bucket: shareBuckets.ShareBucket): admissions.ShareAdmission {
    const { clock, random, metrics, service } = this.#options;
    const now = clock.now();
    // Bounded before it is spread, so that those who are refused at the same time
    // don't return at the same time.
    const wait = Math.max(MIN_WAIT_MS, bucket.wait(now)) * (1 + random.next());
    metrics.count("shares.refused", 1, { service });
    return {
      type: "refused",
      wait: Math.min(MAX_WAIT_MS, wait),
      details: {
        shareRate: bucket.rate,
        shareAgeMs: Math.round(this.#table.age(now)),
        capacity: this.#table.capacity,
      },
    };
  }
}
