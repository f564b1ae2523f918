/** Anti-entropy between two replicas of a digest map: they exchange the hashes
 * of all groups, then of the buckets in differing groups, then the entries of
 * differing buckets.
 * @module */

import * as digestMap from "./digest_map.ts";

/** Hashes of all groups, or of the buckets of one group. */
export interface Compare {
  type: "compare";
  group?: number;
  hashes: string[];
}

/** All entries that the sender has in some buckets. */
export interface Entries<T> {
  type: "entries";
  buckets: number[];
  news: T[];
  reply: boolean;
}

/** How entries are compared and sent. */
export interface SyncOptions<T> {
  /** Above 0 if `left` supersedes `right`. */
  compare(left: T, right: T): number;
  /** Whether a host that does not have the entry needs it. */
  isLive(entry: T): boolean;
  /** Maximum number of entries in one message, unless one bucket has more. */
  maxEntries: number;
}

type Map<T extends digestMap.Entry> = digestMap.DigestMap<T>;

/** Returns the first message of a comparison. */
export function firstMessage<T extends digestMap.Entry>(map: Map<T>): Compare {
  return { type: "compare", hashes: map.hashes() };
}

/** Returns the answer to hashes: bucket hashes of the groups that differ, or
 * the entries of the buckets that differ. */
export function answer<T extends digestMap.Entry>(
  map: Map<T>,
  { group, hashes }: Compare,
  { maxEntries }: SyncOptions<T>,
): (Compare | Entries<T>)[] {
  const differing = map.differing(hashes, group);
  if (group === undefined) {
    return differing.map((pos) => ({
      type: "compare",
      group: pos,
      hashes: map.hashes(pos),
    }));
  }
  const buckets = differing.map((pos) => group * digestMap.FANOUT + pos);
  return pack(map, buckets, maxEntries);
}

/** Returns the entries of this replica that are newer than the received ones. */
export function newerEntries<T extends digestMap.Entry>(
  map: Map<T>,
  { buckets, news }: Pick<Entries<T>, "buckets" | "news">,
  { compare, isLive }: SyncOptions<T>,
): T[] {
  const received = new Map(news.map((entry) => [entry.id, entry]));
  return buckets.flatMap((pos) => map.bucket(pos)).filter((entry) => {
    const other = received.get(entry.id);
    return other === undefined ? isLive(entry) : compare(entry, other) > 0;
  });
}

/** Splits a list into chunks of at most `maxEntries`. */
export function chunk<T>(list: readonly T[], maxEntries: number): T[][] {
  const chunks: T[][] = [];
  for (let pos = 0; pos < list.length; pos += maxEntries) {
    chunks.push(list.slice(pos, pos + maxEntries));
  }
  return chunks;
}

function pack<T extends digestMap.Entry>(
  map: Map<T>,
  buckets: readonly number[],
  maxEntries: number,
): Entries<T>[] {
  const messages: Entries<T>[] = [];
  for (const pos of buckets) {
    const news = map.bucket(pos);
    let last = messages.at(-1);
    if (last === undefined || last.news.length + news.length > maxEntries) {
      last = { type: "entries", buckets: [], news: [], reply: true };
      messages.push(last);
    }
    last.buckets.push(pos);
    last.news.push(...news);
  }
  return messages;
}
