/** State that one host keeps of an endpoint: liveness, health, load and
 * latency, mostly from its own calls.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import * as performances from "../performance/mod.ts";
import * as announcements from "./announcements.ts";
import * as brittlenesses from "./brittleness.ts";
import * as remoteLoads from "./remote_load.ts";
import * as firstEventLatencies from "./first_event_latency.ts";
import type * as cachedPrefixes from "./cached_prefixes.ts";
import type * as protocols from "./protocol.ts";
import * as rejectionBackoffs from "./rejection_backoff.ts";

/** Weight of a new value in an exponential moving average of about ten
 * values. */
const AVERAGE_WEIGHT = 0.1;
/** Part of an endpoint's excess over the lowest mean duration that is forgotten
 * with each choice of another: half of it after 20. */
const FORGOTTEN_EXCESS = 0.034;
/** Consecutive failures after which an endpoint is ejected for a while. */
const EJECTION_FAILURE_COUNT = 3;
/** First and longest ejection, in milliseconds; each one doubles the last. */
const MIN_EJECTION_MS = 500;
const MAX_EJECTION_MS = 8000;
/** Milliseconds for which a reported load is used: a few calls at most. */
const MAX_LOAD_AGE_MS = 500;
/** Milliseconds for which a reported queue is taken to shrink as the endpoint
 * works. Queues also shrink as callers leave, and most callers of plain calls wait
 * no longer. */
const MAX_QUEUE_AGE_MS = 3000;
/** Milliseconds for which an endpoint with a silent call must have sent nothing
 * to count as unresponsive: one that serves others has only delayed the call. */
const UNRESPONSIVE_MS = 800;
/** Half-life of the delay of first events, in milliseconds. */
const DELAY_HALF_LIFE_MS = 1500;

/** Of an endpoint that belongs to no pool, or no longer does. */
const NO_PERFORMANCE = performances.ServicePerformance.create({
  isEnabled: false,
});

/** Milliseconds after a successful call for which an endpoint counts as alive
 * without heartbeats: a network partition may block heartbeats but not
 * calls. */
const CALL_LIVENESS_MS = 5000;

/** Identity and location of an endpoint. */
export interface Identity {
  /** Id of one incarnation. A host keeps an endpoint's state by this id and
   * drops it when the incarnation ends. */
  readonly id: string;
  /** Name that the endpoint keeps across restarts. */
  readonly name: string;
  readonly service: string;
  readonly address: string;
  readonly dataCentre: string;
  /** Version of its software. */
  readonly version: string;
  readonly slots: number;
}

/** State of an endpoint that serves prompts. */
export interface EngineState {
  /** Prompt tokens per millisecond that it fetches from another engine's cache;
   * absent if it can't fetch. */
  readonly fetchRate?: number;
  /** This host's estimate of its prefix cache. */
  readonly cachedPrefixes: cachedPrefixes.CachedPrefixes;
  /** Latency model of first events, shared by the engines of its service. */
  readonly firstEventLatency: firstEventLatencies.FirstEventLatency;
  /** Mean of streams' mean gaps between events, shared likewise. */
  readonly eventGap: performances.MeanDuration;
}

/** How many milliseconds a first event took, and when it arrived. */
export interface FirstEventTiming {
  readonly took: number;
  readonly now: number;
  /** Whether the engine fetched parts of the prompt before. */
  readonly isFetched?: boolean;
}

/** What the outcome of a call shows of its endpoint's health; "full" is a
 * healthy endpoint that refused a call. */
export type HealthSignal = "good" | "bad" | "full";

