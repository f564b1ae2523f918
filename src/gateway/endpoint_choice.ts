/** Which endpoint a call goes to.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as endpoint from "./endpoint.ts";
import type * as protocol from "./protocol.ts";
import type * as firstEvents from "./first_event_latency.ts";
import * as lacks from "./cache_miss.ts";

/** Part of the time of reading that a fetch counts for beside its own: it is
 * paid for, and what was believed of the other engine may be gone. In simulated
 * bursts .1 serves .011 less of the worth, .6 .005 less; with faults .1 and .3
 * are alike, and .6 serves .015 more. */
const FETCH_SHARE = 0.3;
/** Milliseconds within which engines count as equal; chance decides. */
const NEAR = 10;
/** Milliseconds that a call in another data centre takes longer. */
const FAR = 3;
/** Milliseconds by which another engine must be better than the one that the
 * stages were made near: results then cross data centres. */
const MOVED = 30;
/** Milliseconds for each request beyond an engine's slots: it waits for the end
 * of a stream. */
const FULL_DELAY = 1000;
/** Power by which failures lower an endpoint's chance. */
const HEALTH_POWER = 3;

/** What a choice goes by. */
export interface ChoiceContext {
  readonly now: number;
  readonly random: runtime.Random;
  /** Data centre of this host. */
  readonly dataCentre: string;
}

/** What the choice of an engine goes by. */
export interface EngineChoiceContext extends ChoiceContext {
  /** The engine that was meant when the request came: its stages were made
   * near it. */
  readonly planned?: endpoint.Endpoint;
  /** Engines that were called for the request before, by their ids; only where
   * there is no other one they are called again. */
  readonly tried?: readonly string[];
}

/** An engine, and how many milliseconds its first event is expected to take. */
export interface EngineChoice {
  readonly engine: endpoint.Endpoint;
  readonly firstEventTime: number;
  /** What it lacks of the prompt. */
  readonly cacheMiss: lacks.CacheMiss;
  /** All that it has to do before that event. */
  readonly pendingWork: firstEvents.PendingWork;
}

/** Endpoint for a plain call: the one that should answer first. */
export function chooseEndpoint(
  candidates: readonly endpoint.Endpoint[],
  { now, random, dataCentre }: ChoiceContext,
): endpoint.Endpoint | undefined {
  return least(candidates, (each) => {
    const { slots, dataCentre: place } = each.identity;
    const work = each.meanDuration || 1;
    const queue = Math.max(0, each.load(now) + 1 - slots) / slots;
    const busy = each.load(now) / slots;
    const far = place === dataCentre ? 0 : FAR;
    const time = work * (1 + queue + busy) + far;
    return time / Math.max(0.01, each.successRate ** HEALTH_POWER) +
      random.next() * FAR;
  });
}

/** Engine for a prompt: the one with the earliest first token, given what each
 * has read, what waits there and what else runs there. */
export function chooseEngine(
  engines: readonly endpoint.Endpoint[],
  prompt: protocol.Prompt,
  { now, random, planned, tried = [] }: EngineChoiceContext,
): EngineChoice | undefined {
  const lacking = lacks.CacheMisses.of(engines, prompt);
  const fresh = engines.filter(({ identity }) => !tried.includes(identity.id));
  const engine = least(fresh.length > 0 ? fresh : engines, (each) => {
    const lack = lacking.at(each);
    const time = firstEvent(each, lack, now) + paidFor(each, lack, now);
    const moved = planned === undefined || planned === each ? 0 : MOVED;
    const streams = each.inFlight + each.remoteLoad.total(now).streams;
    const full = Math.max(0, streams + 1 - each.identity.slots);
    return (time + moved + random.next() * NEAR) /
        Math.max(0.01, each.successRate ** HEALTH_POWER) + full * FULL_DELAY;
  });
  if (engine === undefined) return undefined;
  const lack = lacking.at(engine);
  return {
    engine,
    firstEventTime: firstEvent(engine, lack, now),
    cacheMiss: lack,
    pendingWork: engine.pendingWork(lack.prefillTokens, now),
  };
}

/** Milliseconds until an engine's first event for a prompt. */
function firstEvent(
  engine: endpoint.Endpoint,
  { prefillTokens: read, fetchTime }: lacks.CacheMiss,
  now: number,
): number {
  return engine.predictFirstEvent(read, now) + fetchTime +
    engine.firstEventDelay(now);
}

/** Milliseconds that a fetch counts for in a choice. */
function paidFor(
  engine: endpoint.Endpoint,
  { prefillTokens: read, fetchTokens: fetched }: lacks.CacheMiss,
  now: number,
): number {
  if (fetched === 0) return 0;
  const asRead = engine.predictFirstEvent(read + fetched, now);
  return FETCH_SHARE * (asRead - engine.predictFirstEvent(read, now));
}

function least<T>(
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
