/** Overlay network of the hosts: each host monitors its successor in several
 * rings, each a different pseudo-random order of the hosts. The number of links
 * per host grows with the logarithm of the number of hosts; a host that joins
 * or leaves changes one link per ring.
 * @module */

import * as hash from "./hash.ts";

/** Returns the number of rings for a number of hosts. */
export function count(hosts: number): number {
  return Math.max(2, Math.ceil(Math.log2(Math.max(2, hosts)) / 2));
}

/** Returns the hosts that `id` monitors: its successor in each ring. */
export function subjects(id: string, ids: readonly string[]): string[] {
  return unique(linksOf(id, ids).map((link) => link.successor));
}

/** Returns the hosts that monitor `id`: its predecessor in each ring. */
export function observers(id: string, ids: readonly string[]): string[] {
  return unique(linksOf(id, ids).map((link) => link.predecessor));
}

/** Returns the hosts that `id` sends updates to: its subjects and observers. */
export function neighbours(id: string, ids: readonly string[]): string[] {
  return unique(
    linksOf(id, ids).flatMap((link) => [link.successor, link.predecessor]),
  );
}

interface RingLinks {
  successor: string;
  predecessor: string;
}

function linksOf(id: string, ids: readonly string[]): RingLinks[] {
  const others = ids.filter((other) => other !== id);
  if (others.length === 0) return [];
  const idHash = hash.text(id);
  const hashes = others.map(hash.text);
  const rings = count(ids.length);
  return Array.from({ length: rings }, (_, ring) => {
    const base = hash.mix(idHash, ring);
    const distances = hashes.map((other) =>
      (hash.mix(other, ring) - base) >>> 0
    );
    return {
      successor: others[indexOfLowest(distances)],
      predecessor: others[indexOfHighest(distances)],
    };
  });
}

function indexOfLowest(distances: readonly number[]): number {
  return distances.reduce(
    (best, distance, pos) => distance < distances[best] ? pos : best,
    0,
  );
}

function indexOfHighest(distances: readonly number[]): number {
  return distances.reduce(
    (best, distance, pos) => distance > distances[best] ? pos : best,
    0,
  );
}

function unique(ids: readonly string[]): string[] {
  return [...new Set(ids)];
}