/** An endpoint; changed in place. */
export class Endpoint {
  readonly identity: Identity;
  /** What it has announced of itself in its answers. */
  announcements = announcements.Announcements.create();
  brittleness = brittlenesses.Brittleness.create();
  /** Slowness of the endpoints of its service. */
  performance = NO_PERFORMANCE;
  /** Mean duration of the calls of its service, at slowness 1. */
  serviceDuration = performances.MeanDuration.create();
  readonly rejections = rejectionBackoffs.RejectionBackoff.create();
  /** Undefined unless its service is known to serve prompts: the first
   * heartbeat may arrive before the configuration. */
  engine?: EngineState;
  /** Load from other hosts. */
  readonly remoteLoad = remoteLoads.RemoteLoad.create();
  /** Latency model of first events while `engine` is undefined. */
  readonly #ownLatency = firstEventLatencies.FirstEventLatency.create();
  /** Whether it reports that it accepts new requests. */
  isReady = true;
  /** Whether its heartbeats have stopped. */
  isSilent = false;
  /** Whether another endpoint answers at its address. */
  isReplaced = false;
  /** Whether its data centre is evacuated. */
  isEvacuated = false;
  /** Time until which it is cold, according to its heartbeats. */
  coldUntil = 0;
  /** Time until which it counts as cold regardless of earlier heartbeats. */
  assumedColdUntil = 0;
  /** Limits while it is cold; absent if endpoints of its service are never
   * cold. */
  cold?: configurations.ColdTraits;
  /** Calls of this host in flight. */
  inFlight = 0;
  /** Those of them that have been silent for their idle timeout. */
  silentCalls = 0;
  /** Time at which it last sent something in a call of this host. */
  heardAt = -Infinity;
  /** Prompt tokens sent by this host that await their first event. */
  backlog = 0;
  /** Moving average of the durations of answered calls, in milliseconds; 0 before
   * the first. */
  meanDuration = 0;
  /** Work of this host's latest calls while its service is uneven, relative to
   * what the endpoint can do. */
  recentWork = 0;
  /** Moving average of the success of calls, from 0 to 1. */
  successRate = 1;
  #consecutiveFailures = 0;
  #ejectionTime = MIN_EJECTION_MS;
  #ejectedUntil = 0;
  #succeededAt = -Infinity;
  #load?: protocols.ReportedLoad;
  #loadReportedAt = -Infinity;
  #delay = 0;
  #delayUpdatedAt = 0;

  private constructor(
    identity: Identity,
    engine?: EngineState,
  ) {
    this.identity = identity;
    this.engine = engine;
  }

  static create(
    identity: Identity,
    engine?: EngineState,
  ): Endpoint {
    return new Endpoint(identity, engine);
  }

  /** Estimate of its prefix cache; undefined for an endpoint without
   * prompts. */
  get cachedPrefixes(): cachedPrefixes.CachedPrefixes | undefined {
    return this.engine?.cachedPrefixes;
  }

  /** Prompt tokens per millisecond that it fetches; undefined if it can't. */
  get fetchRate(): number | undefined {
    return this.engine?.fetchRate;
  }

