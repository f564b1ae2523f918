/** Overlay of hosts: each host watches its successor in several rings, whose
 * orders are unrelated. The number of links per host grows with the logarithm
 * of the number of hosts; a host that comes or goes moves one link per ring.
 * @module */

import * as hash from "./hash.ts";

/** Rings used for `hosts` hosts. */
export function count(hosts: number): number {
  return Math.max(2, Math.ceil(Math.log2(Math.max(2, hosts)) / 2));
}

/** Hosts that `id` watches: its successor in each ring. */
export function subjects(id: string, ids: readonly string[]): string[] {
  return unique(ends(id, ids).map((end) => end.after));
}

/** Hosts that watch `id`: its predecessor in each ring. */
export function observers(id: string, ids: readonly string[]): string[] {
  return unique(ends(id, ids).map((end) => end.before));
}

/** Hosts that `id` passes news to: both of the above. */
export function neighbours(id: string, ids: readonly string[]): string[] {
  return unique(ends(id, ids).flatMap((end) => [end.after, end.before]));
}

interface Ends {
  after: string;
  before: string;
}

function ends(id: string, ids: readonly string[]): Ends[] {
  const others = ids.filter((other) => other !== id);
  if (others.length === 0) return [];
  const own = hash.text(id);
  const hashes = others.map(hash.text);
  const rings = count(ids.length);
  return Array.from({ length: rings }, (_, ring) => {
    const base = hash.mix(own, ring);
    const gaps = hashes.map((other) => (hash.mix(other, ring) - base) >>> 0);
    return { after: others[lowest(gaps)], before: others[highest(gaps)] };
  });
}

function lowest(gaps: readonly number[]): number {
  return gaps.reduce((best, gap, pos) => gap < gaps[best] ? pos : best, 0);
}

function highest(gaps: readonly number[]): number {
  return gaps.reduce((best, gap, pos) => gap > gaps[best] ? pos : best, 0);
}

function unique(ids: readonly string[]): string[] {
  return [...new Set(ids)];
}
