/** Groups of endpoints as measurements of routing need them.
 * @module */

import type * as event from "../../src/request/mod.ts";
import * as routing from "../../src/routing/mod.ts";
import * as runtime from "../../src/runtime/mod.ts";

/** Calls that an engine runs side by side. */
export const SLOTS = 8;
/** Data centres that the endpoints are spread over. */
const DATA_CENTRES = ["here", "there", "yonder"];
/** Blocks of the prompts, 256 characters each. */
const BLOCKS = 40;

/** An engine. */
export function endpoint(pos: number): event.Endpoint {
  return {
    id: `engine-${pos}`,
    service: "lm",
    kind: "engine",
    dataCentre: DATA_CENTRES[pos % DATA_CENTRES.length],
    slots: SLOTS,
    role: "both",
    state: "ready",
  };
}

/** Prefix hashes of a prompt: four in five blocks are its family's. */
export function prompt(family: number, member: number): string[] {
  return Array.from({ length: BLOCKS }, (_, pos) => {
    const name = pos < 0.8 * BLOCKS ? `${family}` : `${family}.${member}`;
    return `${name}:${pos}`.padStart(16, "0");
  });
}

/** A call with a prompt. */
export function call(prefix: readonly string[]): routing.endpointChoice.Call {
  return {
    work: 1000,
    prefill: 400,
    prefix,
    role: "both",
    avoid: [],
    probe: true,
  };
}

/** A group of `size` engines with 70% of their slots in use, a third of that
 * by this host. */
export function group(size: number): routing.endpointGroup.EndpointGroup {
  const random = runtime.createRandom(size);
  const one = routing.endpointGroup.EndpointGroup.create({
    dataCentre: "here",
    random,
  });
  for (let pos = 0; pos < size; pos++) one.upsert(endpoint(pos));
  for (const id of one.ids()) {
    const running = Math.floor(0.35 * SLOTS + random.below(5));
    one.reportLoad(id, { running, waiting: 0, kvUsed: 0.5, at: 0 }, 0);
    const own = random.below(4);
    for (let count = 0; count < own; count++) one.startCall(id, [], 1);
    one.outliers.observe(id, { ok: true, slowness: 1 }, 1);
  }
  return one;
}

/** The naive twin: weighs every endpoint. */
export function scan(
  from: routing.endpointGroup.EndpointGroup,
  wanted: routing.endpointChoice.Call,
  now: number,
): string | undefined {
  let best: string | undefined;
  let least = Infinity;
  for (const id of from.ids()) {
    const member = from.member(id);
    if (member === undefined || member.pool === undefined) continue;
    if (!from.updateAvailability(member, now)) continue;
    if (from.outliers.weight(id, now) === 0) continue;
    const finish = routing.finishTime.predict({
      latency: member.pool.latency,
      work: wanted.work,
      saved: 0,
      load: from.predictLoad(member, now),
      slots: member.endpoint.slots,
      service: from.meanServiceTime || wanted.work,
      slowness: from.outliers.slowness(id),
      kvUsed: member.kvUsed,
    });
    if (finish < least) {
      least = finish;
      best = id;
    }
  }
  return best;
}
