/** An endpoint as one host sees it through its own calls.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import * as remoteLoads from "./remote_load.ts";
import * as firstEvents from "./first_event_latency.ts";
import type * as promptMemory from "./cached_prefixes.ts";
import type * as protocol from "./protocol.ts";

/** Part of a new value in a running mean of about ten values. */
const GAIN = 0.1;
/** Failures in a row after which an endpoint is left alone for a while. */
const FAILURES = 3;
/** Milliseconds of the first such while; it doubles up to the last. */
const FIRST_REST = 500;
const LAST_REST = 8000;
/** Milliseconds for which a reported load counts: a few calls at most. */
const LOAD_AGE = 500;
/** Milliseconds over which a measured delay loses half of its weight. */
const DELAY_HALF = 1500;

/** Milliseconds for which an endpoint without heartbeats counts as there when
 * its calls go well: heartbeats may be cut off where calls are not. */
const TRUSTED = 5000;

/** Who and where an endpoint is. */
export interface Identity {
  /** One incarnation of it: all that a host believes of an endpoint from its
   * own calls is kept by this, and ends with it. */
  readonly id: string;
  /** What it calls itself, through all its incarnations. */
  readonly name: string;
  readonly service: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
}

/** What is known of an engine beside its calls, by its service. */
export interface EngineState {
  /** Prompt tokens that it fetches in a millisecond from another engine's
   * memory; absent where it fetches none. */
  readonly fetchRate?: number;
  /** What it has read. */
  readonly cachedPrefixes: promptMemory.CachedPrefixes;
  /** How long engines of its service take to a first event. */
  readonly firstEventLatency: firstEvents.FirstEventLatency;
}

/** Milliseconds that something took, and when it came. */
export interface FirstEventTiming {
  readonly took: number;
  readonly now: number;
}

/** How a call ended, as far as its endpoint is to be judged by it. */
export type HealthSignal = "good" | "bad" | "full";

/** One endpoint; changed in place. */
export class Endpoint {
  readonly identity: Identity;
  /** Undefined while its service is not known to be one of engines: it may be
   * heard before the configuration is. */
  engine?: EngineState;
  /** What other hosts have it do. */
  readonly remoteLoad = remoteLoads.RemoteLoad.create();
  /** Its own first events, while it shares none with its service. */
  readonly #ownFirstEvent = firstEvents.FirstEventLatency.create();
  /** Whether it takes new requests, by its own word. */
  isReady = true;
  /** Whether its heartbeats have stopped. */
  isSilent = false;
  /** Another endpoint has its address. */
  isReplaced = false;
  /** Its data centre is evacuated. */
  isEvacuated = false;
  /** Until when it is cold, as its heartbeats say. */
  coldUntil = 0;
  /** Until when it may be cold, whatever its heartbeats said before. */
  assumedColdUntil = 0;
  /** What it bears while it is cold; absent where its service never is. */
  cold?: configurations.ColdTraits;
  /** Calls of this host under way. */
  inFlight = 0;
  /** Prompt tokens sent by this host whose first event has not come. */
  backlog = 0;
  /** Mean of the times of good calls. */
  meanDuration = 0;
  /** Part of the calls that went well, lately. */
  successRate = 1;
  #failures = 0;
  #rest = FIRST_REST;
  #restUntil = 0;
  #goodAt = -Infinity;
  #load?: protocol.ReportedLoad;
  #loadAt = -Infinity;
  #delay = 0;
  #delayAt = 0;

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

  /** What it has read, for an engine. */
  get cachedPrefixes(): promptMemory.CachedPrefixes | undefined {
    return this.engine?.cachedPrefixes;
  }

  /** Prompt tokens that it fetches in a millisecond, where it fetches any. */
  get fetchRate(): number | undefined {
    return this.engine?.fetchRate;
  }

