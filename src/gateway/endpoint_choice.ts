/** Load balancing: chooses the endpoint of a call from the expected latency and
 * the health of each.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as endpoints from "./endpoint.ts";
import type * as protocols from "./protocol.ts";
import type * as firstEventLatencies from "./first_event_latency.ts";
import * as cacheMisses from "./cache_miss.ts";

/** Part of the prefill time saved by a fetch that is added to the cost of an
 * engine that fetches: a fetch has a cost of its own, and the parts may no
 * longer be in the other engine's cache. In bursts .1 lowers the value served
 * by .011 and .6 by .005; with faults .1 and .3 serve the same and .6 serves
 * .015 more. */
const FETCH_COST_RATIO = 0.3;
/** Random milliseconds added to each engine's cost, so that engines that differ
 * by less share the load. */
const TIE_BREAK_MS = 10;
/** Additional milliseconds of a call to another data centre. */
const REMOTE_LATENCY_MS = 3;
/** Mean milliseconds of a call while no endpoint has answered one. */
const UNKNOWN_DURATION_MS = 1;
/** Milliseconds by which an engine must be better than the planned one, near
 * which the stages ran: its inputs may have to cross data centres. */
const MOVE_COST_MS = 30;
/** Milliseconds of delay for each request beyond an engine's slots: it queues
 * until a stream ends. */
const QUEUE_DELAY_MS = 1000;
/** Cost of an endpoint of an uneven service for its part in this host's latest
 * calls, in calls: the cost of an even part. Hosts that each know little of the
 * load need a high one, or many of them choose the same endpoint. */
const RECENT_WORK_COST = 12;
/** Largest random cost there, in calls, so that hosts don't choose in step. */
const UNEVEN_JITTER = 1.5;
/** Exponent of the success rate by which an endpoint's cost is divided. */
const HEALTH_EXPONENT = 3;

/** Inputs of a choice beside the candidates. */
export interface ChoiceContext {
  readonly now: number;
  readonly random: runtime.Random;
  /** Data centre of this host. */
  readonly dataCentre: string;
}

/** Inputs of the choice of an engine beside the candidates. */
export interface EngineChoiceContext extends ChoiceContext {
  /** Engine that was chosen when the request arrived; its stages ran near
   * it. */
  readonly planned?: endpoints.Endpoint;
  /** Ids of the engines already called for the request; those that did not
   * reject the call are called again if there is no other. */
  readonly tried?: readonly string[];
}

/** A chosen engine, and its expected milliseconds to the first event. */
export interface EngineChoice {
  readonly engine: endpoints.Endpoint;
  readonly firstEventTime: number;
  /** Its slowness by which that time was predicted. */
  readonly slowness: number;
  /** Prompt tokens missing from its prefix cache. */
  readonly cacheMiss: cacheMisses.CacheMiss;
  /** Its work before that event, this prompt included. */
  readonly pendingWork: firstEventLatencies.PendingWork;
}

/** Chooses the endpoint of a call without a prompt: the one with the earliest
 * expected answer. */
export function chooseEndpoint(
  candidates: readonly endpoints.Endpoint[],
  context: ChoiceContext,
): endpoints.Endpoint | undefined {
  const isUneven = candidates.every((each) =>
    each.unevenDuration(context.now) !== undefined
  );
  const lowest = lowestDuration(candidates);
  const chosen = isUneven
    ? chooseUneven(candidates, context)
    : chooseEven(candidates, { ...context, lowest });
  candidates.forEach((each) => each !== chosen && each.passOver(lowest));
  return chosen;
}

/** Lowest known mean duration; `UNKNOWN_DURATION_MS` if none is known. */
function lowestDuration(candidates: readonly endpoints.Endpoint[]): number {
  const known = candidates
    .map(({ meanDuration }) => meanDuration)
    .filter((duration) => duration > 0);
  return known.length > 0 ? Math.min(...known) : UNKNOWN_DURATION_MS;
}

/** An endpoint that has not answered yet counts as fast as the fastest: only a
 * call shows how fast it is. */
function chooseEven(
  candidates: readonly endpoints.Endpoint[],
  { now, random, dataCentre, lowest }: ChoiceContext & {
    readonly lowest: number;
  },
): endpoints.Endpoint | undefined {
  return minBy(candidates, (each) => {
    const duration = each.meanDuration || lowest;
    const utilization = each.load(now) / each.identity.slots;
    const time = duration * (1 + each.wait(now) + utilization) +
      networkTime(each, dataCentre);
    return time / healthFactor(each) + random.next() * REMOTE_LATENCY_MS;
  });
}

