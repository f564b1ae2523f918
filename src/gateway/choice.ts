/** Which endpoint a call goes to.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as endpoint from "./endpoint.ts";
import type * as protocol from "./protocol.ts";
import * as rendezvous from "./rendezvous.ts";

/** Part of a prompt's shared parts that the engine which they belong to must
 * likely still read, when this host has not sent them there itself. */
const HOME_SHARE = 0.4;
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
export interface Situation {
  readonly now: number;
  readonly random: runtime.Random;
  /** Data centre of this host. */
  readonly dataCentre: string;
}

/** What the choice of an engine goes by. */
export interface EngineSituation extends Situation {
  /** The engine that was meant when the request came: its stages were made
   * near it. */
  readonly planned?: endpoint.Endpoint;
}

/** An engine, and how many milliseconds its first event is expected to take. */
export interface EngineChoice {
  readonly engine: endpoint.Endpoint;
  readonly firstEvent: number;
}

/** Endpoint for a plain call: the one that should answer first. */
export function choosePlain(
  candidates: readonly endpoint.Endpoint[],
  { now, random, dataCentre }: Situation,
): endpoint.Endpoint | undefined {
  return least(candidates, (each) => {
    const { slots, dataCentre: place } = each.identity;
    const work = each.duration || 1;
    const queue = Math.max(0, each.load(now) + 1 - slots) / slots;
    const busy = each.load(now) / slots;
    const far = place === dataCentre ? 0 : FAR;
    const time = work * (1 + queue + busy) + far;
    return time / Math.max(0.01, each.health ** HEALTH_POWER) +
      random.next() * FAR;
  });
}

/** Engine for a prompt: the one with the earliest first token, given what each
 * has read, what waits there and what else runs there. */
export function chooseEngine(
  candidates: readonly endpoint.Endpoint[],
  prompt: protocol.Prompt,
  { now, random, planned }: EngineSituation,
): EngineChoice | undefined {
  const home = homeOf(candidates, prompt);
  const engine = least(candidates, (each) => {
    const time = firstEvent(each, prompt, { now, home });
    const moved = planned === undefined || planned === each ? 0 : MOVED;
    const streams = each.inFlight + each.elsewhere.sum(now).streams;
    const full = Math.max(0, streams + 1 - each.identity.slots);
    return (time + moved + random.next() * NEAR) /
        Math.max(0.01, each.health ** HEALTH_POWER) + full * FULL_DELAY;
  });
  if (engine === undefined) return undefined;
  return { engine, firstEvent: firstEvent(engine, prompt, { now, home }) };
}

/** Milliseconds until an engine's first event for a prompt. */
function firstEvent(
  engine: endpoint.Endpoint,
  prompt: protocol.Prompt,
  { now, home }: { now: number; home?: string },
): number {
  const read = unread(engine, prompt, home);
  return engine.expectFirst(read, now) + engine.delay(now);
}

/** Tokens that an engine must read, as far as is known. */
export function unread(
  engine: endpoint.Endpoint,
  prompt: protocol.Prompt,
  home?: string,
): number {
  const known = engine.memory?.known(prompt) ?? 0;
  const open = Math.max(0, prompt.inputTokens - known);
  if (engine.identity.name !== home) return open;
  const own = prompt.parts.at(-1)?.tokens ?? 0;
  const shared = Math.max(0, open - own);
  return open - shared * (1 - HOME_SHARE);
}

/** Name of the engine that the shared parts of a prompt belong to, on all
 * hosts: one that starts again has read nothing and is their home again. */
export function homeOf(
  candidates: readonly endpoint.Endpoint[],
  { parts }: protocol.Prompt,
): string | undefined {
  const shared = parts.at(-2) ?? parts.at(-1);
  if (shared === undefined) return undefined;
  const names = candidates.map(({ identity }) => identity.name);
  return rendezvous.rank(shared.id, names)[0];
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