  get #firstEvent(): firstEvents.FirstEventLatency {
    return this.engine?.firstEventLatency ?? this.#ownFirstEvent;
  }

  /** What it has to do before the first event of a prompt of which it must read
   * so many tokens. */
  pendingWork(tokens: number, now: number): firstEvents.PendingWork {
    const others = this.remoteLoad.total(now);
    return {
      tokens: this.backlog + others.tokens + tokens,
      streams: this.inFlight + others.streams,
    };
  }

  /** Milliseconds after which it should give that event, if nothing else delays
   * it. */
  predictFirstEvent(tokens: number, now: number): number {
    return this.#firstEvent.predict(this.pendingWork(tokens, now));
  }

  /** Milliseconds since its last good answer. */
  sinceSuccess(now: number): number {
    return now - this.#goodAt;
  }

  /** Whether it is there, by its heartbeats or by its calls. */
  isAlive(now: number): boolean {
    return !this.isSilent || this.sinceSuccess(now) < TRUSTED;
  }

  /** Whether new calls may go there, be it well or not. */
  get isAccepting(): boolean {
    return this.isReady && !this.isReplaced && !this.isEvacuated;
  }

  /** Whether it takes calls and nothing speaks against it. */
  isHealthy(now: number): boolean {
    return this.isAccepting && this.isAlive(now) && !this.isEjected(now);
  }

  /** Requests a second that all hosts together may send there, where it may be
   * cold; undefined where it is not. */
  coldRate(now: number): number | undefined {
    const isCold = now < Math.max(this.coldUntil, this.assumedColdUntil);
    return isCold ? this.cold?.rate : undefined;
  }

  /** Takes it for cold: it may have become so since its last heartbeat. */
  assumeCold(now: number): void {
    this.recordCold(this.cold?.time ?? 0, now);
  }

  /** Notes that it is cold for so many milliseconds from now on. */
  recordCold(length: number, now: number): void {
    if (length > 0) this.assumedColdUntil = now + length;
  }

  /** Whether it is left alone for now. */
  isEjected(now: number): boolean {
    return now < this.#restUntil;
  }

  /** Judges it by a call. `full` says that it lives and is busy. */
  recordHealth(verdict: HealthSignal, now: number): void {
    const isGood = verdict !== "bad";
    this.successRate += GAIN * ((isGood ? 1 : 0) - this.successRate);
    if (isGood) {
      this.#failures = 0;
      this.#rest = FIRST_REST;
      this.#goodAt = now;
      return;
    }
    this.#failures++;
    if (this.#failures < FAILURES) return;
    this.#restUntil = now + this.#rest;
    this.#rest = Math.min(LAST_REST, 2 * this.#rest);
  }

  /** Notes how long a good call took. */
  recordDuration(duration: number): void {
    this.meanDuration += (this.meanDuration === 0 ? 1 : GAIN) *
      (duration - this.meanDuration);
  }

  /** Notes the load that it has reported. */
  recordLoad(load: protocol.ReportedLoad, now: number): void {
    this.#load = load;
    this.#loadAt = now;
  }

  /** Calls under way there: this host's, or more where it says so. */
  load(now: number): number {
    if (this.#load === undefined || now - this.#loadAt > LOAD_AGE) {
      return this.inFlight;
    }
    const { running, waiting } = this.#load;
    return Math.max(this.inFlight, running + waiting);
  }

  /** Notes how long a first event took, and by how much that is more than the
   * work before it explains. */
  recordFirstEvent(
    work: firstEvents.PendingWork,
    { took, now }: FirstEventTiming,
  ): void {
    const delay = took - this.#firstEvent.predict(work);
    this.#firstEvent.observe(work, took);
    this.#delay = (this.firstEventDelay(now) + Math.max(0, delay)) / 2;
    this.#delayAt = now;
  }

  /** Milliseconds that a first event is late by, as lately seen. */
  firstEventDelay(now: number): number {
    return this.#delay * 0.5 ** ((now - this.#delayAt) / DELAY_HALF);
  }
}