  get #latency(): firstEventLatencies.FirstEventLatency {
    return this.engine?.firstEventLatency ?? this.#ownLatency;
  }

  /** Work before the first event of a prompt with `tokens` tokens to prefill,
   * from all hosts. */
  pendingWork(tokens: number, now: number): firstEventLatencies.PendingWork {
    const others = this.remoteLoad.total(now);
    return {
      tokens: this.backlog + others.tokens + tokens,
      streams: this.inFlight + others.streams,
    };
  }

  /** Expected milliseconds until that event at the current slowness, without
   * other delays. */
  predictFirstEvent(tokens: number, now: number): number {
    return this.#latency.predict(this.pendingWork(tokens, now)) *
      this.slowness(now);
  }

  /** Milliseconds since the last successful call. */
  sinceSuccess(now: number): number {
    return now - this.#succeededAt;
  }

  /** Whether heartbeats or recent calls show it to be alive. */
  isAlive(now: number): boolean {
    return !this.isSilent || this.sinceSuccess(now) < CALL_LIVENESS_MS;
  }

  /** Whether it is to receive no new calls for as long as it exists or its
   * data centre is evacuated. */
  isClosed(now: number): boolean {
    return this.isEvacuated || this.announcements.isLeaving(now);
  }

  /** Whether new calls may go there, regardless of its health. */
  isAccepting(now: number): boolean {
    return this.isReady && !this.isReplaced && !this.isClosed(now) &&
      this.announcements.backoff(now) === 0;
  }

  /** Milliseconds until the end of a backoff, announced or after rejections,
   * after which it accepts calls; 0 if it does so now or never. */
  backoff(now: number): number {
    if (!this.isReady || this.isReplaced || this.isClosed(now)) return 0;
    return Math.max(this.announcements.backoff(now), this.rejections.left(now));
  }

  /** Whether it accepts calls, is alive and is not to be avoided. */
  isHealthy(now: number): boolean {
    return this.isAccepting(now) && this.isAlive(now) && !this.isAvoided(now);
  }

  /** Whether other endpoints are preferred, since it failed or rejected calls,
   * or sends nothing. */
  isAvoided(now: number): boolean {
    return this.isEjected(now) || this.rejections.left(now) > 0 ||
      this.isUnresponsive(now);
  }

  /** Whether it leaves calls unanswered and has sent nothing in others for some
   * time either. */
  isUnresponsive(now: number): boolean {
    return this.silentCalls > 0 && now - this.heardAt > UNRESPONSIVE_MS;
  }

  /** Requests per second that all hosts together may send while it may be cold;
   * undefined while it is not. */
  coldRate(now: number): number | undefined {
    const isCold = now < Math.max(this.coldUntil, this.assumedColdUntil);
    return isCold ? this.cold?.rate : undefined;
  }

  /** Calls that all hosts together may have in flight there; undefined while it
   * is not brittle. */
  concurrencyLimit(now: number): number | undefined {
    return this.brittleness.isBrittle(now)
      ? Math.max(1, this.identity.slots)
      : undefined;
  }

  /** Treats it as cold: it may have become so since its last heartbeat. */
  assumeCold(now: number): void {
    this.recordCold(this.cold?.time ?? 0, now);
  }

  /** Records that it is cold for `length` milliseconds from now. */
  recordCold(duration: number, now: number): void {
    if (duration > 0) this.assumedColdUntil = now + duration;
  }

  /** Whether it is ejected after consecutive failures. */
  isEjected(now: number): boolean {
    return now < this.#ejectedUntil;
  }

  /** Records the health signal of a call; "full" counts as a success of a
   * healthy endpoint that is avoided for a while. Returns whether the signal
   * ejects the endpoint. */
  recordHealth(signal: HealthSignal, now: number): boolean {
    if (signal === "full") this.rejections.recordRejection(now);
    const isSuccess = signal !== "bad";
    this.successRate += AVERAGE_WEIGHT *
      ((isSuccess ? 1 : 0) - this.successRate);
    if (isSuccess) {
      this.#consecutiveFailures = 0;
      this.#ejectionTime = MIN_EJECTION_MS;
      this.#succeededAt = now;
      return false;
    }
    this.#consecutiveFailures++;
    if (this.#consecutiveFailures < EJECTION_FAILURE_COUNT) return false;
    this.#ejectedUntil = now + this.#ejectionTime;
    this.#ejectionTime = Math.min(MAX_EJECTION_MS, 2 * this.#ejectionTime);
    return true;
  }

  /** Takes back the failure that a silent call counted as, since the call goes
   * on. */
  revokeFailure(now: number): void {
    this.#ejectedUntil = 0;
    this.recordHealth("good", now);
  }

  /** Moves the mean duration towards `lowest`, the lowest of the candidates, when
   * another of them is chosen: only a call shows whether this one is still
   * slower. */
  passOver(lowest: number): void {
    const excess = Math.max(0, this.meanDuration - lowest);
    this.meanDuration -= FORGOTTEN_EXCESS * excess;
  }

  /** Records the duration of an answered call. */
  recordDuration(duration: number): void {
    this.meanDuration += (this.meanDuration === 0 ? 1 : AVERAGE_WEIGHT) *
      (duration - this.meanDuration);
  }

  /** Records how slow an answered call was, apart from its wait there. */
  recordCallSlowness(
    duration: number,
    { wait, now }: {
      /** Expected wait, relative to the work of a call. */
      readonly wait: number;
      readonly now: number;
    },
  ): void {
    if (this.coldRate(now) !== undefined) return;
    const expected = this.serviceDuration.value;
    const work = duration / (1 + wait);
    this.serviceDuration.observe(work / this.lastingSlowness(now));
    if (expected !== undefined) this.recordSlowness(work / expected, now);
  }

  /** Expected wait of a call that is sent now, relative to the work of one. */
  wait(now: number): number {
    return this.waitAt(this.load(now));
  }

  /** The same, if a recent report tells of all hosts' calls there. */
  reportedWait(now: number): number | undefined {
    const age = now - this.#loadReportedAt;
    return age > MAX_LOAD_AGE_MS ? undefined : this.wait(now);
  }

  /** Wait at the load that the endpoint names as it answers: on average, a call
   * leaves as many others behind as it has found. */
  waitAtAnswer({ running, waiting }: protocols.ReportedLoad): number {
    return this.waitAt(running + waiting);
  }

  /** Expected wait, relative to the work of a call, behind `load` calls. */
  waitAt(load: number): number {
    const { slots } = this.identity;
    return Math.max(0, load + 1 - slots) / slots;
  }

  /** Expected milliseconds of a call apart from its wait, by its slowness;
   * undefined while its service is even, or its mean duration unknown. */
  unevenDuration(now: number): number | undefined {
    const { value } = this.serviceDuration;
    return value !== undefined && this.performance.isUneven(now)
      ? value * this.slowness(now)
      : undefined;
  }

  /** Records the load that it reports. */
  recordLoad(load: protocols.ReportedLoad, now: number): void {
    this.#load = load;
    this.#loadReportedAt = now;
  }

  /** Records the slowness that it announces with a load report, if any. */
  recordAnnouncedSlowness(
    load: protocols.ReplyHead["load"],
    now: number,
  ): void {
    if (typeof load !== "object" || load.slowness === undefined) return;
    this.performance.announce(this.identity.id, load.slowness, now);
  }

  /** Its slowness at this moment; 1 while its service is even. */
  slowness(now: number): number {
    return this.performance.slowness(this.identity.id, now);
  }

  /** Its slowness without the momentary deviation. */
  lastingSlowness(now: number): number {
    return this.performance.lasting(this.identity.id, now);
  }

  /** Records that work took `ratio` times the expectation. What it does while it
   * is cold says nothing of its speed. */
  recordSlowness(ratio: number, now: number): void {
    if (this.coldRate(now) !== undefined) return;
    this.performance.observe(this.identity.id, ratio, now);
  }

  /** Ends the record of its performance: calls that are still under way don't
   * count any more. */
  detachPerformance(): void {
    this.performance = NO_PERFORMANCE;
  }

  /** Calls in flight there: this host's, or its recent own report if higher. */
  load(now: number): number {
    if (
      this.#load === undefined || now - this.#loadReportedAt > MAX_LOAD_AGE_MS
    ) {
      return this.inFlight;
    }
    const { running, waiting } = this.#load;
    return Math.max(this.inFlight, running + waiting);
  }

  /** Calls that are still in flight there where one takes `duration`: a queue that
   * it has reported only shrinks as fast as the endpoint works. */
  remainingLoad(now: number, duration: number): number {
    if (this.#load === undefined) return this.inFlight;
    const { running, waiting } = this.#load;
    const age = now - this.#loadReportedAt;
    if (age > MAX_QUEUE_AGE_MS) return this.load(now);
    const done = age * this.identity.slots / duration;
    return Math.max(this.load(now), running + waiting - done);
  }

  /** Records the time to a first event, and its delay beyond the time predicted
   * from the work before it and the slowness, which includes this event: what
   * the slowness explains is not counted twice. */
  recordFirstEvent(
    work: firstEventLatencies.PendingWork,
    { took, now, isFetched = false }: FirstEventTiming,
  ): void {
    const predicted = this.#latency.predict(work);
    const lasting = this.lastingSlowness(now);
    // The time of a fetch depends on another engine. Without a free slot, the
    // prompt waited until a stream ended, which the model does not predict.
    const isComparable = !isFetched && this.coldRate(now) === undefined &&
      work.streams < this.identity.slots;
    if (isComparable) this.#compareFirstEvent(work, { took, now });
    this.#latency.observe(work, took / lasting);
    const delay = took - predicted * this.slowness(now);
    this.#delay = (this.firstEventDelay(now) + Math.max(0, delay)) / 2;
    this.#delayUpdatedAt = now;
  }

  #compareFirstEvent(
    work: firstEventLatencies.PendingWork,
    { took, now }: FirstEventTiming,
  ): void {
    const slowness = this.lastingSlowness(now);
    const ratio = this.#latency.compare(work, { elapsed: took, slowness });
    if (ratio !== undefined) this.recordSlowness(ratio, now);
  }

  /** Records the mean gap between events of a stream; returns it relative to the
   * mean gap of the service, or undefined if that is unknown. */
  recordGap(gap: number, now: number): number | undefined {
    if (this.engine === undefined || gap <= 0) return undefined;
    if (this.coldRate(now) !== undefined) return undefined;
    const { eventGap } = this.engine;
    const { value: mean } = eventGap;
    eventGap.observe(gap / this.lastingSlowness(now));
    if (mean === undefined) return undefined;
    this.recordSlowness(gap / mean, now);
    return gap / mean;
  }

  /** Recent delay of first events beyond their prediction, in milliseconds. */
  firstEventDelay(now: number): number {
    return this.#delay *
      0.5 ** ((now - this.#delayUpdatedAt) / DELAY_HALF_LIFE_MS);
  }
}
