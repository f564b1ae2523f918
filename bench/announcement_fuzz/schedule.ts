/** Drawn schedules of endpoints that reject calls, leave and start again.
 * @module */

import type * as runtime from "../../src/runtime/mod.ts";

/** Duration of a run, in milliseconds. */
export const LENGTH_MS = 25_000;
/** Share of the endpoints of a service that have a trouble at most. */
const MAX_TROUBLED_RATIO = 0.4;
/** Values of `Retry-After`, in seconds; some cannot be parsed. */
const RETRY_DELAYS = [undefined, ".7", "2", "3", "5", "0", "soon", "-1"];

/** A time in which all calls are rejected. */
export interface RejectionPeriod {
  readonly from: number;
  readonly until: number;
  readonly retryAfter?: string;
}

/** One incarnation of an endpoint. */
export interface Incarnation {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly startsAt: number;
  /** From when its answers announce its departure. */
  readonly leavesAt: number;
  /** From when control hosts know of the departure. */
  readonly knownAt: number;
  readonly endsAt: number;
  readonly rejections: readonly RejectionPeriod[];
}

/** Draws the incarnations of a service's endpoints. */
export function drawService(
  service: string,
  random: runtime.Random,
): Incarnation[] {
  const count = 5 + random.below(8);
  const troubled = Math.floor(MAX_TROUBLED_RATIO * count);
  return Array.from({ length: count }, (_, number) => {
    const address = `${service}-${number}`;
    if (number >= troubled) return [sound(service, address, 0)];
    return random.next() < 0.5
      ? [drawRejecting(service, { address, random })]
      : drawLeaving(service, { address, random });
  }).flat();
}

function sound(service: string, address: string, at: number): Incarnation {
  return {
    id: `${address}@${Math.round(at)}`,
    service,
    address,
    startsAt: at,
    leavesAt: Infinity,
    knownAt: Infinity,
    endsAt: Infinity,
    rejections: [],
  };
}

interface Draw {
  readonly address: string;
  readonly random: runtime.Random;
}

function drawRejecting(
  service: string,
  { address, random }: Draw,
): Incarnation {
  const rejections: RejectionPeriod[] = [];
  for (let from = 1000 + random.next() * 6000; from < LENGTH_MS;) {
    const until = from + 500 + random.next() * 9000;
    const retryAfter = RETRY_DELAYS[random.below(RETRY_DELAYS.length)];
    rejections.push({ from, until, retryAfter });
    from = until + random.next() * 8000;
  }
  return { ...sound(service, address, 0), rejections };
}

/** An endpoint that leaves; some have a successor at their address. */
function drawLeaving(
  service: string,
  { address, random }: Draw,
): Incarnation[] {
  const leavesAt = 1000 + random.next() * 15_000;
  const endsAt = leavesAt + 4000 + random.next() * 8000;
  const knownAt = random.next() < 0.3
    ? endsAt
    : leavesAt + random.next() * 5000;
  const first = { ...sound(service, address, 0), leavesAt, knownAt, endsAt };
  if (random.next() < 0.5) return [first];
  return [first, sound(service, address, endsAt + 500)];
}