/** Chooses among endpoints of different speeds. Their load is known only as far
 * as this host calls them, and all hosts know the same speeds: without more,
 * many hosts would choose the fastest endpoint together. So an endpoint also
 * costs more the more of this host's latest calls it got, for what it can do. */
function chooseUneven(
  candidates: readonly endpoints.Endpoint[],
  { now, random, dataCentre }: ChoiceContext,
): endpoints.Endpoint | undefined {
  const { length } = candidates;
  const mean = candidates.reduce((sum, { recentWork }) => sum + recentWork, 0) /
    length;
  const chosen = minBy(candidates, (each) => {
    const recentWork = mean > 0 ? each.recentWork / mean : 0;
    const duration = each.unevenDuration(now)!;
    const load = each.remainingLoad(now, duration);
    const factor = 1 + each.waitAt(load) + load / each.identity.slots +
      RECENT_WORK_COST * recentWork + random.next() * UNEVEN_JITTER;
    const time = duration * factor + networkTime(each, dataCentre);
    return time / healthFactor(each);
  });
  candidates.forEach((each) => each.recentWork *= 1 - 1 / length);
  if (chosen !== undefined) {
    chosen.recentWork += chosen.lastingSlowness(now) / chosen.identity.slots;
  }
  return chosen;
}

function networkTime(
  { identity }: endpoints.Endpoint,
  dataCentre: string,
): number {
  return identity.dataCentre === dataCentre ? 0 : REMOTE_LATENCY_MS;
}

function healthFactor({ successRate }: endpoints.Endpoint): number {
  return Math.max(0.01, successRate ** HEALTH_EXPONENT);
}

/** Chooses the engine of a prompt: the one with the earliest expected first
 * event, given its prefix cache, its queue and its running streams. */
export function chooseEngine(
  engines: readonly endpoints.Endpoint[],
  prompt: protocols.Prompt,
  { now, random, planned, tried = [] }: EngineChoiceContext,
): EngineChoice | undefined {
  const misses = cacheMisses.CacheMisses.of(engines, prompt);
  const untried = engines.filter(({ identity }) =>
    !tried.includes(identity.id)
  );
  const candidates = untried.length > 0
    ? untried
    : engines.filter((each) => each.rejections.left(now) === 0);
  const engine = minBy(candidates, (each) => {
    const miss = misses.at(each);
    const time = firstEventTime(each, miss, now) + fetchCost(each, miss, now);
    const moveCost = planned === undefined || planned === each
      ? 0
      : MOVE_COST_MS;
    const streams = each.inFlight + each.remoteLoad.total(now).streams;
    // A slow engine with all slots taken exceeds the gaps that callers want.
    const slots = each.identity.slots / Math.max(1, each.slowness(now));
    const overflow = Math.max(0, streams + 1 - slots);
    return (time + moveCost + random.next() * TIE_BREAK_MS) /
        Math.max(0.01, each.successRate ** HEALTH_EXPONENT) +
      overflow * QUEUE_DELAY_MS;
  });
  if (engine === undefined) return undefined;
  const cacheMiss = misses.at(engine);
  return {
    engine,
    firstEventTime: firstEventTime(engine, cacheMiss, now),
    slowness: engine.slowness(now),
    cacheMiss,
    pendingWork: engine.pendingWork(cacheMiss.prefillTokens, now),
  };
}

/** Expected milliseconds until an engine's first event for a prompt. */
function firstEventTime(
  engine: endpoints.Endpoint,
  { prefillTokens, fetchTime }: cacheMisses.CacheMiss,
  now: number,
): number {
  return engine.predictFirstEvent(prefillTokens, now) + fetchTime +
    engine.firstEventDelay(now);
}

/** Milliseconds added to the cost of an engine that fetches. */
function fetchCost(
  engine: endpoints.Endpoint,
  { prefillTokens, fetchTokens }: cacheMisses.CacheMiss,
  now: number,
): number {
  if (fetchTokens === 0) return 0;
  const withoutFetch = engine.predictFirstEvent(
    prefillTokens + fetchTokens,
    now,
  );
  return FETCH_COST_RATIO *
    (withoutFetch - engine.predictFirstEvent(prefillTokens, now));
}

function minBy<T>(
  items: readonly T[],
  cost: (item: T) => number,
): T | undefined {
  let best: T | undefined;
  let lowest = Infinity;
  for (const item of items) {
    const value = cost(item);
    if (value >= lowest) continue;
    best = item;
    lowest = value;
  }
  return best;
}
